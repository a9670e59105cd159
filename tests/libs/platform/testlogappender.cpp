#include <platform/logappender.h>

#include <http/httpclient.h>
#include <observability/metricsregistry.h>
#include <standins/log/logservice.h>
#include <support/coroutines.h>
#include <wire/codec.h>

#include <cstdio>
#include <map>
#include <random>
#include <set>

using namespace Hyssop;
using namespace std::chrono_literals;
namespace asio = boost::asio;

/// A log stand-in, a client and an appender on one executor.
struct Fixture
{
    explicit Fixture(AppenderOptions options)
        : log(context.get_executor(), anyLoopbackPort())
        , http(context.get_executor())
        , client(http, log.address())
        , appender(context.get_executor(), client, "jobs.east-a", "scheduler-1", options, metrics)
    {
        log.start();
    }

    asio::io_context context;
    LogService log;
    HttpClient http;
    LogClient client;
    MetricsRegistry metrics;
    LogAppender appender;
};

static Wire::Record cancellation(const std::string &jobId)
{
    Wire::JobCancelled cancelled;
    cancelled.jobId = jobId;
    Wire::Record record;
    record.__set_jobCancelled(cancelled);
    return record;
}

/// Job ids and offsets of the stream in the order in which readers see them: a batch with a repeated id is ignored.
static std::vector<std::pair<std::string, std::int64_t>> effectiveJobs(LogService &log)
{
    std::vector<std::pair<std::string, std::int64_t>> jobs;
    std::set<std::string> ids;
    for (const LogRecord &record : log.store().read("jobs.east-a", 1, 1'000'000).records) {
        auto batch = capture([&] { return decodeRecordBatch(record.bytes); });
        cr_assert(valueOf(batch) != nullptr);
        if (!ids.insert(valueOf(batch)->batchId).second) {
            continue;
        }
        for (const Wire::Record &item : valueOf(batch)->records) {
            jobs.emplace_back(item.jobCancelled.jobId, record.offset);
        }
    }
    return jobs;
}

static asio::awaitable<void> appendOne(LogAppender &appender, std::string jobId, std::map<std::string, AppendOutcome> *outcomes, bool ownBatch = false)
{
    const std::vector<Wire::Record> records{cancellation(jobId)};
    // GCC 12 destroys the operands of a co_await twice if it is an operand of a conditional expression.
    if (ownBatch) {
        AppendOutcome outcome = co_await appender.appendInOwnBatch(records);
        outcomes->emplace(jobId, outcome);
    } else {
        AppendOutcome outcome = co_await appender.append(records);
        outcomes->emplace(jobId, outcome);
    }
}

static asio::awaitable<void> appendMany(Fixture &fixture, int count, bool ownBatch, std::map<std::string, AppendOutcome> *outcomes)
{
    for (int i = 0; i < count; ++i) {
        asio::co_spawn(fixture.context, appendOne(fixture.appender, "job-" + std::to_string(i), outcomes, ownBatch), asio::detached);
        if (i % 10 == 9) {
            co_await pauseFor(1ms);
        }
    }
    while (outcomes->size() < static_cast<std::size_t>(count)) {
        co_await pauseFor(5ms);
    }
}

static std::uint64_t appendsFor(AppenderOptions options, int count, bool ownBatch)
{
    Fixture fixture(options);
    std::map<std::string, AppendOutcome> outcomes;
    runToEnd(fixture.context, appendMany(fixture, count, ownBatch, &outcomes));
    for (const auto &[jobId, outcome] : outcomes) {
        cr_assert(std::holds_alternative<Appended>(outcome));
    }
    cr_assert_eq(effectiveJobs(fixture.log).size(), count);
    return fixture.log.store().statistics().appends;
}

// Guards against a separate append for each record, which would exceed the log's append rate.
Test(logappender, groupCommitSharesAppends)
{
    AppenderOptions unlimited;
    unlimited.maximumAppendsPerSecond = 100'000;
    const std::uint64_t before = appendsFor(unlimited, 300, true);
    const std::uint64_t after = appendsFor({}, 300, false);
    std::fprintf(stderr, "300 records: %lu appends without group commit, %lu with it\n", before, after);
    cr_assert_eq(before, 300);
    cr_assert_leq(after, 10);
}

static asio::awaitable<void> checkRateLimit(Fixture &fixture)
{
    std::map<std::string, AppendOutcome> outcomes;
    const TimePoint end = std::chrono::steady_clock::now() + 1s;
    int count = 0;
    while (std::chrono::steady_clock::now() < end) {
        asio::co_spawn(fixture.context, appendOne(fixture.appender, "job-" + std::to_string(count++), &outcomes), asio::detached);
        co_await pauseFor(2ms);
    }
    cr_assert_leq(fixture.log.store().statistics().appends, 11);
    while (outcomes.size() < static_cast<std::size_t>(count)) {
        co_await pauseFor(5ms);
    }
}

