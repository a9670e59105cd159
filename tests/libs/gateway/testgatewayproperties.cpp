#include "gatewayfixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

#include <memory>
#include <random>

using namespace Hyssop;
using namespace Hyssop::Testing;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Results of all callers of one run.
struct CallerStats
{
    int finished = 0;
    int wrongResponses = 0;
    int incompleteResponses = 0;
    int known = 0;
    std::vector<std::string> notRun;
};

/// State of callers that send requests until running is false.
struct LoadRun
{
    bool running = true;
    int finished = 0;
};

} // namespace

constexpr milliseconds OwnResponsesTimeout{100}; // of the service

static asio::awaitable<void> callAndCompare(GatewayFixture &fixture, int number, int requests, CallerStats &stats)
{
    std::mt19937_64 random(number);
    Caller caller(fixture.endpoint());
    for (int i = 0; i < requests; ++i) {
        const std::string id = std::to_string(number) + "." + std::to_string(i);
        const std::size_t kind = random() % 10;
        if (kind == 0) {
            const std::size_t size = 20000 + random() % 100000;
            const auto begin = std::chrono::steady_clock::now();
            const CallerResult result = co_await caller.send("GET", "/cascadia/sales/huge/" + std::to_string(size), id);
            const bool isOwn = patternBody(size).starts_with(result.response.body());
            // At the service's timeout, the gateway ends a response that it has begun.
            const bool mayBeTruncated = std::chrono::steady_clock::now() - begin >= OwnResponsesTimeout;
            const bool isWhole = !result.error && result.response.body().size() == size;
            stats.wrongResponses += result.response.result_int() == 200 && !(isOwn && (isWhole || mayBeTruncated)) ? 1 : 0;
            continue;
        }
        // Some responses arrive after the service's timeout, when their connection must no longer be used.
        const int delay = kind < 3 ? 100 + static_cast<int>(random() % 60) : static_cast<int>(random() % 20);
        const CallerResult result = co_await caller.send("POST", "/cascadia/sales/delay/" + std::to_string(delay), id);
        stats.incompleteResponses += result.error ? 1 : 0;
        if (!result.error && result.response.result_int() == 200) {
            ++stats.known;
            stats.wrongResponses += result.response.body() != "id=" + id ? 1 : 0;
        }
    }
    ++stats.finished;
}

static asio::awaitable<void> checkOwnResponses(GatewayFixture &fixture)
{
    constexpr int CallerCount = 100;
    constexpr int RequestCount = 30;
    CallerStats stats;
    const auto executor = co_await asio::this_coro::executor;
    for (int number = 0; number < CallerCount; ++number) {
        asio::co_spawn(executor, callAndCompare(fixture, number, RequestCount, stats), asio::detached);
    }
    while (stats.finished < CallerCount) {
        co_await pauseFor(milliseconds(10));
    }
    cr_assert_eq(stats.wrongResponses, 0);
    cr_assert_eq(stats.incompleteResponses, 0);
    cr_assert_gt(stats.known, CallerCount * RequestCount / 2);
}

// Guards P5: a late response on a reused connection must not be taken for the response to another request.
Test(gatewayproperties, callersGetTheirOwnResponses)
{
    GatewayFixture fixture(3);
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].timeout = OwnResponsesTimeout;
    fixture.gateway->setContracts({contract});
    fixture.run(checkOwnResponses(fixture));
}

static asio::awaitable<void> sendNonIdempotentRequests(GatewayFixture &fixture, int number, int requests, CallerStats &stats)
{
    static const std::vector<std::string> paths{"/close",
                                                "/reset",
                                                "/garbage",
                                                "/truncate/500",
                                                "/truncate/100000",
                                                "/delay/0",
                                                "/delay/150",
                                                "/close-after",
                                                "/close-announced",
                                                "/early",
                                                "/blackhole"};
    std::mt19937_64 random(number + 1000);
    Caller caller(fixture.endpoint());
    for (int i = 0; i < requests; ++i) {
        const std::string id = std::to_string(number) + "." + std::to_string(i);
        const std::string body = random() % 4 == 0 ? patternBody(50000) : "small";
        const CallerResult result = co_await caller.send("POST", "/cascadia/sales" + paths[random() % paths.size()], id, body);
        if (!result.error && result.outcome() == "not-run") {
            stats.notRun.push_back(id);
        }
        stats.known += !result.error && result.outcome() == "known" ? 1 : 0;
        if (random() % 4 == 0) {
            caller.close();
        }
    }
    ++stats.finished;
}

