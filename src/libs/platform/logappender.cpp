#include "logappender.h"

#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <random>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::int64_t EmptyHead = 0; // offsets start at 1
constexpr int RecordsPerSearch = 256;
constexpr std::int64_t OffsetBeyondEnd = std::numeric_limits<std::int64_t>::max() / 2; // a read from this offset returns only the head
// Searching for a lost append from an older head takes longer and is more likely to reach expired records.
constexpr std::chrono::seconds MaximumKnownHeadAge{5};
constexpr double MinimumAppendRate = 0.01; // per second
constexpr std::chrono::milliseconds InitialRetryDelay{20};
constexpr std::chrono::milliseconds MaximumRetryDelay{500};
constexpr std::size_t BatchOverhead = 256; // format version, batch id, writer and list header, with a safety margin

/// A call of append() or appendInOwnBatch() that waits for its outcome.
struct AppendRequest
{
    AppendRequest(const asio::any_io_executor &executor, std::vector<Wire::Record> wireRecords, std::size_t encodedSize, bool needsOwnBatch)
        : records(std::move(wireRecords))
        , size(encodedSize)
        , ownBatch(needsOwnBatch)
        , completion(executor, asio::steady_timer::time_point::max())
    {
    }

    std::vector<Wire::Record> records;
    std::size_t size;
    bool ownBatch;
    TimePoint queuedAt = std::chrono::steady_clock::now();
    std::optional<AppendOutcome> outcome;
    asio::steady_timer completion; // cancelled when the outcome is set
};

using AppendRequestPtr = std::shared_ptr<AppendRequest>;

struct AppenderState
{
    AppenderState(asio::any_io_executor ioExecutor, LogClient &logClient, MetricsRegistry &metricsRegistry)
        : executor(std::move(ioExecutor))
        , client(logClient)
        , metrics(metricsRegistry)
        , batchTimer(executor)
    {
    }

    asio::any_io_executor executor;
    LogClient &client;
    MetricsRegistry &metrics;
    std::string stream;
    std::string writer;
    std::string batchIdPrefix;
    AppenderOptions options;
    std::deque<AppendRequestPtr> queue;
    asio::steady_timer batchTimer; // cancelled when the next batch is complete
    std::optional<std::int64_t> knownHead; // a batch that is sent now gets a higher offset
    TimePoint knownHeadAt;
    std::optional<TimePoint> lastAppend;
    std::uint64_t batches = 0;
    bool running = false;
    bool stopped = false;
};

using AppenderStatePtr = std::shared_ptr<AppenderState>;

static std::string makeBatchIdPrefix(const std::string &writer)
{
    std::random_device device;
    const std::uint64_t incarnation = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return writer + "-" + std::to_string(incarnation) + "-";
}

static std::size_t encodedSize(const std::vector<Wire::Record> &records)
{
    Wire::RecordBatch batch;
    batch.records = records;
    return encode(batch).size();
}

static std::size_t maximumRecordBytes(const AppenderState &state)
{
    return std::min(state.options.maximumBatchBytes, MaximumLogRecordSize) - std::min(state.options.maximumBatchBytes, BatchOverhead + state.writer.size() * 2);
}

/// Returns the number of queued requests that form the next batch.
static std::size_t nextBatchSize(const AppenderState &state)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const AppendRequestPtr &request : state.queue) {
        bytes += request->size;
        if (count > 0 && (request->ownBatch || bytes > maximumRecordBytes(state))) {
            break;
        }
        ++count;
        if (request->ownBatch) {
            break;
        }
    }
    return count;
}

/// Returns true if no further request can join the next batch.
static bool isNextBatchClosed(const AppenderState &state)
{
    return !state.queue.empty() && (state.queue.front()->ownBatch || nextBatchSize(state) < state.queue.size());
}

