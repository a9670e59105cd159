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

/// What the callers of one run saw.
struct Tally
{
    int finished = 0;
    int wrongAnswers = 0;
    int brokenAnswers = 0;
    int known = 0;
    std::vector<std::string> notRun;
};

/// Callers that go on until they are told to stop.
struct LoadRun
{
    bool running = true;
    int finished = 0;
};

} // namespace

static asio::awaitable<void> callOwnAnswers(GatewayFixture &fixture, int number, int requests, Tally &tally)
{
    std::mt19937_64 random(number);
    Caller caller(fixture.endpoint());
    for (int i = 0; i < requests; ++i) {
        const std::string id = std::to_string(number) + "." + std::to_string(i);
        const std::size_t kind = random() % 10;
        if (kind == 0) {
            const std::size_t size = 20000 + random() % 100000;
            const CallerAnswer answer = co_await caller.send("GET", "/cascadia/sales/huge/" + std::to_string(size), id);
            tally.wrongAnswers += answer.response.result_int() == 200 && (answer.error || answer.response.body() != patternBody(size)) ? 1 : 0;
            continue;
        }
        // Some answers come after the service's timeout of 100 ms, when their connection must no longer be used.
        const int delay = kind < 3 ? 100 + static_cast<int>(random() % 60) : static_cast<int>(random() % 20);
        const CallerAnswer answer = co_await caller.send("POST", "/cascadia/sales/delay/" + std::to_string(delay), id);
        tally.brokenAnswers += answer.error ? 1 : 0;
        if (!answer.error && answer.response.result_int() == 200) {
            ++tally.known;
            tally.wrongAnswers += answer.response.body() != "id=" + id ? 1 : 0;
        }
    }
    ++tally.finished;
}

static asio::awaitable<void> checkOwnAnswers(GatewayFixture &fixture)
{
    constexpr int CallerCount = 100;
    constexpr int RequestCount = 30;
    Tally tally;
    const auto executor = co_await asio::this_coro::executor;
    for (int number = 0; number < CallerCount; ++number) {
        asio::co_spawn(executor, callOwnAnswers(fixture, number, RequestCount, tally), asio::detached);
    }
    while (tally.finished < CallerCount) {
        co_await pauseFor(milliseconds(10));
    }
    cr_assert_eq(tally.wrongAnswers, 0);
    cr_assert_eq(tally.brokenAnswers, 0);
    cr_assert_gt(tally.known, CallerCount * RequestCount / 2);
}

// Guards P5: a late answer on a reused connection that is taken for the answer to another request.
Test(gatewayproperties, callersGetTheirOwnAnswers)
{
    GatewayFixture fixture(3);
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].timeout = milliseconds(100);
    fixture.gateway->setContracts({contract});
    fixture.run(checkOwnAnswers(fixture));
}

static asio::awaitable<void> callAtMostOnce(GatewayFixture &fixture, int number, int requests, Tally &tally)
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
        const CallerAnswer answer = co_await caller.send("POST", "/cascadia/sales" + paths[random() % paths.size()], id, body);
        if (!answer.error && answer.outcome() == "not-run") {
            tally.notRun.push_back(id);
        }
        tally.known += !answer.error && answer.outcome() == "known" ? 1 : 0;
        if (random() % 4 == 0) {
            caller.close();
        }
    }
    ++tally.finished;
}

