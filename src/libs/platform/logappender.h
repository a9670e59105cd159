#pragma once

#include "logclient.h"

#include "hyssop_types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Hyssop {

class MetricsRegistry;

struct AppenderOptions
{
    std::chrono::milliseconds batchDelay{20}; // longest wait for further records
    double maximumAppendsPerSecond = 25; // budget of this writer
    std::size_t maximumBatchBytes = 256 * 1024;
    std::chrono::milliseconds appendTimeout{2000};
    std::chrono::milliseconds resolveTimeout{10000}; // longest search for an append whose answer was lost
};

namespace Internal {
struct AppenderState;
}

/// Writes records to one stream with group commit. An append whose answer was lost is looked up by its batch id in the
/// stream and repeated under the same id only if the stream up to a later head does not hold it.
class LogAppender
{
public:
    LogAppender(
        boost::asio::any_io_executor executor, LogClient &client, std::string stream, std::string writer, AppenderOptions options, MetricsRegistry &metrics);
    ~LogAppender();

    /// Queues @p records and waits until they are durable together in one batch. Appended::offset is the offset of the
    /// batch that holds them. AppendRejected: none of them is or will be in the log.
    boost::asio::awaitable<AppendOutcome> append(std::vector<Wire::Record> records);

    /// Like append(), but the records are alone in their batch.
    boost::asio::awaitable<AppendOutcome> appendInOwnBatch(std::vector<Wire::Record> records);

private:
    std::shared_ptr<Internal::AppenderState> m_state;
};

} // namespace Hyssop