static asio::awaitable<void> stopTargetsInTurn(GatewayFixture &fixture, const CallerStats &stats, int callers)
{
    while (stats.finished < callers) {
        // A stopped target refuses new connections and closes the existing ones.
        co_await pauseFor(milliseconds(100));
        fixture.targets[0]->stop();
        co_await pauseFor(milliseconds(100));
        fixture.targets.push_back(std::make_unique<FakeTarget>(fixture.context.get_executor()));
        fixture.targets.back()->start();
        std::swap(fixture.targets[0], fixture.targets.back());
        auto targets = fixture.publication();
        targets.resize(3);
        fixture.gateway->applyPublication(targets);
    }
}

static int executionsOf(const GatewayFixture &fixture, const std::string &id)
{
    int count = 0;
    for (const auto &target : fixture.targets) {
        count += target->executions(id);
    }
    return count;
}

static asio::awaitable<void> checkAtMostOnce(GatewayFixture &fixture)
{
    constexpr int CallerCount = 40;
    constexpr int RequestCount = 40;
    CallerStats stats;
    const auto executor = co_await asio::this_coro::executor;
    for (int number = 0; number < CallerCount; ++number) {
        asio::co_spawn(executor, sendNonIdempotentRequests(fixture, number, RequestCount, stats), asio::detached);
    }
    co_await stopTargetsInTurn(fixture, stats, CallerCount);
    // Requests that the gateway has abandoned may still reach the target.
    co_await pauseFor(milliseconds(300));
    int executed = 0;
    for (int number = 0; number < CallerCount; ++number) {
        for (int i = 0; i < RequestCount; ++i) {
            const std::string id = std::to_string(number) + "." + std::to_string(i);
            const int count = executionsOf(fixture, id);
            cr_assert_leq(count, 1, "request %s ran %d times", id.c_str(), count);
            executed += count;
        }
    }
    for (const std::string &id : stats.notRun) {
        cr_assert_eq(executionsOf(fixture, id), 0, "request %s ran although its caller was told that it did not", id.c_str());
    }
    cr_assert_gt(executed, CallerCount * RequestCount / 2);
    cr_assert_gt(stats.known, 0);
}

// Guards P6 and P7 while connections fail at every point: a purchase must not run twice, nor run if its caller was told
// "not run".
Test(gatewayproperties, runsPurchasesAtMostOnce)
{
    GatewayFixture fixture(3);
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].timeout = milliseconds(100);
    contract.services[0].retryShare = 1;
    fixture.gateway->setContracts({contract});
    fixture.run(checkAtMostOnce(fixture), std::chrono::seconds(60));
}

static asio::awaitable<void> checkUnreachable(GatewayFixture &fixture)
{
    Caller caller(fixture.endpoint());
    fixture.targets[0]->stop();
    const CallerResult refused = co_await caller.send("POST", "/cascadia/sales/delay/0", "1", "body");
    cr_assert_eq(refused.response.result_int(), 503);
    cr_assert_eq(refused.outcome(), "not-run");
    fixture.gateway->applyPublication({});
    const CallerResult none = co_await caller.send("POST", "/cascadia/sales/delay/0", "2", "body");
    cr_assert_eq(none.response.result_int(), 503);
    cr_assert_eq(none.outcome(), "not-run");
    cr_assert_eq(fixture.targets[0]->totalExecutions(), 0);
}

// Guards P6: the outcome is "not run" if no byte was written, but never if an earlier attempt may have run.
Test(gatewayproperties, tellsNotRunOnlyIfNothingWasWritten)
{
    GatewayFixture fixture;
    fixture.run(checkUnreachable(fixture));
}

