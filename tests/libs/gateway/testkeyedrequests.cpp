#include "fakerequestlog.h"
#include "gatewayfixture.h"

#include <gateway/requestjournal.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Two gateways of one failure domain in front of the same target.
struct TwoGateways
{
    TwoGateways()
        : firstLog(fixture.context.get_executor(), stream)
        , secondLog(fixture.context.get_executor(), stream)
    {
        for (FakeRequestLog *log : {&firstLog, &secondLog}) {
            gateways.push_back(std::make_unique<GatewayServer>(fixture.context.get_executor(), GatewayFixture::defaultOptions(), fixture.metrics, log));
            gateways.back()->setContracts({GatewayFixture::defaultContract()});
            gateways.back()->applyPublication(fixture.publication());
            gateways.back()->start();
        }
    }

    ~TwoGateways()
    {
        for (const auto &gateway : gateways) {
            gateway->stop();
        }
        // Lets the requests and appends under way end while the logs exist.
        fixture.context.restart();
        fixture.context.run_for(milliseconds(100));
    }

    FakeTarget &target() { return *fixture.targets[0]; }

    FakeStream stream;
    GatewayFixture fixture;
    FakeRequestLog firstLog;
    FakeRequestLog secondLog;
    std::vector<std::unique_ptr<GatewayServer>> gateways;
};

} // namespace

static asio::awaitable<CallerAnswer> buy(TwoGateways &pair, int gateway, std::string key, std::string body, std::string path = "/delay/0")
{
    Caller caller(pair.gateways[gateway]->localEndpoint());
    std::string header = "Idempotency-Key: " + key + "\r\n";
    co_return co_await caller.send("POST", "/cascadia/sales" + path, key, body, header);
}

static asio::awaitable<void> checkReplay(TwoGateways &pair)
{
    const CallerAnswer first = co_await buy(pair, 0, "k1", "pass");
    cr_assert_eq(first.response.result_int(), 200);
    co_await pauseFor(milliseconds(20));
    for (int gateway : {0, 1}) {
        const CallerAnswer again = co_await buy(pair, gateway, "k1", "pass");
        cr_assert_eq(again.response.result_int(), 200);
        cr_assert_str_eq(again.response.body().c_str(), "id=k1");
        cr_assert_eq(std::string(again.response["Hyssop-Replayed"]), "true");
        const CallerAnswer other = co_await buy(pair, gateway, "k1", "another body");
        cr_assert_eq(other.response.result_int(), 422);
        cr_assert_eq(other.outcome(), "not-run");
    }
    cr_assert_eq(pair.target().executions("k1"), 1);
    const CallerAnswer large = co_await buy(pair, 0, "k2", "pass", "/huge/100000");
    cr_assert(large.response.body() == patternBody(100000));
    co_await pauseFor(milliseconds(20));
    const CallerAnswer dropped = co_await buy(pair, 1, "k2", "pass", "/huge/100000");
    cr_assert_eq(dropped.response.result_int(), 409);
    cr_assert_eq(dropped.outcome(), "known");
    cr_assert_eq(pair.target().executions("k2"), 1);
}

// Guards P7: a resent purchase that runs again, through the same or another gateway.
Test(keyedrequests, replaysTheRecordedOutcome)
{
    TwoGateways pair;
    pair.fixture.run(checkReplay(pair));
}

namespace {

struct Copies
{
    int finished = 0;
    int known = 0;
};

} // namespace

static asio::awaitable<void> buyAndCount(TwoGateways &pair, int gateway, std::string key, Copies &copies)
{
    const CallerAnswer answer = co_await buy(pair, gateway, key, "pass", "/delay/20");
    copies.known += answer.outcome() == "known" ? 1 : 0;
    cr_assert(answer.outcome() == "known" || answer.outcome() == "unknown");
    ++copies.finished;
}

static asio::awaitable<void> checkRace(TwoGateways &pair)
{
    constexpr int KeyCount = 30;
    constexpr int CopyCount = 6;
    Copies copies;
    const auto executor = co_await asio::this_coro::executor;
    for (int key = 0; key < KeyCount; ++key) {
        for (int copy = 0; copy < CopyCount; ++copy) {
            asio::co_spawn(executor, buyAndCount(pair, copy % 2, "race" + std::to_string(key), copies), asio::detached);
        }
    }
    while (copies.finished < KeyCount * CopyCount) {
        co_await pauseFor(milliseconds(5));
    }
    for (int key = 0; key < KeyCount; ++key) {
        cr_assert_eq(pair.target().executions("race" + std::to_string(key)), 1);
    }
    cr_assert_geq(copies.known, KeyCount);
}

// Guards P7: copies of one purchase that arrive at two gateways at the same time.
Test(keyedrequests, runsConcurrentCopiesOnce)
{
    TwoGateways pair;
    pair.fixture.run(checkRace(pair));
}

