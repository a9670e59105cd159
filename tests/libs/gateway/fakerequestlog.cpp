#include "fakerequestlog.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Hyssop::Testing {

namespace asio = boost::asio;

FakeRequestLog::FakeRequestLog(asio::any_io_executor executor, FakeStream &stream)
    : m_executor(std::move(executor))
    , m_stream(stream)
{
    m_stream.readers.push_back(this);
}

void FakeRequestLog::setBatchHandler(BatchHandler handler)
{
    m_handler = std::move(handler);
}

bool FakeRequestLog::caughtUp() const
{
    return reachable;
}

asio::awaitable<AppendOutcome> FakeRequestLog::append(std::vector<Wire::Record> records)
{
    asio::steady_timer timer(m_executor, delay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (fault == AppendFault::Refused) {
        co_return AppendRejected{"refused by the test"};
    }
    if (fault == AppendFault::LostBeforeWrite) {
        co_return AppendUndetermined{"lost by the test"};
    }
    Wire::RecordBatch batch;
    batch.records = std::move(records);
    m_stream.batches.emplace_back(m_stream.time, batch);
    const auto offset = static_cast<std::int64_t>(m_stream.batches.size()) - 1;
    if (fault == AppendFault::NotDelivered) {
        co_return Appended{offset};
    }
    for (FakeRequestLog *reader : m_stream.readers) {
        reader->deliver();
    }
    if (fault == AppendFault::LostAfterWrite) {
        co_return AppendUndetermined{"lost by the test"};
    }
    co_return Appended{offset};
}

void FakeRequestLog::deliver()
{
    while (m_handler && m_position < m_stream.batches.size()) {
        const auto [time, batch] = m_stream.batches[m_position++];
        m_handler(time, batch);
    }
}

} // namespace Hyssop::Testing
