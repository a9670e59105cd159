#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hyssop {

class MetricsRegistry;
class RpcClient;

namespace Internal {
struct TargetPollerState;
}

/// Polls the schedulers of the failure domain for the targets. The owner's list is used; other schedulers reply with an
/// empty list. If the current publisher does not reply, its list stays in use until another scheduler publishes targets.
class TargetPoller
{
public:
    using Handler = std::function<void(const std::vector<Wire::Target> &targets)>;

    /// @p schedulers are RPC addresses. @p client and @p metrics must outlive the poller.
    TargetPoller(boost::asio::any_io_executor executor, RpcClient &client, MetricsRegistry &metrics, std::vector<std::string> schedulers);
    ~TargetPoller();

    /// Starts to poll every @p interval. @p handler is called when the list has changed.
    void start(std::chrono::milliseconds interval, Handler handler);
    void stop();

    /// Time of the last reply of any scheduler; TimePoint() before the first.
    TimePoint lastReplyTime() const;

private:
    std::shared_ptr<Internal::TargetPollerState> m_state;
};

} // namespace Hyssop
