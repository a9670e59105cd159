#pragma once

#include <platform/instancelistclient.h>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hyssop {

class HttpClient;
class MetricsRegistry;

namespace Internal {
struct InstancePollerState;
}

/// Polls the platform's instance list.
class InstancePoller
{
public:
    using Handler = std::function<void(const std::vector<InstanceState> &instances)>;

    /// @p address is the "IP-ADDRESS:PORT" of the instance list service. @p http and @p metrics must outlive the poller.
    InstancePoller(boost::asio::any_io_executor executor, HttpClient &http, MetricsRegistry &metrics, std::string address);
    ~InstancePoller();

    /// Starts to poll every @p interval. @p handler is called after each successful read.
    void start(std::chrono::milliseconds interval, Handler handler);
    void stop();

private:
    std::shared_ptr<Internal::InstancePollerState> m_state;
};

} // namespace Hyssop
