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
    std::chrono::milliseconds batchDelay{20}; // maximum wait for further records
    double maximumAppendsPerSecond = 25; // rate limit of this writer
    std::size_t maximumBatchBytes = 256 * 1024;
    std::chrono::milliseconds appendTimeout{2000};
    std::chrono::milliseconds resolveTimeout{10000}; // maximum time to resolve an append whose response was lost
};

namespace Internal {
struct AppenderState;
}

/// Appends records to one stream with group commit. If the response to an append is lost, the stream is searched for the
/// batch id. The append is repeated with the same id only if the stream does not contain it up to a head that was read
/// afterwards.
class LogAppender
{
public:
    LogAppender(
        boost::asio::any_io_executor executor, LogClient &client, std::string stream, std::string writer, AppenderOptions options, MetricsRegistry &metrics);
    ~LogAppender();

    /// Queues @p records and waits until they are durable, all in the same batch. Appended::offset is the offset of the
    /// batch that holds them. AppendRejected: none of them is or will be in the log.
    boost::asio::awaitable<AppendOutcome> append(std::vector<Wire::Record> records);

    /// Like append(), but no other records share the batch.
    boost::asio::awaitable<AppendOutcome> appendInOwnBatch(std::vector<Wire::Record> records);

private:
    std::shared_ptr<Internal::AppenderState> m_state;
};

} // namespace Hyssop
