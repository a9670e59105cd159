#pragma once

#include "hyssop_types.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

class MetricsRegistry;
class RpcClient;

struct PeerServiceOptions
{
    std::string instance;
    std::string domain;
    std::vector<std::string> domainPeers; // RPC addresses, heartbeat every 500 ms
    std::vector<std::string> remotePeers; // RPC addresses in other failure domains, every second
};

namespace Internal {
struct PeerServiceState;
}

/// Exchanges heartbeats with other instances and keeps the membership table.
class PeerService
{
public:
    using HeartbeatSource = std::function<Wire::Heartbeat()>;
    using HeartbeatHandler = std::function<void(const Wire::Heartbeat &)>;

    PeerService(boost::asio::any_io_executor executor, RpcClient &client, MetricsRegistry &metrics, PeerServiceOptions options);
    ~PeerService();

    /// @p source fills the heartbeat of this instance; @p handler sees each heartbeat received (sent ones are answered
    /// with the peer's own heartbeat, which is handled too).
    void start(HeartbeatSource source, HeartbeatHandler handler);
    void stop();

    /// Handles a heartbeat that arrived at this instance's RPC server and returns this instance's own.
    Wire::Heartbeat receive(const Wire::Heartbeat &heartbeat);

    /// Last heartbeats of instances that are not dead.
    std::vector<Wire::Heartbeat> peers() const;

    /// Time since the owner of this failure domain was last heard; no value if it never was.
    std::optional<std::chrono::milliseconds> timeSinceOwnerHeartbeat() const;

private:
    std::shared_ptr<Internal::PeerServiceState> m_state;
};

} // namespace Hyssop
