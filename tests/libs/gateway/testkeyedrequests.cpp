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
        // Lets pending requests and appends finish while the logs still exist.
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

static asio::awaitable<CallerResult> sendPurchase(TwoGateways &pair, int gateway, std::string key, std::string body, std::string path = "/delay/0")
{
    Caller caller(pair.gateways[gateway]->localEndpoint());
    std::string header = "Idempotency-Key: " + key + "\r\n";
    co_return co_await caller.send("POST", "/cascadia/sales" + path, key, body, header);
}

static asio::awaitable<void> checkReplay(TwoGateways &pair)
{
    const CallerResult first = co_await sendPurchase(pair, 0, "k1", "pass");
    cr_assert_eq(first.response.result_int(), 200);
    co_await pauseFor(milliseconds(20));
    for (int gateway : {0, 1}) {
        const CallerResult again = co_await sendPurchase(pair, gateway, "k1", "pass");
        cr_assert_eq(again.response.result_int(), 200);
        cr_assert_str_eq(again.response.body().c_str(), "id=k1");
        cr_assert_eq(std::string(again.response["Hyssop-Replayed"]), "true");
        const CallerResult other = co_await sendPurchase(pair, gateway, "k1", "another body");
        cr_assert_eq(other.response.result_int(), 422);
        cr_assert_eq(other.outcome(), "not-run");
    }
    cr_assert_eq(pair.target().executions("k1"), 1);
    const CallerResult large = co_await sendPurchase(pair, 0, "k2", "pass", "/huge/100000");
    cr_assert(large.response.body() == patternBody(100000));
    co_await pauseFor(milliseconds(20));
    const CallerResult dropped = co_await sendPurchase(pair, 1, "k2", "pass", "/huge/100000");
    cr_assert_eq(dropped.response.result_int(), 409);
    cr_assert_eq(dropped.outcome(), "known");
    cr_assert_eq(pair.target().executions("k2"), 1);
}

// Guards P7: a purchase that is sent again, through the same or another gateway, must not run again.
Test(keyedrequests, replaysTheRecordedOutcome)
{
    TwoGateways pair;
    pair.fixture.run(checkReplay(pair));
}

namespace {

struct DuplicateResults
{
    int finished = 0;
    int known = 0;
};

} // namespace

static asio::awaitable<void> sendAndCount(TwoGateways &pair, int gateway, std::string key, DuplicateResults &duplicates)
{
    const CallerResult result = co_await sendPurchase(pair, gateway, key, "pass", "/delay/20");
    duplicates.known += result.outcome() == "known" ? 1 : 0;
    cr_assert(result.outcome() == "known" || result.outcome() == "unknown");
    ++duplicates.finished;
}

static asio::awaitable<void> checkRace(TwoGateways &pair)
{
    constexpr int KeyCount = 30;
    constexpr int DuplicateCount = 6;
    DuplicateResults duplicates;
    const auto executor = co_await asio::this_coro::executor;
    for (int key = 0; key < KeyCount; ++key) {
        for (int copy = 0; copy < DuplicateCount; ++copy) {
            asio::co_spawn(executor, sendAndCount(pair, copy % 2, "race" + std::to_string(key), duplicates), asio::detached);
        }
    }
    while (duplicates.finished < KeyCount * DuplicateCount) {
        co_await pauseFor(milliseconds(5));
    }
    for (int key = 0; key < KeyCount; ++key) {
        cr_assert_eq(pair.target().executions("race" + std::to_string(key)), 1);
    }
    cr_assert_geq(duplicates.known, KeyCount);
}

// Guards P7: of duplicates of one purchase that arrive at two gateways at the same time, only one may run.
Test(keyedrequests, runsConcurrentCopiesOnce)
{
    TwoGateways pair;
    pair.fixture.run(checkRace(pair));
}

