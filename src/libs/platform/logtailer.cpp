#include "logtailer.h"

#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <wire/codec.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

constexpr std::int64_t FirstOffset = 1;
constexpr std::int32_t SupportedFormatVersion = 1;
constexpr int MaximumRecordsPerRead = 256;
// A response verifies the head only as of the time at which the read was sent, so a longer wait makes it less current.
constexpr std::chrono::milliseconds MaximumWait{500};
constexpr std::chrono::milliseconds InitialBackoff{50};
// After an outage the stream must be read again within 1 s.
constexpr std::chrono::milliseconds MaximumBackoff{500};

static std::chrono::milliseconds jittered(std::chrono::milliseconds delay)
{
    thread_local std::minstd_rand random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> distribution(delay.count() / 2, delay.count());
    return std::chrono::milliseconds(distribution(random));
}

LogTailer::LogTailer(LogClient &client, std::string stream, MetricsRegistry &metrics)
    : m_client(client)
    , m_stream(std::move(stream))
    , m_metrics(metrics)
    , m_recordsPerRead(MaximumRecordsPerRead)
{
}

void LogTailer::setBatchHandler(BatchHandler handler)
{
    m_batchHandler = std::move(handler);
}

void LogTailer::setReadHandler(ReadHandler handler)
{
    m_readHandler = std::move(handler);
}

asio::awaitable<void> LogTailer::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!m_stopped) {
        // Without a wait the first read of an empty stream returns at once.
        const auto wait = m_caughtUp ? MaximumWait : std::chrono::milliseconds::zero();
        const TimePoint sentAt = std::chrono::steady_clock::now();
        auto outcome = co_await m_client.read(m_stream, std::max(m_appliedUpTo + 1, FirstOffset), m_recordsPerRead, wait);
        if (m_stopped) {
            co_return;
        }
        std::chrono::milliseconds delay{0};
        if (const Error *error = errorOf(outcome)) {
            delay = recordFailure(*error);
        } else if (!deliverBatches(*valueOf(outcome), sentAt)) {
            delay = recordFailure({ErrorCode::Malformed, "the head of the stream is below an offset that was read before"});
        }
        if (delay > std::chrono::milliseconds::zero()) {
            timer.expires_after(delay);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

void LogTailer::stop()
{
    m_stopped = true;
}

std::int64_t LogTailer::appliedUpTo() const
{
    return m_appliedUpTo;
}

std::int64_t LogTailer::oldest() const
{
    return m_oldest;
}

std::int64_t LogTailer::head() const
{
    return m_head;
}

bool LogTailer::caughtUp() const
{
    return m_caughtUp;
}

std::optional<TimePoint> LogTailer::headVerifiedAt() const
{
    return m_headVerifiedAt;
}

bool LogTailer::deliverBatches(const ReadResult &result, TimePoint sentAt)
{
    if (result.head < m_appliedUpTo) {
        return false;
    }
    if (m_consecutiveFailures > 0) {
        logMessage(LogLevel::Info, "platform", "the log is available again", {{"stream", m_stream}});
    }
    m_consecutiveFailures = 0;
    m_recordsPerRead = std::min(m_recordsPerRead * 2, MaximumRecordsPerRead);
    m_oldest = result.oldest;
    m_head = result.head;
    for (const LogRecord &record : result.records) {
        deliverRecord(record);
        if (m_stopped) {
            return true;
        }
    }
    // A stream whose records have all expired counts as read.
    if (m_appliedUpTo >= m_head || m_oldest > m_head) {
        m_caughtUp = true;
        m_headVerifiedAt = sentAt;
    }
    if (m_readHandler) {
        m_readHandler(m_oldest, m_head);
    }
    return true;
}

void LogTailer::deliverRecord(const LogRecord &record)
{
    auto decoded = capture([&] { return decodeRecordBatch(record.bytes); });
    Wire::RecordBatch empty;
    const Wire::RecordBatch *batch = valueOf(decoded);
    if (batch == nullptr) {
        incrementCounter("hyssop_log_undecodable_batches_total");
        batch = &empty;
    } else if (batch->formatVersion != SupportedFormatVersion) {
        incrementCounter("hyssop_log_unknown_format_batches_total");
        batch = &empty;
    } else if (!m_seenIds.insert(batch->batchId)) {
        incrementCounter("hyssop_log_repeated_batches_total");
        m_appliedUpTo = record.offset;
        return;
    }
    if (m_batchHandler) {
        m_batchHandler(record.offset, record.time, *batch);
    }
    m_appliedUpTo = record.offset;
}

std::chrono::milliseconds LogTailer::recordFailure(const Error &error)
{
    m_metrics.add("hyssop_log_read_failures_total", {{"stream", m_stream}, {"code", errorCodeName(error.code)}});
    if (m_consecutiveFailures == 0) {
        logMessage(LogLevel::Warning, "platform", "reading the log failed; retrying", {{"stream", m_stream}, {"error", error.message}});
    }
    // The HTTP client closes the connection if a response exceeds its size limit, so the next read asks for fewer records.
    if (!isNotSent(error.code)) {
        m_recordsPerRead = std::max(m_recordsPerRead / 4, 1);
    }
    constexpr int MaximumDoublings = 8;
    const auto delay = InitialBackoff * (1 << std::min(m_consecutiveFailures++, MaximumDoublings));
    return jittered(std::min(delay, MaximumBackoff));
}

void LogTailer::incrementCounter(const std::string &metric)
{
    m_metrics.add(metric, {{"stream", m_stream}});
}

} // namespace Hyssop
