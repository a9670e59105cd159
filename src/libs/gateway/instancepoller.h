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

/// Reads the platform's instance list regularly.
class InstancePoller
{
public:
    using Handler = std::function<void(const std::vector<InstanceState> &instances)>;

    /// @p address is "IP-ADDRESS:PORT" of the list service. @p http and @p metrics must outlive the poller.
    InstancePoller(boost::asio::any_io_executor executor, HttpClient &http, MetricsRegistry &metrics, std::string address);
    ~InstancePoller();

    /// Begins to read every @p interval. @p handler is called after each successful read.
    void start(std::chrono::milliseconds interval, Handler handler);
    void stop();

private:
    std::shared_ptr<Internal::InstancePollerState> m_state;
};

} // namespace Hyssop
