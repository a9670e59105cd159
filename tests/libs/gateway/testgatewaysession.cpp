#include "gatewayfixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <random>

using namespace Hyssop;
using namespace Hyssop::Testing;
namespace asio = boost::asio;

static asio::awaitable<void> checkSequentialRequests(GatewayFixture &fixture)
{
    Caller caller(fixture.endpoint());
    for (int i = 0; i < 10; ++i) {
        const std::string id = std::to_string(i);
        const CallerResult result = co_await caller.send("POST", "/cascadia/sales/echo/x?y=1", id, "body " + id);
        cr_assert(!result.error, "%s", result.error.message().c_str());
        cr_assert_eq(result.response.result_int(), 200);
        const std::string expected = "id=" + id + " path=/echo/x?y=1 body=body " + id;
        cr_assert_str_eq(result.response.body().c_str(), expected.c_str());
        cr_assert_eq(result.outcome(), "known");
        cr_assert(!result.response["Hyssop-Request-Id"].empty());
        cr_assert(result.keepAlive);
    }
    cr_assert_eq(fixture.targets[0]->totalExecutions(), 10);
}

// Guards against requests that don't reach a target of their service or arrive incomplete.
Test(gatewaysession, servesRequestsOnOneConnection)
{
    GatewayFixture fixture;
    fixture.run(checkSequentialRequests(fixture));
}

static asio::awaitable<void> checkPipelining(GatewayFixture &fixture)
{
    constexpr int RequestCount = 30;
    Caller caller(fixture.endpoint());
    std::string bytes;
    for (int i = 0; i < RequestCount; ++i) {
        bytes += "POST /cascadia/sales/delay/" + std::to_string(i % 3 * 5) + " HTTP/1.1\r\nHost: a\r\nX-Id: " + std::to_string(i)
            + "\r\nContent-Length: 3\r\n\r\nabc";
    }
    co_await caller.sendBytes(bytes);
    for (int i = 0; i < RequestCount; ++i) {
        const CallerResult result = co_await caller.receive();
        cr_assert(!result.error, "%s", result.error.message().c_str());
        const std::string expected = "id=" + std::to_string(i);
        cr_assert_str_eq(result.response.body().c_str(), expected.c_str());
    }
}

// Guards against pipelined requests that are lost, answered out of order or parsed as part of a body.
Test(gatewaysession, answersPipelinedRequestsInOrder)
{
    GatewayFixture fixture;
    fixture.run(checkPipelining(fixture));
}

static asio::awaitable<void> checkLargeBodies(GatewayFixture &fixture)
{
    constexpr std::size_t Size = 10'000'000;
    Caller caller(fixture.endpoint());
    for (const std::string path : {"huge/", "chunked/", "unsized/"}) {
        const CallerResult result = co_await caller.send("GET", "/cascadia/sales/" + path + std::to_string(Size), "1");
        cr_assert(!result.error, "%s: %s", path.c_str(), result.error.message().c_str());
        cr_assert(result.response.body() == patternBody(Size), "%s", path.c_str());
        cr_assert(result.keepAlive, "%s", path.c_str());
    }
    const std::string upload = patternBody(Size);
    const std::size_t prefixSize = std::string("id=2 path=/echo/x body=").size();
    const CallerResult echoed = co_await caller.send("POST", "/cascadia/sales/echo/x", "2", upload);
    cr_assert(!echoed.error, "%s", echoed.error.message().c_str());
    cr_assert(echoed.response.body().substr(prefixSize) == upload);
    cr_assert(echoed.keepAlive);
    std::string chunked = "POST /cascadia/sales/echo/x HTTP/1.1\r\nHost: a\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 100; ++i) {
        chunked += "2710\r\n" + upload.substr(i * 10000, 10000) + "\r\n";
    }
    co_await caller.sendBytes(chunked + "0\r\n\r\n");
    const CallerResult echoedChunks = co_await caller.receive();
    cr_assert(!echoedChunks.error, "%s", echoedChunks.error.message().c_str());
    cr_assert(echoedChunks.response.body().substr(prefixSize) == upload.substr(0, 1'000'000));
}