// Guards against a writer that exceeds its rate limit.
Test(logappender, staysWithinItsRateLimit)
{
    AppenderOptions options;
    options.maximumAppendsPerSecond = 10;
    Fixture fixture(options);
    runToEnd(fixture.context, checkRateLimit(fixture));
}

static asio::awaitable<void> checkOwnBatch(Fixture &fixture)
{
    std::map<std::string, AppendOutcome> outcomes;
    asio::co_spawn(fixture.context, appendOne(fixture.appender, "before", &outcomes), asio::detached);
    const std::vector<Wire::Record> ownBatch{cancellation("alone")};
    asio::co_spawn(fixture.context, fixture.appender.appendInOwnBatch(ownBatch), asio::detached);
    asio::co_spawn(fixture.context, appendOne(fixture.appender, "after", &outcomes), asio::detached);
    while (outcomes.size() < 2) {
        co_await pauseFor(5ms);
    }
    const auto jobs = effectiveJobs(fixture.log);
    cr_assert_eq(jobs.size(), 3);
    cr_assert_eq(jobs[0].first, "before");
    cr_assert_eq(jobs[1].first, "alone");
    cr_assert_lt(jobs[0].second, jobs[1].second);
    cr_assert_lt(jobs[1].second, jobs[2].second);
}

// Guards against an ownership claim that shares its offset, and therefore its term, with other records.
Test(logappender, appendInOwnBatchSharesNoBatch)
{
    Fixture fixture({});
    runToEnd(fixture.context, checkOwnBatch(fixture));
}

static asio::awaitable<void> checkTooLarge(Fixture &fixture)
{
    const std::vector<Wire::Record> large{cancellation(std::string(300 * 1024, 'x'))};
    const std::vector<Wire::Record> none;
    cr_assert(std::holds_alternative<AppendRejected>(co_await fixture.appender.append(large)));
    cr_assert(std::holds_alternative<AppendRejected>(co_await fixture.appender.append(none)));
    const std::vector<Wire::Record> medium{cancellation(std::string(150 * 1024, 'x'))};
    std::map<std::string, AppendOutcome> outcomes;
    asio::co_spawn(fixture.context, appendOne(fixture.appender, std::string(150 * 1024, 'y'), &outcomes), asio::detached);
    cr_assert(std::holds_alternative<Appended>(co_await fixture.appender.append(medium)));
    cr_assert_eq(fixture.log.store().statistics().appends, 2);
}

// Guards against batches above the log's record size limit, which the log would reject with all their records.
Test(logappender, batchesStayBelowTheRecordLimit)
{
    Fixture fixture({});
    runToEnd(fixture.context, checkTooLarge(fixture));
}

/// Injects random faults into the log while records are appended.
static asio::awaitable<void> injectFaults(LogService &log, std::mt19937 *random, const bool *finished)
{
    while (!*finished) {
        LogFaults &faults = log.faults();
        faults.available = (*random)() % 6 != 0;
        faults.loseResponses = (*random)() % 3 == 0 ? 1 : 0;
        faults.dropAppends = (*random)() % 4 == 0 ? 1 : 0;
        // Longer than the append timeout: the record takes effect after the writer has stopped waiting.
        faults.appendDelay = (*random)() % 4 == 0 ? 60ms : 0ms;
        co_await pauseFor(std::chrono::milliseconds(5 + (*random)() % 25));
    }
    log.faults() = LogFaults{};
}

static asio::awaitable<void> appendUnderFaults(Fixture &fixture, std::mt19937 *random, std::map<std::string, AppendOutcome> *outcomes)
{
    bool finished = false;
    asio::co_spawn(fixture.context, injectFaults(fixture.log, random, &finished), asio::detached);
    constexpr int Count = 400;
    for (int i = 0; i < Count; ++i) {
        asio::co_spawn(fixture.context, appendOne(fixture.appender, "job-" + std::to_string(i), outcomes), asio::detached);
        co_await pauseFor(std::chrono::milliseconds((*random)() % 10));
    }
    while (outcomes->size() < Count) {
        co_await pauseFor(5ms);
    }
    finished = true;
    co_await pauseFor(200ms); // for delayed appends
}