static asio::awaitable<void> sleepUntil(AppenderStatePtr state, TimePoint time)
{
    asio::steady_timer timer(state->executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Waits until the rate limit permits another append.
static asio::awaitable<void> waitForRateLimit(AppenderStatePtr state)
{
    if (state->lastAppend) {
        const std::chrono::duration<double> interval(1 / std::max(state->options.maximumAppendsPerSecond, MinimumAppendRate));
        co_await sleepUntil(state, *state->lastAppend + std::chrono::duration_cast<Duration>(interval));
    }
}

static asio::awaitable<AppendOutcome> appendOnce(AppenderStatePtr state, std::string bytes)
{
    co_await waitForRateLimit(state);
    const TimePoint sentAt = std::chrono::steady_clock::now();
    state->lastAppend = sentAt;
    AppendOutcome outcome = co_await state->client.append(state->stream, std::move(bytes), state->options.appendTimeout);
    state->metrics.observe("hyssop_log_append_seconds", std::chrono::steady_clock::now() - sentAt, {{"stream", state->stream}});
    const char *result = std::visit(Overloaded{
                                        [](const Appended &) { return "appended"; },
                                        [](const AppendRejected &) { return "refused"; },
                                        [](const AppendUndetermined &) { return "unknown"; },
                                    },
                                    outcome);
    state->metrics.add("hyssop_log_appends_total", {{"stream", state->stream}, {"result", result}});
    co_return outcome;
}

/// Result of a search for a batch.
struct SearchResult
{
    std::optional<std::int64_t> found; // lowest offset of the batch
    std::int64_t searchedUpTo = EmptyHead;
    bool truncated = false; // records in the searched range have expired
};

static std::optional<std::int64_t> findBatch(const std::vector<LogRecord> &records, const std::string &batchId)
{
    for (const LogRecord &record : records) {
        auto batch = capture([&] { return decodeRecordBatch(record.bytes); });
        if (valueOf(batch) != nullptr && valueOf(batch)->batchId == batchId) {
            return record.offset;
        }
    }
    return std::nullopt;
}

/// Searches the stream for the batch, from above offset @p after up to a head that is read during the search.
static asio::awaitable<Outcome<SearchResult>> searchStream(AppenderStatePtr state, std::string batchId, std::int64_t after)
{
    SearchResult result;
    result.searchedUpTo = after;
    while (true) {
        auto outcome = co_await state->client.read(state->stream, result.searchedUpTo + 1, RecordsPerSearch, std::chrono::milliseconds::zero());
        if (const Error *error = errorOf(outcome)) {
            co_return *error;
        }
        const ReadResult &read = *valueOf(outcome);
        result.truncated = result.truncated || read.oldest > result.searchedUpTo + 1;
        result.found = findBatch(read.records, batchId);
        if (read.records.empty()) {
            result.searchedUpTo = std::max(result.searchedUpTo, read.head);
            co_return result;
        }
        result.searchedUpTo = read.records.back().offset;
        if (result.found || result.searchedUpTo >= read.head) {
            co_return result;
        }
    }
}

static void recordHead(AppenderState &state, std::int64_t head, TimePoint time)
{
    state.knownHead = std::max(state.knownHead.value_or(EmptyHead), head);
    state.knownHeadAt = time;
}

/// Ensures that a recent head of the stream is known, because the search for a lost append starts there.
static asio::awaitable<std::optional<Error>> refreshKnownHead(AppenderStatePtr state)
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (state->knownHead && now - state->knownHeadAt < MaximumKnownHeadAge) {
        co_return std::nullopt;
    }
    auto outcome = co_await state->client.read(state->stream, OffsetBeyondEnd, 1, std::chrono::milliseconds::zero());
    if (const Error *error = errorOf(outcome)) {
        co_return *error;
    }
    recordHead(*state, valueOf(outcome)->head, now);
    co_return std::nullopt;
}

/// Determines whether a batch whose append got no valid response is in the stream, and appends it again if it is not.
static asio::awaitable<AppendOutcome> resolveLostResponse(AppenderStatePtr state, std::string batchId, std::string bytes, std::string reason)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + state->options.resolveTimeout;
    std::int64_t searchedUpTo = *state->knownHead;
    std::chrono::milliseconds delay = InitialRetryDelay;
    bool repeated = false; // the stream may contain a second copy
    bool appendedAgain = false;
    while (true) {
        auto searchOutcome = co_await searchStream(state, batchId, searchedUpTo);
        if (const SearchResult *result = valueOf(searchOutcome)) {
            // If there may be two copies, the first one, which readers use, may have expired.
            const bool certain = !result->truncated || !repeated;
            if (result->found && certain) {
                state->metrics.add("hyssop_log_lost_responses_resolved_total", {{"stream", state->stream}, {"repeated", repeated ? "yes" : "no"}});
                co_return Appended{*result->found};
            }
            if (result->truncated || appendedAgain) {
                co_return AppendUndetermined{"the part of the stream that may hold the batch is gone"};
            }
            searchedUpTo = result->searchedUpTo;
            const AppendOutcome repeatedOutcome = co_await appendOnce(state, bytes);
            repeated = repeated || !std::holds_alternative<AppendRejected>(repeatedOutcome);
            appendedAgain = std::holds_alternative<Appended>(repeatedOutcome);
            if (appendedAgain) {
                // The first append may have taken effect in the meantime. Readers use the first copy, so another search
                // determines its offset.
                continue;
            }
        }
        if (std::chrono::steady_clock::now() + delay >= deadline) {
            co_return AppendUndetermined{reason};
        }
        co_await sleepUntil(state, std::chrono::steady_clock::now() + delay);
        delay = std::min(delay * 2, MaximumRetryDelay);
    }
}

