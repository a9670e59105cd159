#include <platform/logtailer.h>

#include <http/httpclient.h>
#include <observability/metricsregistry.h>
#include <platform/seenbatchids.h>
#include <standins/log/logservice.h>
#include <support/coroutines.h>
#include <wire/codec.h>

using namespace Hyssop;
using namespace std::chrono_literals;
namespace asio = boost::asio;

struct Fixture
{
    Fixture()
        : log(context.get_executor(), anyLoopbackPort())
        , http(context.get_executor())
        , client(http, log.address())
        , tailer(client, "config", metrics)
    {
        log.start();
        tailer.setBatchHandler([this](std::int64_t offset, WallTime, const Wire::RecordBatch &batch) {
            received.emplace_back(offset, batch.records.size());
            cr_assert_lt(tailer.appliedUpTo(), offset);
        });
    }

    void append(std::string bytes) { log.store().append("config", std::move(bytes), std::chrono::system_clock::now()); }
    double counter(const std::string &name) const { return metrics.value(name, {{"stream", "config"}}); }

    asio::io_context context;
    LogService log;
    HttpClient http;
    LogClient client;
    MetricsRegistry metrics;
    LogTailer tailer;
    std::vector<std::pair<std::int64_t, std::size_t>> received; // offset, number of records
};

static std::string batchBytes(const std::string &id, int formatVersion = 1)
{
    Wire::RecordBatch batch;
    batch.formatVersion = formatVersion;
    batch.batchId = id;
    Wire::Record record;
    record.__set_jobCancelled({});
    batch.records = {record};
    return encode(batch);
}

static asio::awaitable<void> followUntilHead(Fixture &fixture, std::int64_t head)
{
    asio::co_spawn(fixture.context, fixture.tailer.run(), asio::detached);
    while (fixture.tailer.appliedUpTo() < head) {
        co_await pauseFor(2ms);
    }
    fixture.tailer.stop();
}

// Guards against a repeated batch that is delivered twice and against damaged batches that stop the reader.
Test(logtailer, dropsRepeatedAndSkipsDamagedBatches)
{
    Fixture fixture;
    fixture.append(batchBytes("a"));
    fixture.append("damaged");
    fixture.append(batchBytes("a"));
    fixture.append(batchBytes("b", 99));
    fixture.append(batchBytes("c"));
    runToEnd(fixture.context, followUntilHead(fixture, 5));
    const std::vector<std::pair<std::int64_t, std::size_t>> expected{{1, 1}, {2, 0}, {4, 0}, {5, 1}};
    cr_assert(fixture.received == expected);
    cr_assert_eq(fixture.counter("hyssop_log_undecodable_batches_total"), 1);
    cr_assert_eq(fixture.counter("hyssop_log_unknown_format_batches_total"), 1);
    cr_assert_eq(fixture.counter("hyssop_log_repeated_batches_total"), 1);
}

// Guards against records that are skipped when a stream exceeds the limits of one read or response.
Test(logtailer, readsLongStreamsInOrder)
{
    Fixture fixture;
    for (int i = 0; i < 1000; ++i) {
        fixture.append(i % 100 == 0 ? std::string(200 * 1024, 'x') : batchBytes(std::to_string(i)));
    }
    fixture.log.store().truncate("config", 11);
    runToEnd(fixture.context, followUntilHead(fixture, 1000));
    cr_assert_eq(fixture.received.size(), 990);
    for (std::size_t i = 0; i < fixture.received.size(); ++i) {
        cr_assert_eq(fixture.received[i].first, i + 11);
    }
    cr_assert_eq(fixture.tailer.oldest(), 11);
}

static asio::awaitable<void> checkHeadVerification(Fixture &fixture)
{
    asio::co_spawn(fixture.context, fixture.tailer.run(), asio::detached);
    while (!fixture.tailer.caughtUp()) {
        co_await pauseFor(2ms);
    }
    cr_assert_eq(fixture.tailer.head(), -1);
    for (int i = 0; i < 4; ++i) {
        co_await pauseFor(400ms);
        cr_assert(std::chrono::steady_clock::now() - *fixture.tailer.headVerifiedAt() < 1200ms);
    }
    fixture.log.faults().available = false;
    co_await pauseFor(700ms);
    const auto verifiedAt = fixture.tailer.headVerifiedAt();
    co_await pauseFor(300ms);
    cr_assert(fixture.tailer.headVerifiedAt() == verifiedAt);
    fixture.log.faults().available = true;
    fixture.append(batchBytes("a"));
    const TimePoint start = std::chrono::steady_clock::now();
    while (fixture.received.empty()) {
        co_await pauseFor(2ms);
    }
    cr_assert(std::chrono::steady_clock::now() - start < 1s);
    fixture.tailer.stop();
}

// Guards against a head that counts as verified during an outage, and against a slow recovery afterwards.
Test(logtailer, verifiesTheHeadOftenAndOnlyWhileTheLogResponds)
{
    Fixture fixture;
    runToEnd(fixture.context, checkHeadVerification(fixture));
    cr_assert_gt(fixture.metrics.value("hyssop_log_read_failures_total", {{"stream", "config"}, {"code", "refused"}}), 0);
}

// Guards against memory that grows with the length of the stream.
Test(seenbatchids, remembersTheNewestIds)
{
    Internal::SeenBatchIds ids(100);
    for (int i = 0; i < 1000; ++i) {
        cr_assert(ids.insert(std::to_string(i)));
    }
    cr_assert_eq(ids.size(), 100);
    cr_assert_not(ids.insert("900"));
    cr_assert(ids.insert("899"));
    cr_assert(ids.insert(""));
    cr_assert(ids.insert(""));
}
