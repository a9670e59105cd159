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

/// The contract of a customer that currently applies, with its revision.
struct ContractInForce
{
    Contract contract;
    std::int64_t revision = 0;
};

struct ConfigServiceOptions
{
    std::string instance;
    std::vector<std::string> peers; // RPC addresses, queried for the state if the log is unavailable at the start
    std::chrono::milliseconds retention{std::chrono::hours(24)};
    double maximumAppendsPerSecond = 25;
    std::chrono::milliseconds verdictTimeout{10000}; // maximum time until a submitted change is read back from the log
    /// Without a ready peer, the newest revision known is taken for keys without an exact base after this time.
    std::chrono::milliseconds provisionalTimeout{15000};
    /// Reads contracts; parseContract() if empty.
    std::function<std::variant<Contract, std::vector<ContractError>>(std::string_view text)> contractParser;
};

namespace Internal {
struct ConfigServiceState;
}

/// Maintains the configuration of this instance: reads the `config` stream, determines which changes are accepted, and
/// republishes state before its records expire. The log client, the RPC client and the metrics must outlive the work on
/// the executor.
class ConfigService
{
public:
    ConfigService(boost::asio::any_io_executor executor, LogClient &log, RpcClient &peers, MetricsRegistry &metrics, ConfigServiceOptions options);
    ~ConfigService();

    void start();
    void stop();

    /// True once the state is complete: read up to the log's head, or merged from a ready peer.
    bool ready() const;

    /// All contracts in force, ordered by customer name.
    std::vector<ContractInForce> contracts() const;
    std::optional<ContractInForce> contract(const std::string &customer) const;

    /// False if operators have taken the failure domain out of service.
    bool isDomainInService(const std::string &domain) const;

    /// Incremented with every change of the state in force.
    std::uint64_t generation() const;

    /// Called after every change of the state in force.
    void setChangeHandler(std::function<void()> handler);

    /// Time since the state was last known to be up to date with the log's head, from a read of the log or from a peer's
    /// heartbeat; no value if it never was.
    std::optional<std::chrono::milliseconds> headAge(TimePoint now) const;

    /// Handles the log position in a peer's heartbeat: when the peer sent it, it had applied @p head and had verified
    /// @p age ago that this was the log's head. The state here counts as up to date as of then once it has applied @p head
    /// too. A negative age is ignored.
    void peerHeadReceived(std::int64_t head, std::chrono::milliseconds age, TimePoint receivedAt);

    std::int64_t appliedUpTo() const;
    /// Hash over all (key, revision) pairs.
    std::int64_t digest() const;

    /// Appends a change to the log and waits for its verdict.
    boost::asio::awaitable<Wire::ConfigApplyReply> apply(Wire::ConfigChange change);
    Wire::ConfigStateReply state(const Wire::ConfigStateRequest &request) const;
    Wire::AuditReply audit(const Wire::AuditRequest &request) const;

private:
    std::shared_ptr<Internal::ConfigServiceState> m_state;
};

} // namespace Hyssop
