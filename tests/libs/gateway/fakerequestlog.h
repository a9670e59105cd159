#pragma once

#include <gateway/requestlog.h>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop::Testing {

class FakeRequestLog;

/// Stream in memory that several gateways share.
struct FakeStream
{
    std::vector<std::pair<WallTime, Wire::RecordBatch>> batches;
    std::vector<FakeRequestLog *> readers;
    WallTime time = std::chrono::system_clock::now(); // advanced by tests
};

enum class AppendFault {
    None,
    Refused, // nothing is written
    LostBefore, // no answer, nothing is written
    LostAfter, // no answer, but it is written
    Silent, // written, but the reader does not see it
};

/// One gateway's access to a FakeStream.
class FakeRequestLog : public RequestLog
{
public:
    FakeRequestLog(boost::asio::any_io_executor executor, FakeStream &stream);

    void setBatchHandler(BatchHandler handler) override;
    bool caughtUp() const override;
    boost::asio::awaitable<AppendOutcome> append(std::vector<Wire::Record> records) override;

    /// Hands over what the reader has not seen.
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
