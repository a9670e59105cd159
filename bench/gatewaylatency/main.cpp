// Measures the latency that the gateway adds to a request, its throughput on one core and its memory use. Caller, target
// and gateway run in one process, with a thread for each.
#include <gateway/gatewayserver.h>
#include <observability/metricsregistry.h>
#include <utils/endpoint.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <thread>
#include <vector>

using namespace Hyssop;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::steady_clock;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ResponseSize = 1024; // bytes
constexpr int WarmUpRequests = 500;
constexpr int MaximumRequestCount = 200000;
constexpr int LoadConnections = 64;
constexpr std::chrono::seconds LoadTime{3};

static asio::awaitable<void> serveTarget(tcp::socket socket)
{
    socket.set_option(tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    const std::string body(ResponseSize, 'x');
    for (;;) {
        http::request<http::string_body> request;
        const auto [readError, readSize] = co_await http::async_read(socket, buffer, request, AsTuple);
        if (readError) {
            co_return;
        }
        http::response<http::string_body> response(http::status::ok, 11);
        response.body() = body;
        response.prepare_payload();
        const auto [writeError, writeSize] = co_await http::async_write(socket, response, AsTuple);
        if (writeError) {
            co_return;
        }
    }
}

static asio::awaitable<void> acceptForTarget(tcp::acceptor &acceptor)
{
    for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(AsTuple);
        if (error) {
            co_return;
        }
        asio::co_spawn(acceptor.get_executor(), serveTarget(std::move(socket)), asio::detached);
    }
}

/// Sends a request and reads the response on a persistent connection. Returns false after an error.
static asio::awaitable<bool> exchange(tcp::socket &socket, boost::beast::flat_buffer &buffer, std::string path)
{
    http::request<http::string_body> request(http::verb::post, path, 11);
    request.set(http::field::host, "bench");
    request.body() = "0123456789";
    request.prepare_payload();
    const auto [writeError, writeSize] = co_await http::async_write(socket, request, AsTuple);
    http::response<http::string_body> response;
    const auto [readError, readSize] = co_await http::async_read(socket, buffer, response, AsTuple);
    co_return !writeError && !readError && response.result() == http::status::ok && response.body().size() == ResponseSize;
}

namespace {

struct Samples
{
    std::vector<double> microseconds;
    int errors = 0;
};

} // namespace

static double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

static asio::awaitable<void> timeRequest(tcp::socket &socket, boost::beast::flat_buffer &buffer, std::string path, Samples &samples)
{
    const auto start = steady_clock::now();
    const bool isOk = co_await exchange(socket, buffer, std::move(path));
    samples.microseconds.push_back(std::chrono::duration<double, std::micro>(steady_clock::now() - start).count());
    samples.errors += isOk ? 0 : 1;
}

/// Alternates direct requests and requests through the gateway, so that both run under the same load of the machine.
static asio::awaitable<void> measureLatency(tcp::endpoint target, tcp::endpoint gateway, int count, Samples &direct, Samples &proxied)
{
    const auto executor = co_await asio::this_coro::executor;
    tcp::socket directSocket(executor);
    tcp::socket gatewaySocket(executor);
    co_await directSocket.async_connect(target, AsTuple);
    co_await gatewaySocket.async_connect(gateway, AsTuple);
    directSocket.set_option(tcp::no_delay(true));
    gatewaySocket.set_option(tcp::no_delay(true));
    boost::beast::flat_buffer directBuffer;
    boost::beast::flat_buffer gatewayBuffer;
    Samples warmUp;
    for (int i = 0; i < count + WarmUpRequests; ++i) {
        co_await timeRequest(directSocket, directBuffer, "/x", i < WarmUpRequests ? warmUp : direct);
        co_await timeRequest(gatewaySocket, gatewayBuffer, "/cascadia/sales/x", i < WarmUpRequests ? warmUp : proxied);
    }
}

static asio::awaitable<void> loadGateway(tcp::endpoint gateway, steady_clock::time_point until, Samples &samples)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(gateway, AsTuple);
    socket.set_option(tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    while (steady_clock::now() < until) {
        co_await timeRequest(socket, buffer, "/cascadia/sales/x", samples);
    }
}