static void checkRandomFaults(unsigned seed)
{
    std::fprintf(stderr, "seed %u\n", seed);
    AppenderOptions options;
    options.batchDelay = 3ms;
    options.maximumAppendsPerSecond = 1000;
    options.appendTimeout = 30ms;
    options.resolveTimeout = 600ms;
    Fixture fixture(options);
    std::mt19937 random(seed);
    std::map<std::string, AppendOutcome> outcomes;
    runToEnd(fixture.context, appendUnderFaults(fixture, &random, &outcomes));
    std::map<std::string, std::vector<std::int64_t>> offsets;
    for (const auto &[jobId, offset] : effectiveJobs(fixture.log)) {
        offsets[jobId].push_back(offset);
    }
    int appendedCount = 0;
    int refusedCount = 0;
    for (const auto &[jobId, outcome] : outcomes) {
        const std::vector<std::int64_t> &found = offsets[jobId];
        cr_assert_leq(found.size(), 1, "%s is in the log twice", jobId.c_str());
        if (const auto *appended = std::get_if<Appended>(&outcome)) {
            ++appendedCount;
            cr_assert_eq(found.size(), 1, "%s was lost", jobId.c_str());
            cr_assert_eq(found[0], appended->offset, "%s has another offset than reported", jobId.c_str());
        } else if (std::holds_alternative<AppendRejected>(outcome)) {
            ++refusedCount;
            cr_assert(found.empty(), "%s was refused but is in the log", jobId.c_str());
        }
    }
    const double resolved = fixture.metrics.value("hyssop_log_lost_responses_resolved_total", {{"stream", "jobs.east-a"}, {"repeated", "no"}});
    const double repeated = fixture.metrics.value("hyssop_log_lost_responses_resolved_total", {{"stream", "jobs.east-a"}, {"repeated", "yes"}});
    std::fprintf(stderr, "%d appended, %d refused, lost responses: %.0f found, %.0f repeated\n", appendedCount, refusedCount, resolved, repeated);
    // The run must have covered each case.
    cr_assert(appendedCount > 100 && refusedCount > 0 && resolved > 0 && repeated > 0);
}

// Guards against records that are lost, duplicated or reported with a wrong offset or outcome after a lost response.
Test(logappender, lostResponsesNeverLoseOrDoubleRecords)
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        checkRandomFaults(seed);
    }
}

static asio::awaitable<void> removeDelaySoon(LogService &log)
{
    co_await pauseFor(30ms);
    log.faults().appendDelay = 0ms;
}

static asio::awaitable<void> checkLateFirstCopy(Fixture &fixture)
{
    fixture.log.faults().appendDelay = 150ms;
    asio::co_spawn(fixture.context, removeDelaySoon(fixture.log), asio::detached);
    const std::vector<Wire::Record> records{cancellation("late")};
    const AppendOutcome outcome = co_await fixture.appender.append(records);
    cr_assert_eq(fixture.log.store().statistics().appends, 2);
    cr_assert_eq(std::get<Appended>(outcome).offset, 1);
}

// Guards against returning the offset of a second copy, which readers ignore. The first copy takes effect after the
// search that did not find it and before the repeated append, which the rate limit delays.
Test(logappender, reportsTheOffsetOfTheFirstCopy)
{
    AppenderOptions options;
    options.appendTimeout = 50ms;
    options.maximumAppendsPerSecond = 4;
    Fixture fixture(options);
    runToEnd(fixture.context, checkLateFirstCopy(fixture));
}

static asio::awaitable<void> stopLogSoon(LogService &log)
{
    co_await pauseFor(30ms);
    log.faults().available = false;
}

static asio::awaitable<void> checkLateCopyInOutage(Fixture &fixture)
{
    fixture.log.faults().appendDelay = 600ms;
    asio::co_spawn(fixture.context, stopLogSoon(fixture.log), asio::detached);
    const std::vector<Wire::Record> records{cancellation("late")};
    const AppendOutcome outcome = co_await fixture.appender.append(records);
    cr_assert(std::holds_alternative<AppendUndetermined>(outcome));
    cr_assert_eq(fixture.log.store().statistics().appends, 0);
    co_await pauseFor(600ms);
    cr_assert_eq(fixture.log.store().statistics().appends, 1);
}

// Guards against an append that is reported as rejected, which callers treat as "not run", but takes effect later.
Test(logappender, staysUnknownWhileACopyMayBeOnItsWay)
{
    AppenderOptions options;
    options.batchDelay = 1ms;
    options.appendTimeout = 50ms;
    options.resolveTimeout = 200ms;
    Fixture fixture(options);
    runToEnd(fixture.context, checkLateCopyInOutage(fixture));
}

static asio::awaitable<void> checkExpiredCopy(Fixture &fixture)
{
    fixture.log.faults().loseResponses = 1;
    fixture.log.store().setRetention(0);
    const std::vector<Wire::Record> records{cancellation("expired")};
    const AppendOutcome outcome = co_await fixture.appender.append(records);
    cr_assert(std::holds_alternative<AppendUndetermined>(outcome));
    cr_assert_eq(fixture.log.store().statistics().appends, 1);
}

// Guards against a second copy of a batch whose first copy was already read by others and has expired since.
Test(logappender, doesNotRepeatWhatMayHaveExpired)
{
    Fixture fixture({});
    runToEnd(fixture.context, checkExpiredCopy(fixture));
}
