#include <platform/logclient.h>

#include <http/httpclient.h>
#include <standins/log/logservice.h>
#include <support/coroutines.h>
#include <support/slowserver.h>
#include <utils/endpoint.h>

#include <boost/endian/conversion.hpp>

#include <random>

using namespace Hyssop;
using namespace std::chrono_literals;
namespace asio = boost::asio;

static asio::awaitable<void> checkRoundTrip(LogService &log)
{
    HttpClient http(co_await asio::this_coro::executor);
    LogClient client(http, log.address());
    auto empty = co_await client.read("jobs.east-a", 1, 10, 0ms);
    cr_assert(valueOf(empty) != nullptr);
    cr_assert_eq(valueOf(empty)->head, -1);
    const std::string bytes("\0binary\n\xff", 9);
    for (int i = 1; i <= 5; ++i) {
        const AppendOutcome outcome = co_await client.append("jobs.east-a", bytes + std::to_string(i), 1s);
        cr_assert_eq(std::get<Appended>(outcome).offset, i);
    }
    log.store().truncate("jobs.east-a", 2);
    auto read = co_await client.read("jobs.east-a", 1, 3, 0ms);
    cr_assert(valueOf(read) != nullptr);
    cr_assert_eq(valueOf(read)->oldest, 2);
    cr_assert_eq(valueOf(read)->head, 5);
    cr_assert_eq(valueOf(read)->records.size(), 3);
    cr_assert_eq(valueOf(read)->records[0].offset, 2);
    cr_assert(valueOf(read)->records[0].bytes == bytes + "2");
    cr_assert(std::chrono::abs(std::chrono::system_clock::now() - valueOf(read)->records[0].time) < 10s);
}

// Guards against record bytes, offsets or times that change between append and read.
Test(logclient, appendsAndReads)
{
    asio::io_context context;
    LogService log(context.get_executor(), anyLoopbackPort());
    log.start();
    runToEnd(context, checkRoundTrip(log));
}

static asio::awaitable<void> appendLater(LogService &log)
{
    co_await pauseFor(100ms);
    HttpClient http(co_await asio::this_coro::executor);
    LogClient client(http, log.address());
    co_await client.append("config", "late", 1s);
}

static asio::awaitable<void> checkLongPoll(LogService &log)
{
    HttpClient http(co_await asio::this_coro::executor);
    LogClient client(http, log.address());
    asio::co_spawn(co_await asio::this_coro::executor, appendLater(log), asio::detached);
    const TimePoint start = std::chrono::steady_clock::now();
    auto read = co_await client.read("config", 1, 10, 5s);
    const Duration elapsed = std::chrono::steady_clock::now() - start;
    cr_assert(valueOf(read) != nullptr);
    cr_assert_eq(valueOf(read)->records.size(), 1);
    cr_assert(elapsed > 50ms && elapsed < 3s);
}

// Guards against readers that receive a new record only when the long poll times out.
Test(logclient, longPollEndsWithTheFirstRecord)
{
    asio::io_context context;
    LogService log(context.get_executor(), anyLoopbackPort());
    log.start();
    runToEnd(context, checkLongPoll(log));
}

static asio::awaitable<void> checkOutcomes(LogService &log)
{
    HttpClient http(co_await asio::this_coro::executor);
    LogClient client(http, log.address());
    cr_assert(std::holds_alternative<AppendRejected>(co_await client.append("config", std::string(MaximumLogRecordSize + 1, 'x'), 1s)));
    cr_assert(std::holds_alternative<AppendRejected>(co_await client.append("no/stream", "x", 1s)));
    log.faults().available = false;
    cr_assert(std::holds_alternative<AppendRejected>(co_await client.append("config", "x", 1s)));
    auto read = co_await client.read("config", 1, 10, 0ms);
    cr_assert(errorOf(read) != nullptr);
    log.faults().available = true;
    log.faults().dropAppends = 1;
    cr_assert(std::holds_alternative<AppendUndetermined>(co_await client.append("config", "x", 1s)));
    cr_assert_eq(log.store().statistics().appends, 0);
    log.faults().loseResponses = 1;
    cr_assert(std::holds_alternative<AppendUndetermined>(co_await client.append("config", "x", 1s)));
    cr_assert_eq(log.store().statistics().appends, 1);
    log.faults().appendDelay = 500ms;
    cr_assert(std::holds_alternative<AppendUndetermined>(co_await client.append("config", "x", 50ms)));
    LogClient unreachable(http, "127.0.0.1:1");
    cr_assert(std::holds_alternative<AppendRejected>(co_await unreachable.append("config", "x", 1s)));
}

