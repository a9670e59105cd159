#pragma once

#include "configservice.h"

#include <config/configledger.h>
#include <platform/logappender.h>
#include <platform/logtailer.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <random>
#include <utility>

namespace Hyssop::Internal {

constexpr std::string_view ContractPrefix = "contract/";
constexpr std::string_view DomainPrefix = "domain/";
constexpr std::chrono::milliseconds LogTimeout{1000}; // the log counts as unavailable if no read has succeeded for this time
constexpr std::size_t SnapshotOverhead = 512; // size of the names and numbers of a snapshot, with a margin, in bytes

/// State that the coroutines of a ConfigService share.
struct ConfigServiceState
{
    ConfigServiceState(boost::asio::any_io_executor ioExecutor, LogClient &log, RpcClient &rpc, MetricsRegistry &registry, ConfigServiceOptions serviceOptions);

    std::variant<Contract, std::vector<ContractError>> parse(std::string_view text) const
    {
        return options.contractParser ? options.contractParser(text) : parseContract(text);
    }

    std::optional<std::string> validateBody(const std::string &key, const std::string &body) const;

    boost::asio::any_io_executor executor;
    RpcClient &peers;
    MetricsRegistry &metrics;
    ConfigServiceOptions options;
    ConfigLedger ledger;
    LogTailer tailer;
    LogAppender appender;
    std::minstd_rand random;
    std::map<std::string, ContractInForce> contracts; // by customer
    std::function<void()> changeHandler;
    std::list<boost::asio::steady_timer *> readWaiters; // cancelled after each read and by stop()
    std::uint64_t reportedGeneration = 0;
    ConfigLedgerCounters reportedCounters;
    TimePoint startedAt;
    std::optional<TimePoint> lastReadAt;
    std::optional<Duration> logClockOffset; // from the steady clock to the clock of the log
    std::optional<TimePoint> peerVerifiedAt; // latest time at which a peer's head was not above knownUpTo()
    std::optional<std::pair<std::int64_t, TimePoint>> pendingVerification; // a peer's head that was not read here yet, and when the peer verified it
    bool mergedPeerState = false;
    bool stopped = false;

    bool isReady() const { return ledger.isComplete() && (mergedPeerState || tailer.caughtUp()); }
};

using ConfigServiceStatePtr = std::shared_ptr<ConfigServiceState>;

/// Resumes all coroutines in waitForRead().
void wakeReadWaiters(ConfigServiceState &state);

/// Waits for the next read of the log, until @p deadline or until the service stops.
boost::asio::awaitable<void> waitForRead(ConfigServiceStatePtr state, TimePoint deadline);

/// Waits for at least @p delay; returns early if the service stops.
boost::asio::awaitable<void> sleepFor(ConfigServiceStatePtr state, std::chrono::milliseconds delay);

/// Updates metrics, contracts and the time of verification after a change of the ledger, and calls the change handler.
void ledgerChanged(ConfigServiceState &state);

/// Returns the current time of the log's clock, which also sets the times of the records. Returns the wall clock's time
/// until the offset of the log's clock is known.
WallTime logTime(const ConfigServiceState &state);

/// Applies a batch that was read from the log.
void applyBatch(ConfigServiceState &state, std::int64_t offset, WallTime time, const Wire::RecordBatch &batch);
/// Handles the end of a successful read of the log.
void logRead(ConfigServiceState &state, std::int64_t oldest, std::int64_t head);

} // namespace Hyssop::Internal
