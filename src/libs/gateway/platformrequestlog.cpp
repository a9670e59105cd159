#include "platformrequestlog.h"

#include <platform/logappender.h>
#include <platform/logtailer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

static asio::awaitable<void> tailStream(std::shared_ptr<LogTailer> tailer)
{
    co_await tailer->run();
}

static AppenderOptions appenderOptions(double maximumAppendsPerSecond)
{
    AppenderOptions options;
    options.maximumAppendsPerSecond = maximumAppendsPerSecond;
    return options;
}

} // namespace Internal

PlatformRequestLog::PlatformRequestLog(asio::any_io_executor executor,
                                       LogClient &client,
                                       const std::string &domain,
                                       std::string instance,
                                       double maximumAppendsPerSecond,
                                       MetricsRegistry &metrics)
    : m_executor(std::move(executor))
    , m_tailer(std::make_shared<LogTailer>(client, "requests." + domain, metrics))
    , m_appender(std::make_shared<LogAppender>(
          m_executor, client, "requests." + domain, std::move(instance), Internal::appenderOptions(maximumAppendsPerSecond), metrics))
{
}

PlatformRequestLog::~PlatformRequestLog()
{
    stop();
}

void PlatformRequestLog::start()
{
    asio::co_spawn(m_executor, Internal::tailStream(m_tailer), asio::detached);
}

void PlatformRequestLog::stop()
{
    m_tailer->stop();
}

void PlatformRequestLog::setBatchHandler(BatchHandler handler)
{
    m_tailer->setBatchHandler([handler = std::move(handler)](std::int64_t, WallTime time, const Wire::RecordBatch &batch) { handler(time, batch); });
}

bool PlatformRequestLog::caughtUp() const
{
    return m_tailer->caughtUp();
}

asio::awaitable<AppendOutcome> PlatformRequestLog::append(std::vector<Wire::Record> records)
{
    const auto appender = m_appender;
    co_return co_await appender->append(std::move(records));
}

} // namespace Hyssop
