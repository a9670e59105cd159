#pragma once

#include <utils/settings.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace Hyssop {

namespace Internal {
struct SchedulerDaemonState;
}

/// The scheduler process without its command line: scheduler service, RPC server, administration endpoints, and the stop
/// on SIGTERM and SIGINT.
class SchedulerDaemon
{
public:
    /// Binds all addresses. Throws boost::system::system_error if one is in use.
    SchedulerDaemon(boost::asio::io_context &context, const Settings &settings);
    ~SchedulerDaemon();

    /// Starts everything. The context's run() returns after SIGTERM or SIGINT.
    void start();

private:
    std::shared_ptr<Internal::SchedulerDaemonState> m_state;
};

} // namespace Hyssop