static asio::awaitable<void> stopAfterFirstRequest(GatewayFixture &fixture)
{
    while (fixture.targets[0]->totalExecutions() == 0) {
        co_await pauseFor(milliseconds(1));
    }
    fixture.targets[0]->stop();
}

static asio::awaitable<void> checkLaterAttempt(GatewayFixture &fixture)
{
    Caller caller(fixture.endpoint());
    // The first attempt runs and its connection is lost; the later ones find no target.
    asio::co_spawn(co_await asio::this_coro::executor, stopAfterFirstRequest(fixture), asio::detached);
    const CallerResult result = co_await caller.send("GET", "/cascadia/sales/blackhole", "1");
    cr_assert_eq(fixture.targets[0]->executions("1"), 1);
    cr_assert_eq(result.outcome(), "unknown");
    cr_assert_neq(result.response.result_int(), 503);
}

// Guards P6: a retry that could not be sent must not hide that the first attempt may have run.
Test(gatewayproperties, remembersEarlierAttempts)
{
    GatewayFixture fixture;
    fixture.run(checkLaterAttempt(fixture));
}

static asio::awaitable<void> sendWhileRunning(GatewayFixture &fixture, LoadRun &load)
{
    Caller caller(fixture.endpoint());
    while (load.running) {
        const CallerResult result = co_await caller.send("POST", "/cascadia/sales/delay/5", "load");
        cr_assert_eq(result.response.result_int(), 200);
    }
    ++load.finished;
}

enum class LeavingSignal { Publication, InstanceList, Probe };

static asio::awaitable<void> checkLeaving(GatewayFixture &fixture, LeavingSignal signal)
{
    constexpr int CallerCount = 10;
    LoadRun load;
    const auto executor = co_await asio::this_coro::executor;
    for (int i = 0; i < CallerCount; ++i) {
        asio::co_spawn(executor, sendWhileRunning(fixture, load), asio::detached);
    }
    co_await pauseFor(milliseconds(100));
    auto targets = fixture.publication();
    if (signal == LeavingSignal::Publication) {
        targets[0].leaving = true;
        fixture.gateway->applyPublication(targets);
    } else if (signal == LeavingSignal::InstanceList) {
        fixture.gateway->applyInstances({{"worker-0", "", true}, {"worker-1", "", false}});
    } else {
        fixture.targets[0]->healthStatus = 503;
    }
    const auto signalledAt = std::chrono::steady_clock::now();
    auto lastRequest = signalledAt;
    int seen = fixture.targets[0]->totalExecutions();
    while (std::chrono::steady_clock::now() - signalledAt < std::chrono::seconds(3)) {
        co_await pauseFor(milliseconds(5));
        if (fixture.targets[0]->totalExecutions() > seen) {
            seen = fixture.targets[0]->totalExecutions();
            lastRequest = std::chrono::steady_clock::now();
        }
        // Contradicting reports must not make the incarnation eligible again.
        targets[0].leaving = false;
        if (std::chrono::steady_clock::now() - signalledAt > milliseconds(1500)) {
            fixture.gateway->applyPublication(targets);
            fixture.gateway->applyInstances({{"worker-0", "", false}});
            fixture.targets[0]->healthStatus = 200;
        }
    }
    const double seconds = std::chrono::duration<double>(lastRequest - signalledAt).count();
    cr_log_info("last new request %.3f s after the signal", seconds);
    cr_assert_lt(seconds, 2.0);
    cr_assert_gt(fixture.targets[1]->totalExecutions(), 100);
    load.running = false;
    while (load.finished < CallerCount) {
        co_await pauseFor(milliseconds(10));
    }
}

// Guards P8 with the scheduler's publication as the only signal.
Test(gatewayproperties, stopsAtPublishedLeaving)
{
    GatewayFixture fixture(2);
    fixture.run(checkLeaving(fixture, LeavingSignal::Publication));
}

// Guards P8 with the instance list as the only signal.
Test(gatewayproperties, stopsAtListedLeaving)
{
    GatewayFixture fixture(2);
    fixture.run(checkLeaving(fixture, LeavingSignal::InstanceList));
}

// Guards P8 with the gateway's own probe as the only signal.
Test(gatewayproperties, stopsAtProbedLeaving)
{
    GatewayFixture fixture(2);
    fixture.run(checkLeaving(fixture, LeavingSignal::Probe));
}

