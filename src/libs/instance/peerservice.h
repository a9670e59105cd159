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
    std::vector<std::string> domainPeers; // RPC addresses in this failure domain; a heartbeat every 500 ms
    std::vector<std::string> remotePeers; // RPC addresses in other failure domains; a heartbeat every second
};

namespace Internal {
struct PeerServiceState;
}

/// Exchanges heartbeats with other instances and maintains the membership table.
class PeerService
{
public:
    using HeartbeatSource = std::function<Wire::Heartbeat()>;
    using HeartbeatHandler = std::function<void(const Wire::Heartbeat &)>;

    PeerService(boost::asio::any_io_executor executor, RpcClient &client, MetricsRegistry &metrics, PeerServiceOptions options);
    ~PeerService();

    /// @p source returns the current heartbeat of this instance. @p handler is called for each heartbeat received,
    /// including those that peers send as the reply to a heartbeat.
    void start(HeartbeatSource source, HeartbeatHandler handler);
    void stop();

    /// Handles a heartbeat that the RPC server of this instance received. Returns the heartbeat to reply with.
    Wire::Heartbeat receive(const Wire::Heartbeat &heartbeat);

    /// The last heartbeat of each instance that is not dead.
    std::vector<Wire::Heartbeat> peers() const;

    /// Time since the last heartbeat of the owner of this failure domain; no value if none was received.
    std::optional<std::chrono::milliseconds> timeSinceOwnerHeartbeat() const;

private:
    std::shared_ptr<Internal::PeerServiceState> m_state;
};

} // namespace Hyssop