static double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Resident memory of this process in MB.
static double residentMegabytes()
{
    constexpr double KilobytesPerMegabyte = 1000;
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes * 1.024 / KilobytesPerMegabyte;
        }
    }
    return 0;
}

static Contract benchContract()
{
    ServiceContract service;
    service.name = "sales";
    service.timeout = std::chrono::seconds(5);
    service.concurrency = 10000;
    service.ratePerSecond = 1e9;
    Contract contract;
    contract.customer = "cascadia";
    contract.services.push_back(service);
    return contract;
}

static Wire::Target benchTarget(const tcp::endpoint &endpoint)
{
    Wire::Target target;
    target.customer = "cascadia";
    target.serviceName = "sales";
    target.address = formatEndpoint(endpoint);
    target.incarnation = "1";
    return target;
}

namespace {

/// Runs the gateway in a separate thread.
struct GatewayThread
{
    explicit GatewayThread(const tcp::endpoint &target)
        : server(context.get_executor(), options(), metrics, nullptr)
    {
        server.setContracts({benchContract()});
        server.applyPublication({benchTarget(target)});
        server.start();
        thread = std::thread([this] {
            context.run();
            processorSeconds = threadSeconds();
        });
    }

    static GatewayOptions options()
    {
        GatewayOptions result;
        result.instance = "bench";
        result.listen = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
        // The fake target responds to every path, so the probes would succeed, but they would affect the measurement.
        result.probeInterval = std::chrono::hours(1);
        return result;
    }

    void stop()
    {
        context.stop();
        thread.join();
    }

    asio::io_context context{1};
    MetricsRegistry metrics;
    GatewayServer server;
    std::thread thread;
    double processorSeconds = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const int count = std::clamp(argc > 1 ? std::atoi(argv[1]) : 20000, 1, MaximumRequestCount);
    asio::io_context targetContext(1);
    tcp::acceptor acceptor(targetContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::co_spawn(targetContext, acceptForTarget(acceptor), asio::detached);
    std::thread targetThread([&] { targetContext.run(); });
    const tcp::endpoint target = acceptor.local_endpoint();
    GatewayThread gateway(target);
    const tcp::endpoint address = gateway.server.localEndpoint();

    asio::io_context callers(1);
    Samples direct;
    Samples proxied;
    asio::co_spawn(callers, measureLatency(target, address, count, direct, proxied), asio::detached);
    callers.run();
    for (const double fraction : {0.5, 0.99}) {
        const double directTime = quantile(direct.microseconds, fraction);
        const double gatewayTime = quantile(proxied.microseconds, fraction);
        std::cout << "p" << fraction * 100 << ": direct " << directTime << " us, through the gateway " << gatewayTime << " us, added "
                  << gatewayTime - directTime << " us\n";
    }
    std::cout << "requests " << count << " each, errors " << direct.errors + proxied.errors << "\n";

    Samples load;
    callers.restart();
    const auto until = steady_clock::now() + LoadTime;
    for (int i = 0; i < LoadConnections; ++i) {
        asio::co_spawn(callers, loadGateway(address, until, load), asio::detached);
    }
    const double memory = residentMegabytes();
    callers.run();
    const double seconds = std::chrono::duration<double>(steady_clock::now() - until + LoadTime).count();
    gateway.stop();
    targetContext.stop();
    targetThread.join();
    const auto requests = static_cast<double>(load.microseconds.size());
    std::cout << "load with " << LoadConnections << " connections: " << requests / seconds << " requests/s, errors " << load.errors << "\n";
    std::cout << "processor time of the gateway thread, latency run included: " << gateway.processorSeconds << " s for " << requests + count + WarmUpRequests
              << " requests, that is " << (requests + count + WarmUpRequests) / gateway.processorSeconds << " requests/s per core\n";
    std::cout << "resident memory of caller, target and gateway before the load: " << memory << " MB, after it: " << residentMegabytes() << " MB\n";
    return 0;
}
