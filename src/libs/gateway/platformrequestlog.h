#pragma once

#include "requestlog.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace Hyssop {

class LogAppender;
class LogTailer;
class MetricsRegistry;

/// RequestLog that uses the stream "requests.<failure domain>" of the platform log.
class PlatformRequestLog : public RequestLog
{
public:
    /// @p client must outlive the log.
    PlatformRequestLog(boost::asio::any_io_executor executor,
                       LogClient &client,
                       const std::string &domain,
                       std::string instance,
                       double maximumAppendsPerSecond,
                       MetricsRegistry &metrics);
    ~PlatformRequestLog() override;

    /// Starts reading the stream.
    void start();
    void stop();

    void setBatchHandler(BatchHandler handler) override;
    bool caughtUp() const override;
    boost::asio::awaitable<AppendOutcome> append(std::vector<Wire::Record> records) override;

private:
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<LogTailer> m_tailer;
    std::shared_ptr<LogAppender> m_appender;
};

} // namespace Hyssop
