#pragma once

#include <utils/settings.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace Hyssop {

namespace Internal {
struct GatewayDaemonState;
}

/// The gateway process without its command line: HTTP proxy, RPC server, administration endpoints, sources of contracts
/// and targets, and draining on SIGTERM and SIGINT.
class GatewayDaemon
{
public:
    /// Binds all addresses. Throws boost::system::system_error if one is in use.
    GatewayDaemon(boost::asio::io_context &context, const Settings &settings);
    ~GatewayDaemon();

    /// Starts all services. The context's run() returns after draining.
    void start();

private:
    std::shared_ptr<Internal::GatewayDaemonState> m_state;
};

} // namespace Hyssop