static asio::awaitable<void> stopTargetsInTurn(GatewayFixture &fixture, const Tally &tally, int callers)
{
    while (tally.finished < callers) {
        // A stopped target refuses connections and drops the ones that it has.
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
    Tally tally;
    const auto executor = co_await asio::this_coro::executor;
    for (int number = 0; number < CallerCount; ++number) {
        asio::co_spawn(executor, callAtMostOnce(fixture, number, RequestCount, tally), asio::detached);
    }
    co_await stopTargetsInTurn(fixture, tally, CallerCount);
    // Requests that the gateway gave up may still be on their way to the target.
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
    for (const std::string &id : tally.notRun) {
        cr_assert_eq(executionsOf(fixture, id), 0, "request %s ran although its caller was told that it did not", id.c_str());
    }
    cr_assert_gt(executed, CallerCount * RequestCount / 2);
    cr_assert_gt(tally.known, 0);
}

// Guards P6 and P7 while connections fail at every point: a purchase that runs twice, or that runs after "not run".
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
    const CallerAnswer refused = co_await caller.send("POST", "/cascadia/sales/delay/0", "1", "body");
    cr_assert_eq(refused.response.result_int(), 503);
    cr_assert_eq(refused.outcome(), "not-run");
    fixture.gateway->applyPublication({});
    const CallerAnswer none = co_await caller.send("POST", "/cascadia/sales/delay/0", "2", "body");
    cr_assert_eq(none.response.result_int(), 503);
    cr_assert_eq(none.outcome(), "not-run");
    cr_assert_eq(fixture.targets[0]->totalExecutions(), 0);
}

// Guards P6: "not run" is the answer when no byte was written, and a request whose earlier attempt may have run never
// gets it.
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
    // The first attempt runs and is lost; the others find no target.
    asio::co_spawn(co_await asio::this_coro::executor, stopAfterFirstRequest(fixture), asio::detached);
    const CallerAnswer answer = co_await caller.send("GET", "/cascadia/sales/blackhole", "1");
    cr_assert_eq(fixture.targets[0]->executions("1"), 1);
    cr_assert_eq(answer.outcome(), "unknown");
    cr_assert_neq(answer.response.result_int(), 503);
}

// Guards P6: a retry that could not be sent hides that the first attempt may have run.
Test(gatewayproperties, remembersEarlierAttempts)
{
    GatewayFixture fixture;
    fixture.run(checkLaterAttempt(fixture));
}

