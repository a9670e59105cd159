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
constexpr std::chrono::milliseconds LogSilence{1000}; // without a successful read the log counts as unavailable
constexpr std::size_t SnapshotOverhead = 512; // names and numbers of a snapshot, with a margin

/// What the coroutines of a ConfigService share.
struct ConfigServiceState
{
    ConfigServiceState(boost::asio::any_io_executor ioExecutor, LogClient &log, RpcClient &rpc, MetricsRegistry &registry, ConfigServiceOptions serviceOptions);

    std::variant<Contract, std::vector<ContractError>> parse(std::string_view text) const
    {
        return options.contractParser ? options.contractParser(text) : parseContract(text);
    }

    std::optional<std::string> faultOfBody(const std::string &key, const std::string &body) const;

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
    std::list<boost::asio::steady_timer *> waiting; // cancelled when something was read, or at the stop
    std::uint64_t reportedGeneration = 0;
    ConfigLedgerCounters reportedCounters;
    TimePoint startedAt;
    std::optional<TimePoint> lastReadAt;
    std::optional<Duration> logClockOffset; // of the log's clock to the steady clock
    std::optional<TimePoint> peerProofAt; // at this time a peer's head was not above knownUpTo()
    std::optional<std::pair<std::int64_t, TimePoint>> laterProof; // head that is still to be read
    bool adopted = false;
    bool stopped = false;

    bool isReady() const { return ledger.isComplete() && (adopted || tailer.caughtUp()); }
};

using ConfigServiceStatePtr = std::shared_ptr<ConfigServiceState>;

/// Wakes everything that waits for a read.
void wakeWaiting(ConfigServiceState &state);

/// Waits until something was read, the service stops or @p deadline is reached.
boost::asio::awaitable<void> waitForRead(ConfigServiceStatePtr state, TimePoint deadline);

/// Sleeps at least @p delay unless the service stops.
boost::asio::awaitable<void> pause(ConfigServiceStatePtr state, std::chrono::milliseconds delay);

/// Brings everything that depends on the ledger up to date.
void noteLedgerChange(ConfigServiceState &state);

/// Returns the time of the log's clock, which stamps the records. Before it is known, the wall clock has to do.
WallTime logTime(const ConfigServiceState &state);

/// Applies what was read from the log.
void applyBatch(ConfigServiceState &state, std::int64_t offset, WallTime time, const Wire::RecordBatch &batch);
void noteRead(ConfigServiceState &state, std::int64_t oldest, std::int64_t head);

} // namespace Hyssop::Internal