static asio::awaitable<AppendOutcome> appendBatch(AppenderStatePtr state, std::vector<Wire::Record> records)
{
    if (const auto error = co_await refreshKnownHead(state)) {
        co_return AppendRejected{"the head of the stream is unknown: " + error->message};
    }
    Wire::RecordBatch batch;
    batch.batchId = state->batchIdPrefix + std::to_string(++state->batches);
    batch.writer = state->writer;
    batch.records = std::move(records);
    const std::string bytes = encode(batch);
    const TimePoint startedAt = std::chrono::steady_clock::now();
    AppendOutcome outcome = co_await appendOnce(state, bytes);
    if (const auto *undetermined = std::get_if<AppendUndetermined>(&outcome)) {
        const std::string reason = undetermined->reason;
        logMessage(LogLevel::Warning, "platform", "the response to an append was lost; searching the stream", {{"stream", state->stream}, {"error", reason}});
        outcome = co_await resolveLostResponse(state, batch.batchId, bytes, reason);
    }
    if (const auto *appended = std::get_if<Appended>(&outcome)) {
        recordHead(*state, appended->offset, startedAt);
        state->metrics.add("hyssop_log_appended_records_total", {{"stream", state->stream}}, static_cast<double>(batch.records.size()));
    }
    co_return outcome;
}

static std::vector<AppendRequestPtr> dequeueBatch(AppenderState &state)
{
    const auto end = state.queue.begin() + static_cast<std::ptrdiff_t>(nextBatchSize(state));
    std::vector<AppendRequestPtr> batch(state.queue.begin(), end);
    state.queue.erase(state.queue.begin(), end);
    return batch;
}

static void complete(AppendRequest &request, const AppendOutcome &outcome)
{
    request.outcome = outcome;
    request.completion.cancel();
}

/// Waits for further records of the next batch, for at most the batch delay.
static asio::awaitable<void> collectBatch(AppenderStatePtr state)
{
    if (!isNextBatchClosed(*state)) {
        state->batchTimer.expires_at(state->queue.front()->queuedAt + state->options.batchDelay);
        co_await state->batchTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    // Records that arrive while the rate limit delays the append join the same batch.
    co_await waitForRateLimit(state);
}

static asio::awaitable<void> appendQueued(AppenderStatePtr state)
{
    while (!state->queue.empty() && !state->stopped) {
        co_await collectBatch(state);
        if (state->stopped) {
            break;
        }
        const std::vector<AppendRequestPtr> requests = dequeueBatch(*state);
        std::vector<Wire::Record> records;
        for (const AppendRequestPtr &request : requests) {
            records.insert(records.end(), request->records.begin(), request->records.end());
        }
        const AppendOutcome outcome = co_await appendBatch(state, std::move(records));
        for (const AppendRequestPtr &request : requests) {
            complete(*request, outcome);
        }
    }
    state->running = false;
}

static asio::awaitable<AppendOutcome> enqueue(AppenderStatePtr state, std::vector<Wire::Record> records, bool ownBatch)
{
    if (records.empty()) {
        co_return AppendRejected{"there are no records to append"};
    }
    const std::size_t size = encodedSize(records);
    if (size > maximumRecordBytes(*state)) {
        co_return AppendRejected{"the records have " + std::to_string(size) + " bytes; the limit is " + std::to_string(maximumRecordBytes(*state))};
    }
    const auto request = std::make_shared<AppendRequest>(state->executor, std::move(records), size, ownBatch);
    state->queue.push_back(request);
    if (isNextBatchClosed(*state)) {
        state->batchTimer.cancel();
    }
    if (!state->running) {
        state->running = true;
        asio::co_spawn(state->executor, appendQueued(state), asio::detached);
    }
    if (!request->outcome) {
        co_await request->completion.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return request->outcome.value_or(AppendRejected{"the appender was stopped"});
}

} // namespace Internal

LogAppender::LogAppender(
    asio::any_io_executor executor, LogClient &client, std::string stream, std::string writer, AppenderOptions options, MetricsRegistry &metrics)
    : m_state(std::make_shared<Internal::AppenderState>(std::move(executor), client, metrics))
{
    m_state->stream = std::move(stream);
    m_state->batchIdPrefix = Internal::makeBatchIdPrefix(writer);
    m_state->writer = std::move(writer);
    m_state->options = options;
}

LogAppender::~LogAppender()
{
    m_state->stopped = true;
    m_state->batchTimer.cancel();
    for (const Internal::AppendRequestPtr &request : m_state->queue) {
        Internal::complete(*request, AppendRejected{"the appender was stopped"});
    }
    m_state->queue.clear();
}

asio::awaitable<AppendOutcome> LogAppender::append(std::vector<Wire::Record> records)
{
    return Internal::enqueue(m_state, std::move(records), false);
}

asio::awaitable<AppendOutcome> LogAppender::appendInOwnBatch(std::vector<Wire::Record> records)
{
    return Internal::enqueue(m_state, std::move(records), true);
}

} // namespace Hyssop
