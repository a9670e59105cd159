#include <http/httpclient.h>
#include <http/httpserver.h>
#include <machineclient.h>
#include <support/coroutines.h>
#include <utils/endpoint.h>

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>

using namespace Hyssop;

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Server that responds to each request target with a body, and to all others with 503.
struct Fixture
{
    Fixture()
        : server(context.get_executor(), anyLoopbackPort(), [this](const HttpRequest &request) { return respond(request); })
        , httpClient(context.get_executor())
        , client(httpClient, clock, formatEndpoint(server.localEndpoint()))
    {
        server.start();
    }

    asio::awaitable<HttpResponse> respond(const HttpRequest &request)
    {
        clock.advance(pageTime);
        const auto body = bodies.find(std::string(request.target().data(), request.target().size()));
        HttpResponse response(body != bodies.end() ? http::status::ok : http::status::service_unavailable, request.version());
        response.keep_alive(request.keep_alive());
        response.body() = body != bodies.end() ? body->second : "{}";
        response.prepare_payload();
        co_return response;
    }

    std::map<std::string, std::string> bodies;
    std::chrono::milliseconds pageTime{0}; // by which each request advances the clock
    Clock clock;
    asio::io_context context{1};
    HttpServer server;
    HttpClient httpClient;
    Platform::MachineClient client;
};

} // namespace

static asio::awaitable<void> allPagesAreListedSteps(Fixture &f)
{
    f.bodies["/v1/machines"] = R"({"machines":[{"machine":"m-1","state":"up","id":"i-1"},{"machine":"m-2","state":"down"}],"nextToken":"a b"})";
    f.bodies["/v1/machines?pageToken=a%20b"] = R"({"machines":[{"machine":"m-3","state":"up","id":"i-3"}],"nextToken":null})";
    const LiveWorkersResult result = co_await f.client.liveWorkers();
    const auto &workers = std::get<std::set<std::string>>(result);
    cr_assert(workers.contains("i-1"));
    cr_assert(workers.contains("i-3"));
}

Test(machineClient, allPagesAreListed)
{
    Fixture fixture;
    runToEnd(fixture.context, ::allPagesAreListedSteps(fixture));
}

static asio::awaitable<void> incompleteListsAreErrorsSteps(Fixture &f)
{
    const std::string first = R"({"machines":[{"machine":"m-1","id":"i-1"}],"nextToken":"x"})";
    f.bodies["/v1/machines"] = first;
    for (const char *second : {"", "{}", "[]", R"({"machines":[1]})", R"({"machines":[{"id":7}]})", R"({"machines":{}})", R"({"machines":[],"nextToken":1})"}) {
        if (*second != '\0') {
            f.bodies["/v1/machines?pageToken=x"] = second;
        }
        cr_assert(std::holds_alternative<Error>(co_await f.client.liveWorkers()), "second page: %s", second);
    }
    Platform::MachineClient unconfigured(f.httpClient, f.clock, "");
    cr_assert(std::holds_alternative<Error>(co_await unconfigured.liveWorkers()));
}

Test(machineClient, incompleteListsAreErrors)
{
    Fixture fixture;
    runToEnd(fixture.context, ::incompleteListsAreErrorsSteps(fixture));
}

static asio::awaitable<void> aSlowListIsGivenUpSteps(Fixture &f)
{
    f.clock.pause();
    f.pageTime = std::chrono::seconds(2);
    f.bodies["/v1/machines"] = R"({"machines":[],"nextToken":"x"})";
    f.bodies["/v1/machines?pageToken=x"] = R"({"machines":[],"nextToken":"x"})";
    const TimePoint begin = f.clock.now();
    cr_assert(std::holds_alternative<Error>(co_await f.client.liveWorkers()));
    cr_assert_leq((f.clock.now() - begin) / std::chrono::seconds(1), 6, "the owner waits for one list at a time");
}

Test(machineClient, aListThatComesInManySlowPagesIsGivenUp)
{
    Fixture fixture;
    runToEnd(fixture.context, ::aSlowListIsGivenUpSteps(fixture));
}