static asio::awaitable<void> checkLogFaults(TwoGateways &pair)
{
    for (const AppendFault fault : {AppendFault::Refused, AppendFault::LostBefore, AppendFault::LostAfter, AppendFault::Silent}) {
        const std::string key = "fault" + std::to_string(static_cast<int>(fault));
        pair.firstLog.fault = fault;
        const CallerAnswer failed = co_await buy(pair, 0, key, "pass");
        cr_assert_eq(failed.response.result_int(), 503, "fault %d: %u", static_cast<int>(fault), failed.response.result_int());
        cr_assert_eq(failed.outcome(), "not-run");
        cr_assert_eq(pair.target().executions(key), 0);
        pair.firstLog.fault = AppendFault::None;
        pair.firstLog.deliver();
        pair.secondLog.deliver();
        // The outcome notRun frees the key once it can be written.
        co_await pauseFor(milliseconds(700));
        const CallerAnswer again = co_await buy(pair, 1, key, "pass");
        cr_assert_eq(again.response.result_int(), 200, "fault %d: %u", static_cast<int>(fault), again.response.result_int());
        cr_assert_eq(pair.target().executions(key), 1);
    }
    pair.firstLog.reachable = false;
    const CallerAnswer refused = co_await buy(pair, 0, "outage", "pass");
    cr_assert_eq(refused.response.result_int(), 503);
    cr_assert_eq(refused.outcome(), "not-run");
    cr_assert_eq(pair.target().executions("outage"), 0);
}

// Guards P6 and P7 while the log fails: a purchase that is sent without a confirmed intent, or a key that stays taken
// by a request that never ran.
Test(keyedrequests, refusesWithoutConfirmedIntent)
{
    TwoGateways pair;
    pair.fixture.run(checkLogFaults(pair));
}

static asio::awaitable<void> checkForeignRecords(TwoGateways &pair)
{
    Wire::RequestIntent intent;
    intent.customer = "cascadia";
    intent.serviceName = "sales";
    intent.key = "foreign";
    intent.requestId = "other";
    Wire::RequestOutcome outcome;
    outcome.customer = intent.customer;
    outcome.serviceName = intent.serviceName;
    outcome.key = intent.key;
    outcome.requestId = intent.requestId;
    outcome.known = true;
    outcome.status = 7;
    // The hash is that of the request below, so that the outcome is replayed.
    intent.bodyHash = requestHash("POST", "/delay/0", "pass");
    Wire::Record intentRecord;
    intentRecord.__set_requestIntent(intent);
    Wire::Record outcomeRecord;
    outcomeRecord.__set_requestOutcome(outcome);
    Wire::Record foreignRecord;
    foreignRecord.__set_ownershipClaim({});
    std::vector<Wire::Record> records{intentRecord, foreignRecord, outcomeRecord};
    co_await pair.firstLog.append(std::move(records));
    const CallerAnswer answer = co_await buy(pair, 0, "foreign", "pass");
    cr_assert_eq(answer.response.result_int(), 502);
    cr_assert_eq(answer.outcome(), "unknown");
    const CallerAnswer next = co_await buy(pair, 0, "next", "pass");
    cr_assert_eq(next.response.result_int(), 200);
}

// Guards against records of the stream that stop a gateway: an impossible status, a record of another kind.
Test(keyedrequests, survivesForeignRecords)
{
    TwoGateways pair;
    pair.fixture.run(checkForeignRecords(pair));
}

static asio::awaitable<void> checkShortWindow(TwoGateways &pair)
{
    Copies copies;
    asio::co_spawn(co_await asio::this_coro::executor, buyAndCount(pair, 0, "short", copies), asio::detached);
    co_await pauseFor(milliseconds(10));
    pair.stream.time += milliseconds(100);
    const CallerAnswer copy = co_await buy(pair, 1, "short", "pass", "/delay/20");
    cr_assert_eq(copy.outcome(), "unknown");
    co_await pauseFor(milliseconds(100));
    cr_assert_eq(copies.known, 1);
    cr_assert_eq(pair.target().executions("short"), 1);
}

// Guards P7 against a window in the contract that is shorter than a request may take.
Test(keyedrequests, keepsKeysOfRunningRequests)
{
    TwoGateways pair;
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].idempotencyWindow = milliseconds(1);
    for (const auto &gateway : pair.gateways) {
        gateway->setContracts({contract});
    }
    pair.fixture.run(checkShortWindow(pair));
}

static asio::awaitable<void> checkUnknownOutcome(TwoGateways &pair)
{
    const CallerAnswer lost = co_await buy(pair, 0, "lost", "pass", "/close");
    cr_assert_eq(lost.response.result_int(), 502);
    cr_assert_eq(lost.outcome(), "unknown");
    co_await pauseFor(milliseconds(20));
    for (int gateway : {0, 1}) {
        const CallerAnswer again = co_await buy(pair, gateway, "lost", "pass", "/close");
        cr_assert_eq(again.outcome(), "unknown");
    }
    cr_assert_eq(pair.target().executions("lost"), 1);
    // A target that can't be reached frees the key.
    pair.target().stop();
    const CallerAnswer unreachable = co_await buy(pair, 0, "later", "pass");
    cr_assert_eq(unreachable.outcome(), "not-run");
    co_await pauseFor(milliseconds(20));
    pair.fixture.targets.push_back(std::make_unique<FakeTarget>(pair.fixture.context.get_executor()));
    pair.fixture.targets.back()->start();
    pair.gateways[1]->applyPublication(pair.fixture.publication());
    const CallerAnswer later = co_await buy(pair, 1, "later", "pass");
    cr_assert_eq(later.response.result_int(), 200, "%u %s", later.response.result_int(), later.response.body().c_str());
}

// Guards P7 after a lost answer: the purchase must not run again, and its key must not be freed.
Test(keyedrequests, keepsUnknownOutcomes)
{
    TwoGateways pair;
    pair.fixture.run(checkUnknownOutcome(pair));
}