// Guards against an append that is reported as rejected although its record may be in the log.
Test(logclient, rejectedOnlyWhenCertain)
{
    asio::io_context context;
    LogService log(context.get_executor(), anyLoopbackPort());
    log.start();
    runToEnd(context, checkOutcomes(log));
}

struct CannedResponse
{
    unsigned status = 200;
    std::string oldest;
    std::string head;
    std::string body;
};

static asio::awaitable<HttpResponse> sendCanned(const CannedResponse *canned, const HttpRequest &request)
{
    HttpResponse response = makeResponse(request, static_cast<boost::beast::http::status>(canned->status), canned->body);
    response.set("X-Oldest", canned->oldest);
    response.set("X-Head", canned->head);
    co_return response;
}

static std::string recordBytes(std::int64_t offset, std::int64_t timeMs, std::uint32_t size, const std::string &bytes)
{
    std::string result;
    for (int shift = 56; shift >= 0; shift -= 8) {
        result += static_cast<char>(static_cast<std::uint64_t>(offset) >> static_cast<unsigned>(shift));
    }
    for (int shift = 56; shift >= 0; shift -= 8) {
        result += static_cast<char>(static_cast<std::uint64_t>(timeMs) >> static_cast<unsigned>(shift));
    }
    for (int shift = 24; shift >= 0; shift -= 8) {
        result += static_cast<char>(size >> static_cast<unsigned>(shift));
    }
    return result + bytes;
}

static std::vector<CannedResponse> malformedReads()
{
    const std::string good = recordBytes(3, 1000, 2, "ab");
    return {
        {200, "", "3", good},
        {200, "1", "x3", good},
        {200, "1", "-7", ""},
        {200, "1", "2", good},
        {200, "4", "9", good},
        {200, "1", "9", good + good},
        {200, "1", "9", ""},
        {200, "1", "9", good.substr(0, 21)},
        {200, "1", "9", good.substr(0, 10)},
        {200, "1", "9", recordBytes(3, -5, 2, "ab")},
        {200, "1", "9", recordBytes(3, std::numeric_limits<std::int64_t>::max(), 2, "ab")},
        {200, "1", "9", recordBytes(3, 1000, 0xffffffffU, "ab")},
        {200, "1", "9", recordBytes(1, 1000, 2, "ab")},
        {200, "1", "9", good + recordBytes(4, 1, 0, "") + recordBytes(5, 1, 0, "") + recordBytes(6, 1, 0, "")},
    };
}

static asio::awaitable<void> checkMalformedReads(CannedResponse *canned, std::string address)
{
    HttpClient http(co_await asio::this_coro::executor);
    LogClient client(http, std::move(address));
    *canned = {200, "1", "3", recordBytes(3, 1000, 2, "ab")};
    auto good = co_await client.read("config", 2, 3, 0ms);
    cr_assert(valueOf(good) != nullptr);
    const std::vector<CannedResponse> reads = malformedReads();
    for (std::size_t i = 0; i < reads.size(); ++i) {
        *canned = reads[i];
        auto outcome = co_await client.read("config", 2, 3, 0ms);
        cr_assert(errorOf(outcome) != nullptr, "response %zu was accepted", i);
        cr_assert(errorOf(outcome)->code == ErrorCode::Malformed);
    }
    cr_assert_eq(client.malformedResponses(), reads.size());
    for (const char *body : {"", "{}", "{\"offset\": 0}", "{\"offset\": \"1\"}", "[1]"}) {
        *canned = {200, "", "", body};
        const AppendOutcome outcome = co_await client.append("config", "x", 1s);
        cr_assert(std::holds_alternative<AppendUndetermined>(outcome), "\"%s\" was accepted", body);
    }
    cr_assert_eq(client.malformedResponses(), reads.size() + 5);
}

