#include "soakrun.h"

#include "soakchecks.h"
#include "soakcluster.h"
#include "soakload.h"

#include <support/httpcall.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <random>

namespace Hyssop::Soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto SettlingTimeout = 60s;
constexpr auto StartUpDelay = 2s;
constexpr auto CheckInterval = 300ms;
constexpr auto StatePollInterval = 700ms;

/// Injects the faults of one seed; several can be active at the same time.
class FaultInjector
{
public:
    FaultInjector(asio::any_io_executor executor, SoakCluster &cluster, std::uint32_t seed)
        : m_executor(std::move(executor))
        , m_cluster(cluster)
        , m_random(seed)
    {
    }

    asio::awaitable<void> run(std::chrono::seconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            co_await pauseFor(std::chrono::milliseconds(200 + randomBelow(900)));
            inject();
        }
        while (m_activeFaults > 0) {
            co_await pauseFor(CheckInterval);
        }
    }

    std::vector<std::string> faults;

private:
    using Milliseconds = std::chrono::milliseconds;

    static asio::awaitable<void> pauseFor(Milliseconds time)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    int randomBelow(int count) { return static_cast<int>(m_random() % static_cast<std::uint32_t>(count)); }

    void inject()
    {
        const int node = randomBelow(m_cluster.nodeCount());
        const int worker = randomBelow(m_cluster.workerCount());
        const Milliseconds time(300 + randomBelow(5000));
        switch (randomBelow(8)) {
        case 0:
            spawn("kill node-" + std::to_string(node), restartNode(node, &FaultInjector::killNode, time / 3));
            break;
        case 1:
            spawn("stop node-" + std::to_string(node), restartNode(node, &FaultInjector::stopNode, time / 3));
            break;
        case 2:
            spawn("freeze node-" + std::to_string(node), freezeNode(node, time));
            break;
        case 3:
        case 4:
            spawn("store link of node-" + std::to_string(node), injectLinkFault(m_cluster.storeLink(node), time));
            break;
        case 5:
            spawn("link of worker " + std::to_string(worker), injectLinkFault(m_cluster.workerLink(worker), time * 2));
            break;
        case 6:
            spawn("store", injectStoreFault(time));
            break;
        default:
            spawn("crash of worker " + std::to_string(worker), crashWorker(worker));
            break;
        }
    }

    void spawn(const std::string &name, asio::awaitable<void> fault)
    {
        faults.push_back(name);
        ++m_activeFaults;
        asio::co_spawn(m_executor, std::move(fault), [this](const std::exception_ptr &) { --m_activeFaults; });
    }

    void killNode(int node) { m_cluster.node(node).sendSignal(SIGKILL); }
    void stopNode(int node) { m_cluster.stopNode(node); }

    asio::awaitable<void> restartNode(int node, void (FaultInjector::*end)(int), Milliseconds downTime)
    {
        if (!m_busyNodes.insert(node).second) {
            co_return; // the node is already being restarted or frozen
        }
        (this->*end)(node);
        while (m_cluster.node(node).running()) {
            co_await pauseFor(50ms);
        }
        co_await pauseFor(downTime);
        m_cluster.startNode(node);
        m_busyNodes.erase(node);
    }

    asio::awaitable<void> freezeNode(int node, Milliseconds time)
    {
        if (!m_busyNodes.insert(node).second) {
            co_return;
        }
        m_cluster.node(node).sendSignal(SIGSTOP);
        co_await pauseFor(time);
        m_cluster.node(node).sendSignal(SIGCONT);
        m_busyNodes.erase(node);
    }

    asio::awaitable<void> injectLinkFault(FaultProxy &link, Milliseconds time)
    {
        link.setFault(static_cast<LinkFault>(1 + randomBelow(4)));
        co_await pauseFor(time);
        link.setFault(LinkFault::None);
    }

    asio::awaitable<void> injectStoreFault(Milliseconds time)
    {
        static constexpr std::array<const char *, 4> Faults{"down=1", "lost=0.4", "slow=400", "expire=1"};
        controlStore(Faults[static_cast<std::size_t>(randomBelow(Faults.size()))]);
        co_await pauseFor(time);
        controlStore("down=0&lost=0&slow=0");
    }

    asio::awaitable<void> crashWorker(int worker)
    {
        Testing::httpCall(m_cluster.workerAddress(worker), "POST", "/restart");
        co_return;
    }

    void controlStore(const std::string &query) { Testing::httpCall(m_cluster.storeAddress(), "POST", "/control?" + query); }

    asio::any_io_executor m_executor;
    SoakCluster &m_cluster;
    std::mt19937 m_random;
    std::set<int> m_busyNodes; // being restarted or frozen
    int m_activeFaults = 0;
};

asio::awaitable<void> pollJobStatesUntilStopped(SoakLoad &load, const bool &stopped)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!stopped) {
        timer.expires_after(StatePollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_await load.pollJobStates();
    }
}

asio::awaitable<void> runScenario(const SoakOptions &options, SoakLoad &load, FaultInjector &injector, SoakResult &result)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    asio::co_spawn(executor, load.run(), asio::detached);
    asio::co_spawn(executor, load.recordTicks(), asio::detached);
    bool stopPolling = false;
    bool pollingEnded = false;
    asio::co_spawn(executor, pollJobStatesUntilStopped(load, stopPolling), [&](const std::exception_ptr &) { pollingEnded = true; });
    timer.expires_after(StartUpDelay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await injector.run(options.faultDuration);
    load.stop();
    stopPolling = true;
    const auto begin = std::chrono::steady_clock::now();
    while (!pollingEnded || (!co_await load.pollJobStates() && std::chrono::steady_clock::now() - begin < SettlingTimeout)) {
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    result.settlingTime = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
}

} // namespace

SoakResult runSoak(const SoakOptions &options)
{
    SoakResult result;
    asio::io_context context(1);
    SoakCluster cluster(context.get_executor(), options.nodes, options.workers, options.directory);
    SoakLoad load(context.get_executor(), cluster, options.seed);
    FaultInjector injector(context.get_executor(), cluster, options.seed + 1);
    asio::co_spawn(context, runScenario(options, load, injector, result), [&](const std::exception_ptr &failure) {
        if (failure) {
            result.violations.emplace_back("the soak ended with an exception");
        }
        context.stop();
    });
    context.run();
    std::vector<SoakRun> runs;
    for (int worker = 0; worker < cluster.workerCount(); ++worker) {
        std::ranges::copy(parseRuns(Testing::httpCall(cluster.workerAddress(worker), "GET", "/runs").body), std::back_inserter(runs));
    }
    result.faults = injector.faults;
    result.jobs = load.jobs().size();
    result.accepted = static_cast<std::size_t>(std::ranges::count_if(load.jobs(), [](const auto &item) { return item.second.accepted; }));
    result.cancelled = static_cast<std::size_t>(std::ranges::count_if(load.jobs(), [](const auto &item) { return item.second.cancelAcknowledged; }));
    result.runs = runs.size();
    std::ranges::copy(load.violations, std::back_inserter(result.violations));
    std::ranges::copy(findViolations(std::move(runs), load.jobs()), std::back_inserter(result.violations));
    return result;
}

} // namespace Hyssop::Soak