// Guards against large messages that arrive incomplete, and against bodies that are buffered as a whole.
Test(gatewaysession, streamsLargeBodiesInBothDirections)
{
    GatewayFixture fixture;
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].timeout = std::chrono::seconds(10);
    fixture.gateway->setContracts({contract});
    fixture.run(checkLargeBodies(fixture));
}

static asio::awaitable<void> checkSlowPeers(GatewayFixture &fixture)
{
    constexpr std::size_t Size = 3'000'000;
    constexpr std::size_t Step = 50'000;
    Caller slowTarget(fixture.endpoint());
    const CallerResult slowResponse = co_await slowTarget.send("GET", "/cascadia/sales/drip/30", "1");
    cr_assert(!slowResponse.error);
    cr_assert_eq(slowResponse.response.body().size(), 30 * 4);
    asio::ip::tcp::socket slowCaller(co_await asio::this_coro::executor);
    co_await slowCaller.async_connect(fixture.endpoint(), asio::use_awaitable);
    const std::string request = "GET /cascadia/sales/huge/" + std::to_string(Size) + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    co_await asio::async_write(slowCaller, asio::buffer(request), asio::use_awaitable);
    std::string received;
    std::string step(Step, '\0');
    boost::system::error_code error;
    while (!error) {
        const std::size_t size = co_await slowCaller.async_read_some(asio::buffer(step), asio::redirect_error(asio::use_awaitable, error));
        received.append(step, 0, size);
        co_await pauseFor(std::chrono::milliseconds(5));
    }
    cr_assert(received.ends_with(patternBody(Size)));
}

// Guards against responses that are truncated because the target or the caller is slow.
Test(gatewaysession, forwardsSlowResponsesCompletely)
{
    GatewayFixture fixture;
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].timeout = std::chrono::seconds(10);
    fixture.gateway->setContracts({contract});
    fixture.run(checkSlowPeers(fixture));
}

namespace {

struct RequestCounter
{
    int finished = 0;
};

} // namespace

static asio::awaitable<void> sendAndCount(GatewayFixture &fixture, std::string path, RequestCounter &counter)
{
    Caller caller(fixture.endpoint());
    co_await caller.send("GET", path, "held");
    ++counter.finished;
}

static asio::awaitable<void> checkRampAfterOutage(GatewayFixture &fixture)
{
    constexpr int RequestCount = 100;
    Caller caller(fixture.endpoint());
    const auto targets = fixture.publication();
    auto leaving = targets;
    leaving[0].leaving = true;
    fixture.gateway->applyPublication(leaving);
    const CallerResult none = co_await caller.send("POST", "/cascadia/sales/delay/0", "1");
    cr_assert_eq(none.response.result_int(), 503);
    leaving[0].leaving = false;
    leaving[0].incarnation = "2";
    fixture.gateway->applyPublication(leaving);
    const auto executor = co_await asio::this_coro::executor;
    RequestCounter counter;
    for (int i = 0; i < RequestCount; ++i) {
        asio::co_spawn(executor, sendAndCount(fixture, "/cascadia/sales/delay/100", counter), asio::detached);
    }
    while (counter.finished < RequestCount) {
        co_await pauseFor(std::chrono::milliseconds(10));
    }
    const int admitted = fixture.targets[0]->executions("held");
    // The ramp starts at a tenth of the contract's 100 requests in flight and rises slightly during this time.
    cr_assert_geq(admitted, 10);
    cr_assert_lt(admitted, 30);
    co_await pauseFor(std::chrono::milliseconds(500));
    counter.finished = 0;
    for (int i = 0; i < RequestCount; ++i) {
        asio::co_spawn(executor, sendAndCount(fixture, "/cascadia/sales/delay/100", counter), asio::detached);
    }
    while (counter.finished < RequestCount) {
        co_await pauseFor(std::chrono::milliseconds(10));
    }
    cr_assert_eq(fixture.targets[0]->executions("held") - admitted, RequestCount);
}

