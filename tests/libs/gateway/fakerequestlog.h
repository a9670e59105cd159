#pragma once

#include <gateway/requestlog.h>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop::Testing {

class FakeRequestLog;

/// In-memory stream that several gateways share.
struct FakeStream
{
    std::vector<std::pair<WallTime, Wire::RecordBatch>> batches;
    std::vector<FakeRequestLog *> readers;
    WallTime time = std::chrono::system_clock::now(); // advanced by tests
};

enum class AppendFault {
    None,
    Refused, // nothing is written
    LostBeforeWrite, // unknown result, nothing is written
    LostAfterWrite, // unknown result, but the batch is written
    NotDelivered, // written, but not delivered to the readers
};

/// One gateway's access to a FakeStream.
class FakeRequestLog : public RequestLog
{
public:
    FakeRequestLog(boost::asio::any_io_executor executor, FakeStream &stream);

    void setBatchHandler(BatchHandler handler) override;
    bool caughtUp() const override;
    boost::asio::awaitable<AppendOutcome> append(std::vector<Wire::Record> records) override;

    /// Passes the batches that have not been delivered yet to the handler.
    void deliver();

    AppendFault fault = AppendFault::None;
    bool reachable = true;
    std::chrono::milliseconds delay{2};

private:
    boost::asio::any_io_executor m_executor;
    FakeStream &m_stream;
    BatchHandler m_handler;
    std::size_t m_position = 0;
};

} // namespace Hyssop::Testing