// Guards against malformed responses that are accepted as records.
Test(logclient, malformedResponsesAreErrorsAndCounted)
{
    asio::io_context context;
    CannedResponse canned;
    HttpServer server(context.get_executor(), anyLoopbackPort(), [&](const HttpRequest &request) { return sendCanned(&canned, request); });
    server.start();
    runToEnd(context, checkMalformedReads(&canned, formatEndpoint(server.localEndpoint())));
}

static asio::awaitable<void> checkRandomDamage(CannedResponse *canned, std::string address)
{
    constexpr unsigned Seed = 20261204;
    std::mt19937 random(Seed);
    HttpClient http(co_await asio::this_coro::executor);
    LogClient client(http, std::move(address));
    for (int round = 0; round < 500; ++round) {
        std::string body;
        for (int offset = 2; offset < 6; ++offset) {
            body += recordBytes(offset, 1000, 3, "abc");
        }
        for (unsigned changes = random() % 4; changes > 0; --changes) {
            body[random() % body.size()] = static_cast<char>(random());
        }
        body.resize(body.size() - random() % 3);
        *canned = {200, "1", "5", body};
        auto outcome = co_await client.read("config", 2, 10, 0ms);
        if (const ReadResult *read = valueOf(outcome)) {
            std::int64_t previous = 1;
            for (const LogRecord &record : read->records) {
                cr_assert(record.offset > previous && record.offset <= 5);
                previous = record.offset;
            }
        }
    }
}

// Guards against a crash or out-of-order records on randomly damaged responses (seed 20261204).
Test(logclient, survivesRandomDamage)
{
    asio::io_context context;
    CannedResponse canned;
    HttpServer server(context.get_executor(), anyLoopbackPort(), [&](const HttpRequest &request) { return sendCanned(&canned, request); });
    server.start();
    runToEnd(context, checkRandomDamage(&canned, formatEndpoint(server.localEndpoint())));
}

static std::string logRecord(std::uint64_t offset, const std::string &bytes)
{
    std::string record(8 + 8 + 4, '\0');
    auto *header = reinterpret_cast<unsigned char *>(record.data());
    boost::endian::store_big_u64(header, offset);
    boost::endian::store_big_u64(header + 8, 1);
    boost::endian::store_big_u32(header + 16, static_cast<std::uint32_t>(bytes.size()));
    return record + bytes;
}

static asio::awaitable<void> readSlowly(SlowServer &server)
{
    HttpClient http(co_await asio::this_coro::executor);
    LogClient client(http, formatEndpoint(server.localEndpoint()));
    auto read = co_await client.read("config", 1, 10, 0ms);
    const Error *error = errorOf(read);
    cr_assert_null(error, "%s", error != nullptr ? error->message.c_str() : "");
    cr_assert_eq(valueOf(read)->records.size(), 4);
    cr_assert_eq(server.requests(), 1);
}

// Guards against records that are sent again and again because together they take longer than a fixed deadline.
Test(logclient, recordsOverASlowLinkAreReadInOneRequest)
{
    SlowResponse response;
    response.fields = "X-Oldest: 1\r\nX-Head: 4\r\n";
    for (std::uint64_t offset = 1; offset <= 4; ++offset) {
        response.body += logRecord(offset, std::string(MaximumLogRecordSize, 'x'));
    }
    response.pieceSize = response.body.size() / 20;
    response.pieceInterval = 120ms;
    asio::io_context context;
    SlowServer server(context.get_executor(), std::move(response));
    runToEnd(context, readSlowly(server));
}