// Guards against full load on targets directly after an outage.
Test(gatewaysession, admitsLoadGraduallyAfterAnOutage)
{
    GatewayOptions options = GatewayFixture::defaultOptions();
    options.rampDuration = std::chrono::milliseconds(500);
    GatewayFixture fixture(1, options);
    Contract contract = GatewayFixture::defaultContract();
    contract.services[0].concurrency = 100;
    fixture.gateway->setContracts({contract});
    fixture.run(checkRampAfterOutage(fixture));
}

struct FailureCase
{
    std::string method;
    std::string path;
    unsigned status; // 0: the connection is closed before the response is complete
    std::string outcome;
};

static asio::awaitable<void> checkFailure(GatewayFixture &fixture, FailureCase failure)
{
    Caller caller(fixture.endpoint());
    const std::string body = failure.method == "POST" ? "body" : "";
    const CallerResult result = co_await caller.send(failure.method, "/cascadia/sales" + failure.path, "1", body);
    if (failure.status == 0) {
        cr_assert(result.error, "%s: a truncated response looks complete", failure.path.c_str());
    } else {
        cr_assert(!result.error, "%s: %s", failure.path.c_str(), result.error.message().c_str());
        cr_assert_eq(result.response.result_int(), failure.status, "%s: %u", failure.path.c_str(), result.response.result_int());
        cr_assert_eq(result.outcome(), failure.outcome, "%s", failure.path.c_str());
    }
    // The next request, on this connection or another, must get its own response.
    const CallerResult next = co_await caller.send("POST", "/cascadia/sales/delay/0", "next");
    cr_assert(!next.error, "%s: %s", failure.path.c_str(), next.error.message().c_str());
    cr_assert_str_eq(next.response.body().c_str(), "id=next", "%s", failure.path.c_str());
}

// Guards against a wrong status or outcome after a target failure, and against a failure that affects the next request.
Test(gatewaysession, mapsTargetFailures)
{
    const std::vector<FailureCase> cases{
        {"POST", "/close", 502, "unknown"},
        {"POST", "/reset", 502, "unknown"},
        {"POST", "/garbage", 502, "unknown"},
        {"POST", "/blackhole", 504, "unknown"},
        {"GET", "/blackhole", 504, "unknown"},
        {"POST", "/truncate/1000", 502, "unknown"},
        {"POST", "/truncate/1000000", 0, ""},
        {"POST", "/truncate-chunked/100000", 0, ""},
        {"POST", "/close-after", 200, "known"},
        {"POST", "/close-announced", 200, "known"},
        {"POST", "/extra", 200, "known"},
        {"HEAD", "/huge/100000", 200, "known"},
    };
    GatewayFixture fixture;
    Contract contract = GatewayFixture::defaultContract();
    // If a failure does not release its slot of the concurrency limit, a later request gets status 429.
    contract.services[0].concurrency = 2;
    fixture.gateway->setContracts({contract});
    for (const FailureCase &failure : cases) {
        fixture.run(checkFailure(fixture, failure));
    }
}

static asio::awaitable<void> checkRetries(GatewayFixture &fixture)
{
    Caller caller(fixture.endpoint());
    const CallerResult got = co_await caller.send("GET", "/cascadia/sales/close", "get");
    cr_assert_eq(got.response.result_int(), 502);
    cr_assert_eq(fixture.targets[0]->executions("get"), 3);
    for (int i = 0; i < 20; ++i) {
        co_await caller.send("GET", "/cascadia/sales/close", "storm");
    }
    // The budget starts with three retries and does not grow without successes.
    cr_assert_eq(fixture.targets[0]->executions("storm"), 21);
    cr_assert_eq(fixture.metrics.value("hyssop_gateway_retries_total", {{"customer", "cascadia"}, {"service", "sales"}}), 3);
}

