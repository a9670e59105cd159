#pragma once

#include "gatewayoptions.h"

#include "hyssop_types.h"

#include <contract/contract.h>
#include <routing/targettable.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace Hyssop {

class MetricsRegistry;
class RequestLog;

namespace Internal {
struct GatewayServerState;
}

/// HTTP/1.1 reverse proxy: forwards requests for "/<customer>/<service>/..." to the targets of the service.
class GatewayServer
{
public:
    /// Binds and listens at once. Throws boost::system::system_error if the address is in use. Without @p requestLog
    /// requests with an idempotency key are rejected. @p metrics and @p requestLog must outlive the server.
    GatewayServer(boost::asio::any_io_executor executor, GatewayOptions options, MetricsRegistry &metrics, RequestLog *requestLog);
    ~GatewayServer();

    /// Replaces the contracts in force.
    void setContracts(const std::vector<Contract> &contracts);

    void applyPublication(const std::vector<Wire::Target> &targets);
    void applyInstances(const std::vector<ListedInstance> &instances);

    /// Starts accepting connections and probing targets.
    void start();

    /// Continues to serve for @p acceptTime, with "Connection: close" on every response, then stops accepting and waits
    /// up to @p finishTime for the requests in flight. Returns the number of requests that are still in flight.
    boost::asio::awaitable<int> drain(std::chrono::milliseconds acceptTime, std::chrono::milliseconds finishTime);

    /// Closes every connection.
    void stop();

    boost::asio::ip::tcp::endpoint localEndpoint() const;
    std::vector<TargetEntry> targets() const;
    int requestsInFlight() const;
    bool draining() const;

private:
    std::shared_ptr<Internal::GatewayServerState> m_state;
};

} // namespace Hyssop
