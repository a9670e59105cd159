#include "platformworker.h"
#include "storeserver.h"

#include <utils/endpoint.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <memory>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::StandIn;

namespace asio = boost::asio;
namespace po = boost::program_options;

namespace {

constexpr std::chrono::milliseconds AdvanceInterval{20};
constexpr int AdvancesPerHeartbeat = 25;

// Defines one queue, "batch", on host queue.example with the path prefix /batch/.
constexpr const char *Configuration = R"({"version":1,"routes":[{"name":"batch","host":"queue.example","pathPrefix":"/batch/","kind":"unsafe",
"timeoutMs":3000,"sloMs":1000,"priority":0,"service":"hall","maxAttempts":3,"stretch":2.0}],
"services":[{"name":"hall","enforcesCapacity":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

asio::awaitable<void> advanceWorkers(StoreServer &store, std::vector<std::unique_ptr<PlatformWorker>> &workers)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (std::int64_t round = 0;; ++round) {
        for (const auto &worker : workers) {
            worker->advance();
            if (round % AdvancesPerHeartbeat == 0 && !store.faults.isDown) {
                store.store.put("keyed.servers", worker->id(), worker->registration(round));
            }
        }
        timer.expires_after(AdvanceInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

/// Runs a store and several workers in one process. Prints the address of the store, then the address of each worker.
int main(int argc, char **argv)
{
    po::options_description options("Usage: standin-platform");
    options.add_options()("help", "Show this help.")("workers", po::value<int>()->default_value(3), "Number of workers.")(
        "advertised-port", po::value<int>()->default_value(0), "Port in the registration of the first worker, the next one in that of the second, and so on.");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
        std::cout << options;
        return 0;
    }
    asio::io_context context(1);
    const asio::ip::tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    StoreServer store(context.get_executor(), anyPort);
    store.store.put("keyed.op", "config", Configuration);
    store.start();
    std::cout << "listening on " << formatEndpoint(store.localEndpoint()) << std::endl;
    std::vector<std::unique_ptr<PlatformWorker>> workers;
    for (int index = 0; index < values["workers"].as<int>(); ++index) {
        const int port = values["advertised-port"].as<int>();
        const std::string advertised = port > 0 ? "127.0.0.1:" + std::to_string(port + index) : std::string();
        workers.push_back(std::make_unique<PlatformWorker>(context.get_executor(), anyPort, "i-" + std::to_string(index), advertised));
        workers.back()->start();
        std::cout << "listening on " << formatEndpoint(workers.back()->localEndpoint()) << std::endl;
    }
    asio::co_spawn(context, advanceWorkers(store, workers), asio::detached);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