// Guards against retries that amplify an overload.
Test(gatewaysession, boundsRetriesByTheBudget)
{
    GatewayFixture fixture;
    fixture.run(checkRetries(fixture));
}

static asio::awaitable<void> checkSeparateLimits(GatewayFixture &fixture)
{
    constexpr int NoisyRequests = 50;
    RequestCounter counter;
    const auto executor = co_await asio::this_coro::executor;
    for (int i = 0; i < NoisyRequests; ++i) {
        asio::co_spawn(executor, sendAndCount(fixture, "/noisy/sales/delay/200", counter), asio::detached);
    }
    co_await pauseFor(std::chrono::milliseconds(50));
    Caller caller(fixture.endpoint());
    const auto start = std::chrono::steady_clock::now();
    const CallerResult quiet = co_await caller.send("POST", "/cascadia/sales/delay/0", "quiet");
    cr_assert_eq(quiet.response.result_int(), 200);
    cr_assert(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(100));
    const CallerResult limited = co_await caller.send("POST", "/noisy/sales/delay/0", "limited", "body");
    cr_assert_eq(limited.response.result_int(), 429);
    cr_assert_eq(limited.outcome(), "not-run");
    cr_assert(limited.keepAlive);
    cr_assert_eq(fixture.targets[0]->executions("limited") + fixture.targets[1]->executions("limited"), 0);
    while (counter.finished < NoisyRequests) {
        co_await pauseFor(std::chrono::milliseconds(10));
    }
    const double rejected = fixture.metrics.value("hyssop_gateway_limited_total", {{"customer", "noisy"}, {"service", "sales"}, {"limit", "concurrency"}});
    cr_assert_eq(rejected, NoisyRequests - 4 + 1);
    const CallerResult later = co_await caller.send("POST", "/noisy/sales/delay/0", "later");
    cr_assert_eq(later.response.result_int(), 200);
}

// Guards against a customer that uses up the limits of another one.
Test(gatewaysession, keepsLimitsOfCustomersApart)
{
    GatewayFixture fixture(2);
    Contract noisy = GatewayFixture::defaultContract();
    noisy.customer = "noisy";
    noisy.services[0].concurrency = 4;
    fixture.gateway->setContracts({GatewayFixture::defaultContract(), noisy});
    auto targets = fixture.publication();
    targets[1].customer = "noisy";
    fixture.gateway->applyPublication(targets);
    fixture.run(checkSeparateLimits(fixture));
}

struct RefusedInput
{
    std::string bytes;
    unsigned status;
};

static asio::awaitable<void> checkRefused(GatewayFixture &fixture, RefusedInput input)
{
    Caller caller(fixture.endpoint());
    co_await caller.sendBytes(input.bytes);
    const CallerResult result = co_await caller.receive();
    cr_assert(!result.error, "%s: %s", input.bytes.substr(0, 200).c_str(), result.error.message().c_str());
    cr_assert_eq(result.response.result_int(), input.status, "%s: %u", input.bytes.substr(0, 200).c_str(), result.response.result_int());
    cr_assert_eq(result.outcome(), "not-run");
    cr_assert_eq(fixture.targets[0]->totalExecutions(), 0);
}

