#pragma once

#include "logclient.h"
#include "seenbatchids.h"

#include "hyssop_types.h"

#include <utils/clock.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Hyssop {

class MetricsRegistry;

/// Follows one stream from its oldest record and delivers every batch in offset order.
class LogTailer
{
public:
    /// Called once for each batch. A batch whose id was received before is dropped. A batch that can't be decoded or has
    /// an unknown format version is counted in the metrics and delivered with an empty record list.
    using BatchHandler = std::function<void(std::int64_t offset, WallTime time, const Wire::RecordBatch &batch)>;
    /// Called after each successful read, once its batches have been delivered, with the first available offset and the
    /// head.
    using ReadHandler = std::function<void(std::int64_t oldest, std::int64_t head)>;

    LogTailer(LogClient &client, std::string stream, MetricsRegistry &metrics);

    void setBatchHandler(BatchHandler handler);
    void setReadHandler(ReadHandler handler);

    /// Reads until stop() is called. Retries with backoff while the log is unavailable. The tailer must outlive the
    /// coroutine, which ends no later than the read in progress.
    boost::asio::awaitable<void> run();
    void stop();

    /// Offset of the last delivered batch; -1 before the first.
    std::int64_t appliedUpTo() const;

    /// First available offset at the last successful read; -1 before the first. Already set while the batches of that
    /// read are delivered: this reader has missed the records between appliedUpTo() and this offset.
    std::int64_t oldest() const;

    /// Head at the last successful read; -1 for an empty stream.
    std::int64_t head() const;

    /// True once everything up to a head that was read after the start has been delivered.
    bool caughtUp() const;

    /// Time at which the last read that reached the head was sent; no value before the first.
    std::optional<TimePoint> headVerifiedAt() const;

private:
    bool deliverBatches(const ReadResult &result, TimePoint sentAt);
    void deliverRecord(const LogRecord &record);
    std::chrono::milliseconds recordFailure(const Error &error);
    void incrementCounter(const std::string &metric);

    LogClient &m_client;
    std::string m_stream;
    MetricsRegistry &m_metrics;
    BatchHandler m_batchHandler;
    ReadHandler m_readHandler;
    Internal::SeenBatchIds m_seenIds;
    std::int64_t m_appliedUpTo = -1;
    std::int64_t m_oldest = -1;
    std::int64_t m_head = -1;
    int m_recordsPerRead;
    int m_consecutiveFailures = 0;
    bool m_caughtUp = false;
    bool m_stopped = false;
    std::optional<TimePoint> m_headVerifiedAt;
};

} // namespace Hyssop