static asio::awaitable<void> sendDuringDrain(GatewayFixture &fixture, int number, CallerStats &stats)
{
    // Long responses are in flight when the drain begins.
    std::mt19937_64 random(number);
    Caller caller(fixture.endpoint());
    bool running = true;
    while (running) {
        const std::size_t size = 1'000'000;
        const bool isLarge = random() % 5 == 0;
        const std::string path = isLarge ? "huge/" + std::to_string(size) : "delay/" + std::to_string(random() % 1000);
        const std::string body = isLarge ? patternBody(100000) : "small";
        const CallerResult result = co_await caller.send("POST", "/cascadia/sales/" + path, "d", body);
        const bool isComplete = !result.error && result.response.result_int() == 200;
        stats.incompleteResponses += isComplete ? 0 : 1;
        stats.known += isComplete ? 1 : 0;
        running = result.keepAlive;
    }
    ++stats.finished;
}

static asio::awaitable<void> uploadDuringDrain(GatewayFixture &fixture, CallerStats &stats)
{
    // The gateway still waits for bytes of this request when it begins to close idle connections.
    constexpr int PartCount = 10;
    const std::string part = patternBody(4000);
    Caller caller(fixture.endpoint());
    co_await caller.sendBytes("POST /cascadia/sales/echo HTTP/1.1\r\nHost: a\r\nX-Id: u\r\nContent-Length: 40000\r\n\r\n");
    for (int i = 0; i < PartCount; ++i) {
        co_await pauseFor(milliseconds(100));
        co_await caller.sendBytes(part);
    }
    const CallerResult result = co_await caller.receive();
    const bool isComplete = !result.error && result.response.result_int() == 200 && result.response.body().ends_with(part);
    stats.incompleteResponses += isComplete ? 0 : 1;
    ++stats.finished;
}

static asio::awaitable<void> connectDuringDrain(GatewayFixture &fixture, CallerStats &stats)
{
    // The load balancer sends requests for a while after the gateway is no longer ready.
    constexpr int ArrivalCount = 15;
    for (int i = 0; i < ArrivalCount; ++i) {
        Caller caller(fixture.endpoint());
        const CallerResult result = co_await caller.send("POST", "/cascadia/sales/delay/5", "d", "small");
        const bool isComplete = !result.error && result.response.result_int() == 200 && !result.keepAlive;
        stats.incompleteResponses += isComplete ? 0 : 1;
        co_await pauseFor(milliseconds(10));
    }
    ++stats.finished;
}

static asio::awaitable<void> checkDrain(GatewayFixture &fixture)
{
    constexpr int CallerCount = 60;
    CallerStats stats;
    const auto executor = co_await asio::this_coro::executor;
    for (int number = 0; number < CallerCount; ++number) {
        asio::co_spawn(executor, sendDuringDrain(fixture, number, stats), asio::detached);
    }
    asio::co_spawn(executor, uploadDuringDrain(fixture, stats), asio::detached);
    co_await pauseFor(milliseconds(300));
    cr_assert_eq(stats.finished, 0);
    asio::co_spawn(executor, connectDuringDrain(fixture, stats), asio::detached);
    const int remaining = co_await fixture.gateway->drain(milliseconds(400), milliseconds(10000));
    cr_assert_eq(remaining, 0);
    // The gateway has sent everything; the callers of this process may not have read it yet.
    for (int wait = 0; wait < 500 && stats.finished < CallerCount + 2; ++wait) {
        co_await pauseFor(milliseconds(10));
    }
    cr_assert_eq(stats.finished, CallerCount + 2);
    cr_assert_eq(stats.incompleteResponses, 0, "%d responses incomplete, %d complete", stats.incompleteResponses, stats.known);
}

// Guards P9: a planned stop must not truncate responses or refuse requests that the gateway has accepted.
Test(gatewayproperties, drainTruncatesNoResponse)
{
    GatewayFixture fixture(2);
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].timeout = std::chrono::seconds(5);
    fixture.gateway->setContracts({contract});
    fixture.run(checkDrain(fixture));
}