// Guards against invalid input that reaches a target, gets no error status or crashes the gateway.
Test(gatewaysession, refusesBadInput)
{
    const std::string path = " /cascadia/sales/echo HTTP/1.1\r\nHost: a\r\n";
    const std::vector<RefusedInput> inputs{
        {"NONSENSE\r\n\r\n", 400},
        {"GET" + path + "X: " + std::string(20000, 'x') + "\r\n\r\n", 431},
        {"GET /cascadia/sales/echo HTTP/1.1\r\n\r\n", 400},
        {"GET /cascadia/sales/echo HTTP/2.0\r\nHost: a\r\n\r\n", 505},
        {"GET http://a/cascadia/sales/echo HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 405},
        {"TRACE" + path + "\r\n", 405},
        {"POST" + path + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
        {"POST" + path + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {"POST" + path + "Transfer-Encoding: gzip\r\n\r\nabc", 400},
        {"POST" + path + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
        {"POST" + path + "Content-Length: -1\r\n\r\n", 400},
        {"POST" + path + "Content-Length: 5\r\n\r\nab", 408},
        {"POST" + path + "Content-Length: 100000000\r\n\r\n", 413},
        {"GET" + path + "X: unfinished", 408},
        {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404},
        {"GET /cascadia HTTP/1.1\r\nHost: a\r\n\r\n", 404},
        {"GET /cascadia/other/x HTTP/1.1\r\nHost: a\r\n\r\n", 404},
        {"GET //sales/x HTTP/1.1\r\nHost: a\r\n\r\n", 404},
        {"POST" + path + "Idempotency-Key: a b\r\nContent-Length: 0\r\n\r\n", 400},
        {"POST" + path + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", 400},
        {"POST" + path + "Idempotency-Key: a\r\nContent-Length: 0\r\n\r\n", 503},
    };
    GatewayOptions options = GatewayFixture::defaultOptions();
    options.headerTimeout = std::chrono::milliseconds(100);
    options.stallTimeout = std::chrono::milliseconds(100);
    options.maximumBodyBytes = 1'000'000;
    GatewayFixture fixture(1, options);
    for (const RefusedInput &input : inputs) {
        fixture.run(checkRefused(fixture, input));
    }
    const double counted = fixture.metrics.value("hyssop_gateway_bad_requests_total", {{"reason", "header-limit"}});
    cr_assert_eq(counted, 1);
    fixture.run(checkSequentialRequests(fixture));
}

static asio::awaitable<void> sendFuzzed(GatewayFixture &fixture, std::mt19937_64 &random)
{
    const std::string valid = "POST /cascadia/sales/delay/0 HTTP/1.1\r\nHost: a\r\nX-Id: f\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                              "GET /cascadia/sales/delay/0 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    std::string bytes = valid;
    const std::size_t changes = 1 + random() % 8;
    for (std::size_t i = 0; i < changes; ++i) {
        bytes += bytes.empty() ? "G" : "";
        const std::size_t position = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[position] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(position, 1 + random() % 10);
            break;
        case 2:
            bytes.insert(position, bytes.substr(random() % bytes.size(), random() % 30));
            break;
        default:
            bytes.resize(position + 1);
        }
    }
    Caller caller(fixture.endpoint());
    co_await caller.sendBytes(bytes);
    co_await caller.receive();
}

static asio::awaitable<void> checkFuzzed(GatewayFixture &fixture)
{
    constexpr std::uint64_t Seed = 20261204;
    constexpr int InputCount = 2000;
    std::mt19937_64 random(Seed);
    for (int i = 0; i < InputCount; ++i) {
        co_await sendFuzzed(fixture, random);
    }
    Caller caller(fixture.endpoint());
    const CallerResult result = co_await caller.send("POST", "/cascadia/sales/delay/0", "after");
    cr_assert_str_eq(result.response.body().c_str(), "id=after");
}

// Guards against malformed HTTP (seed 20261204) that crashes the gateway or leaks slots of the limits.
Test(gatewaysession, survivesFuzzedInput)
{
    GatewayOptions options = GatewayFixture::defaultOptions();
    options.headerTimeout = std::chrono::milliseconds(5);
    options.stallTimeout = std::chrono::milliseconds(5);
    options.idleTimeout = std::chrono::milliseconds(5);
    GatewayFixture fixture(1, options);
    fixture.run(checkFuzzed(fixture), std::chrono::seconds(60));
    cr_assert_eq(fixture.gateway->requestsInFlight(), 0);
}