static asio::awaitable<void> checkLogFaults(TwoGateways &pair)
{
    for (const AppendFault fault : {AppendFault::Refused, AppendFault::LostBeforeWrite, AppendFault::LostAfterWrite, AppendFault::NotDelivered}) {
        const std::string key = "fault" + std::to_string(static_cast<int>(fault));
        pair.firstLog.fault = fault;
        const CallerResult failed = co_await sendPurchase(pair, 0, key, "pass");
        cr_assert_eq(failed.response.result_int(), 503, "fault %d: %u", static_cast<int>(fault), failed.response.result_int());
        cr_assert_eq(failed.outcome(), "not-run");
        cr_assert_eq(pair.target().executions(key), 0);
        pair.firstLog.fault = AppendFault::None;
        pair.firstLog.deliver();
        pair.secondLog.deliver();
        // The outcome notRun releases the key once it can be written.
        co_await pauseFor(milliseconds(700));
        const CallerResult again = co_await sendPurchase(pair, 1, key, "pass");
        cr_assert_eq(again.response.result_int(), 200, "fault %d: %u", static_cast<int>(fault), again.response.result_int());
        cr_assert_eq(pair.target().executions(key), 1);
    }
    pair.firstLog.reachable = false;
    const CallerResult refused = co_await sendPurchase(pair, 0, "outage", "pass");
    cr_assert_eq(refused.response.result_int(), 503);
    cr_assert_eq(refused.outcome(), "not-run");
    cr_assert_eq(pair.target().executions("outage"), 0);
}

// Guards P6 and P7 while the log fails: a purchase must not be sent without a confirmed intent, and a key must not stay
// owned by a request that never ran.
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
    const CallerResult result = co_await sendPurchase(pair, 0, "foreign", "pass");
    cr_assert_eq(result.response.result_int(), 502);
    cr_assert_eq(result.outcome(), "unknown");
    const CallerResult next = co_await sendPurchase(pair, 0, "next", "pass");
    cr_assert_eq(next.response.result_int(), 200);
}

// Guards against stream records that crash a gateway: an invalid status, a record of another type.
Test(keyedrequests, survivesForeignRecords)
{
    TwoGateways pair;
    pair.fixture.run(checkForeignRecords(pair));
}

static asio::awaitable<void> checkShortWindow(TwoGateways &pair)
{
    DuplicateResults duplicates;
    asio::co_spawn(co_await asio::this_coro::executor, sendAndCount(pair, 0, "short", duplicates), asio::detached);
    co_await pauseFor(milliseconds(10));
    pair.stream.time += milliseconds(100);
    const CallerResult copy = co_await sendPurchase(pair, 1, "short", "pass", "/delay/20");
    cr_assert_eq(copy.outcome(), "unknown");
    co_await pauseFor(milliseconds(100));
    cr_assert_eq(duplicates.known, 1);
    cr_assert_eq(pair.target().executions("short"), 1);
}

// Guards P7 for a contract whose idempotency window is shorter than the duration of a request.
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
    const CallerResult lost = co_await sendPurchase(pair, 0, "lost", "pass", "/close");
    cr_assert_eq(lost.response.result_int(), 502);
    cr_assert_eq(lost.outcome(), "unknown");
    co_await pauseFor(milliseconds(20));
    for (int gateway : {0, 1}) {
        const CallerResult again = co_await sendPurchase(pair, gateway, "lost", "pass", "/close");
        cr_assert_eq(again.outcome(), "unknown");
    }
    cr_assert_eq(pair.target().executions("lost"), 1);
    // The key is released if no target can be reached.
    pair.target().stop();
    const CallerResult unreachable = co_await sendPurchase(pair, 0, "later", "pass");
    cr_assert_eq(unreachable.outcome(), "not-run");
    co_await pauseFor(milliseconds(20));
    pair.fixture.targets.push_back(std::make_unique<FakeTarget>(pair.fixture.context.get_executor()));
    pair.fixture.targets.back()->start();
    pair.gateways[1]->applyPublication(pair.fixture.publication());
    const CallerResult later = co_await sendPurchase(pair, 1, "later", "pass");
    cr_assert_eq(later.response.result_int(), 200, "%u %s", later.response.result_int(), later.response.body().c_str());
}

// Guards P7 after a lost response: the purchase must not run again, and its key must not be released.
Test(keyedrequests, keepsUnknownOutcomes)
{
    TwoGateways pair;
    pair.fixture.run(checkUnknownOutcome(pair));
}
