#include <instance/adminserver.h>
#include <instance/commonsettings.h>

#include <http/httpclient.h>
#include <observability/metricsregistry.h>
#include <support/coroutines.h>
#include <utils/endpoint.h>

using namespace Hyssop;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;

static asio::awaitable<unsigned> statusOf(HttpClient *client, std::string address, http::verb method, std::string path)
{
    auto outcome = co_await client->send(std::move(address), method, std::move(path), {}, 1s);
    co_return valueOf(outcome) == nullptr ? 0 : valueOf(outcome)->result_int();
}

static asio::awaitable<void> checkEndpoints(AdminServer &server, bool *ready)
{
    HttpClient client(co_await asio::this_coro::executor);
    const std::string address = formatEndpoint(server.localEndpoint());
    auto metrics = co_await client.send(address, http::verb::get, "/metrics", {}, 1s);
    cr_assert(valueOf(metrics) != nullptr);
    cr_assert(valueOf(metrics)->body().find("appends_total 1") != std::string::npos);
    const unsigned notReady = co_await statusOf(&client, address, http::verb::get, "/readyz");
    cr_assert_eq(notReady, 503);
    const unsigned healthy = co_await statusOf(&client, address, http::verb::get, "/healthz");
    cr_assert_eq(healthy, 200);
    *ready = true;
    const unsigned isReady = co_await statusOf(&client, address, http::verb::get, "/readyz");
    cr_assert_eq(isReady, 200);
    const unsigned unknown = co_await statusOf(&client, address, http::verb::get, "/other");
    cr_assert_eq(unknown, 404);
    const unsigned post = co_await statusOf(&client, address, http::verb::post, "/healthz");
    cr_assert_eq(post, 405);
}

// Guards against readiness reported too early: a load balancer would send requests to a daemon that is not ready.
Test(adminserver, servesMetricsAndProbes)
{
    asio::io_context context;
    MetricsRegistry metrics;
    metrics.add("appends_total");
    bool ready = false;
    AdminServer server(context.get_executor(), anyLoopbackPort(), metrics, [&] { return ready; });
    server.start();
    runToEnd(context, checkEndpoints(server, &ready));
}

// Guards against default values that the validation of the settings rejects.
Test(commonsettings, defaultsAreAllowed)
{
    std::string text;
    for (const SettingSpec &spec : commonSettings()) {
        const bool isAddress = std::holds_alternative<AddressSetting>(spec.type);
        const std::string value = spec.required ? (isAddress ? "127.0.0.1:1" : "name") : spec.defaultValue;
        const std::size_t dot = spec.key.find('.');
        text += "[" + spec.key.substr(0, dot) + "]\n" + spec.key.substr(dot + 1) + " = " + value + "\n";
    }
    const auto parsed = Settings::parse(text, "test.ini", commonSettings());
    if (const auto *errors = std::get_if<std::vector<SettingError>>(&parsed)) {
        cr_assert_fail("%s", errors->front().toString().c_str());
    }
    const auto &settings = std::get<Settings>(parsed);
    cr_assert(settings.duration("log.retention") == 24h);
    cr_assert(settings.list("instance.peers").empty());
}
