#pragma once

#include "hyssop_types.h"

#include <contract/contract.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hyssop {

class LogClient;
class MetricsRegistry;
class RpcClient;

/// A contract in force.
struct ContractInForce
{
    Contract contract;
    std::int64_t revision = 0;
};

struct ConfigServiceOptions
{
    std::string instance;
    std::vector<std::string> peers; // RPC addresses, asked for the state when the log is unavailable at the start
    std::chrono::milliseconds retention{std::chrono::hours(24)};
    double maximumAppendsPerSecond = 25;
    std::chrono::milliseconds verdictTimeout{10000}; // longest wait until a change is read back from the log
    /// Without a ready peer, keys without an exact base are decided on the newest revision known after this time.
    std::chrono::milliseconds provisionalTimeout{15000};
    /// Reads contracts; parseContract() if empty.
    std::function<std::variant<Contract, std::vector<ContractError>>(std::string_view text)> contractParser;
};

namespace Internal {
struct ConfigServiceState;
}

/// Keeps the configuration of this instance: follows the `config` stream, decides verdicts, republishes old state.
/// The log client, the RPC client and the metrics must outlive the work on the executor.
class ConfigService
{
public:
    ConfigService(boost::asio::any_io_executor executor, LogClient &log, RpcClient &peers, MetricsRegistry &metrics, ConfigServiceOptions options);
    ~ConfigService();

    void start();
    void stop();

    /// True once the state is complete: read up to the log's head, or taken from a ready peer.
    bool ready() const;

    /// All contracts in force, by customer name.
    std::vector<ContractInForce> contracts() const;
    std::optional<ContractInForce> contract(const std::string &customer) const;

    /// False if operators have taken the failure domain out.
    bool domainIn(const std::string &domain) const;

    /// Rises with every change of the state in force.
    std::uint64_t generation() const;

    /// Called after every change of the state in force.
    void setChangeHandler(std::function<void()> handler);

    /// Age of the newest proof that the state is up to date with the log's head, direct or through a peer; no value
    /// before the first proof.
    std::optional<std::chrono::milliseconds> headAge(TimePoint now) const;

    /// Takes a peer's heartbeat as a proof: the peer had applied @p head with age @p age when it sent the message. A
    /// negative age is no proof.
    void notePeerHead(std::int64_t head, std::chrono::milliseconds age, TimePoint receivedAt);

    std::int64_t appliedUpTo() const;
    /// Hash over all (key, revision) pairs.
    std::int64_t digest() const;

    /// Submits a change and waits for its verdict.
    boost::asio::awaitable<Wire::ConfigApplyReply> apply(Wire::ConfigChange change);
    Wire::ConfigStateReply state(const Wire::ConfigStateRequest &request) const;
    Wire::AuditReply audit(const Wire::AuditRequest &request) const;

private:
    std::shared_ptr<Internal::ConfigServiceState> m_state;
};

} // namespace Hyssop