static asio::awaitable<void> callWhile(GatewayFixture &fixture, LoadRun &load)
{
    Caller caller(fixture.endpoint());
    while (load.running) {
        const CallerAnswer answer = co_await caller.send("POST", "/cascadia/sales/delay/5", "load");
        cr_assert_eq(answer.response.result_int(), 200);
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
        asio::co_spawn(executor, callWhile(fixture, load), asio::detached);
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
    const auto leftAt = std::chrono::steady_clock::now();
    auto lastRequest = leftAt;
    int seen = fixture.targets[0]->totalExecutions();
    while (std::chrono::steady_clock::now() - leftAt < std::chrono::seconds(3)) {
        co_await pauseFor(milliseconds(5));
        if (fixture.targets[0]->totalExecutions() > seen) {
            seen = fixture.targets[0]->totalExecutions();
            lastRequest = std::chrono::steady_clock::now();
        }
        // Contradicting news must not bring the incarnation back.
        targets[0].leaving = false;
        if (std::chrono::steady_clock::now() - leftAt > milliseconds(1500)) {
            fixture.gateway->applyPublication(targets);
            fixture.gateway->applyInstances({{"worker-0", "", false}});
            fixture.targets[0]->healthStatus = 200;
        }
    }
    const double seconds = std::chrono::duration<double>(lastRequest - leftAt).count();
    cr_log_info("last new request %.3f s after the signal", seconds);
    cr_assert_lt(seconds, 2.0);
    cr_assert_gt(fixture.targets[1]->totalExecutions(), 100);
    load.running = false;
    while (load.finished < CallerCount) {
        co_await pauseFor(milliseconds(10));
    }
}

// Guards P8 for the scheduler's publication alone.
Test(gatewayproperties, stopsAtPublishedLeaving)
{
    GatewayFixture fixture(2);
    fixture.run(checkLeaving(fixture, LeavingSignal::Publication));
}

// Guards P8 for the instance list alone.
Test(gatewayproperties, stopsAtListedLeaving)
{
    GatewayFixture fixture(2);
    fixture.run(checkLeaving(fixture, LeavingSignal::InstanceList));
}

// Guards P8 for the gateway's own probe alone.
Test(gatewayproperties, stopsAtProbedLeaving)
{
    GatewayFixture fixture(2);
    fixture.run(checkLeaving(fixture, LeavingSignal::Probe));
}

static asio::awaitable<void> callThroughDrain(GatewayFixture &fixture, int number, Tally &tally)
{
    // Long answers are in flight when the drain begins.
    std::mt19937_64 random(number);
    Caller caller(fixture.endpoint());
    bool running = true;
    while (running) {
        const std::size_t size = 1'000'000;
        const bool isLarge = random() % 5 == 0;
        const std::string path = isLarge ? "huge/" + std::to_string(size) : "delay/" + std::to_string(random() % 1000);
        const std::string body = isLarge ? patternBody(100000) : "small";
        const CallerAnswer answer = co_await caller.send("POST", "/cascadia/sales/" + path, "d", body);
        const bool isWhole = !answer.error && answer.response.result_int() == 200;
        tally.brokenAnswers += isWhole ? 0 : 1;
        tally.known += isWhole ? 1 : 0;
        running = answer.keepAlive;
    }
    ++tally.finished;
}

static asio::awaitable<void> uploadThroughDrain(GatewayFixture &fixture, Tally &tally)
{
    // Waits for the caller's bytes when the gateway begins to close idle connections.
    constexpr int PartCount = 10;
    const std::string part = patternBody(4000);
    Caller caller(fixture.endpoint());
    co_await caller.sendBytes("POST /cascadia/sales/echo HTTP/1.1\r\nHost: a\r\nX-Id: u\r\nContent-Length: 40000\r\n\r\n");
    for (int i = 0; i < PartCount; ++i) {
        co_await pauseFor(milliseconds(100));
        co_await caller.sendBytes(part);
    }
    const CallerAnswer answer = co_await caller.receive();
    const bool isWhole = !answer.error && answer.response.result_int() == 200 && answer.response.body().ends_with(part);
    tally.brokenAnswers += isWhole ? 0 : 1;
    ++tally.finished;
}

static asio::awaitable<void> arriveDuringDrain(GatewayFixture &fixture, Tally &tally)
{
    // The load balancer goes on for a while after readiness has fallen.
    constexpr int ArrivalCount = 15;
    for (int i = 0; i < ArrivalCount; ++i) {
        Caller caller(fixture.endpoint());
        const CallerAnswer answer = co_await caller.send("POST", "/cascadia/sales/delay/5", "d", "small");
        const bool isWhole = !answer.error && answer.response.result_int() == 200 && !answer.keepAlive;
        tally.brokenAnswers += isWhole ? 0 : 1;
        co_await pauseFor(milliseconds(10));
    }
    ++tally.finished;
}

static asio::awaitable<void> checkDrain(GatewayFixture &fixture)
{
    constexpr int CallerCount = 60;
    Tally tally;
    const auto executor = co_await asio::this_coro::executor;
    for (int number = 0; number < CallerCount; ++number) {
        asio::co_spawn(executor, callThroughDrain(fixture, number, tally), asio::detached);
    }
    asio::co_spawn(executor, uploadThroughDrain(fixture, tally), asio::detached);
    co_await pauseFor(milliseconds(300));
    cr_assert_eq(tally.finished, 0);
    asio::co_spawn(executor, arriveDuringDrain(fixture, tally), asio::detached);
    const int left = co_await fixture.gateway->drain(milliseconds(400), milliseconds(10000));
    cr_assert_eq(left, 0);
    co_await pauseFor(milliseconds(50));
    cr_assert_eq(tally.finished, CallerCount + 2);
    cr_assert_eq(tally.brokenAnswers, 0, "%d answers cut of %d", tally.brokenAnswers, tally.known);
}

// Guards P9: a planned stop that cuts answers or refuses requests that it accepted.
Test(gatewayproperties, drainCutsNothing)
{
    GatewayFixture fixture(2);
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].timeout = std::chrono::seconds(5);
    fixture.gateway->setContracts({contract});
    fixture.run(checkDrain(fixture));
}
