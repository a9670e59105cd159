#pragma once

#include "claimpolicy.h"

#include <dispatch/dispatcher.h>
#include <ports/storeresults.h>
#include <ports/topicappend.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

class AdviceService;
class JobTable;
class MetadataStore;
class MetricsRegistry;
class TopicFollower;
class WorkerApi;
struct JobKey;

/// Outside services that the owner uses.
struct OwnerPorts
{
    MetadataStore &store;
    WorkerApi &workers;
    AdviceService &advice;
};

/// The instance that may become the owner.
struct OwnerIdentity
{
    std::string instance;
    double processorShare = 1; // of a core
};

/// Claims the job topic when it has no live owner, and runs the dispatcher while this instance owns it.
class TopicOwner
{
public:
    TopicOwner(boost::asio::any_io_executor executor,
               const Clock &clock,
               OwnerPorts ports,
               const JobTable &table,
               const TopicFollower &jobs,
               MetricsRegistry &metrics,
               const DispatchLimits &limits,
               const OwnerIdentity &identity);

    /// A record of the job topic was applied to the table.
    void jobRecordApplied(const JobKey &key);

    /// A read of the job topic was answered; it was sent at @p sentAt.
    void jobsRead(TimePoint sentAt);

    void applyConfiguration(const ClusterConfig &config, const std::set<std::string> &evacuatedDomains);
    void updateWorker(const WorkerInfo &info);
    void removeWorker(const std::string &id);

    /// Runs the dispatcher and renews the claim while this instance is the owner. Runs until the executor stops.
    boost::asio::awaitable<void> run();

    /// Gives the topic up, so that another instance claims it at once, and claims it no more.
    boost::asio::awaitable<void> release();

    bool isOwner() const { return m_term.has_value(); }
    /// Returns true while a claim may show up in the topic.
    bool isClaiming() const;
    std::int64_t term() const { return m_term.value_or(-1); }

private:
    bool ownsNewestClaim() const;
    void becomeOwner();
    void stepDown(const std::string &reason);
    boost::asio::awaitable<void> claim();
    void perform(DispatchAction action);
    void beginAppend(std::vector<KeyedRecord> records, bool isBatch);
    boost::asio::awaitable<void> appendUntilKnown(std::vector<KeyedRecord> records, bool isBatch, std::int64_t term);
    void appendAnswered(const TopicAppendResult &answer, bool isBatch, TimePoint sentAt);
    boost::asio::awaitable<void> handOver(std::string reason);
    KeyedRecord claimRecord(bool released) const;
    void reportLoad(TimePoint now);
    boost::asio::awaitable<void> sendStart(StartCommand order);
    boost::asio::awaitable<void> sendStop(StopCommand order);
    boost::asio::awaitable<void> sendThrottle(ThrottleCommand order);
    boost::asio::awaitable<void> sendPoll(PollCommand order);
    boost::asio::awaitable<void> sendAdvice(RequestAdvice question);

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    OwnerPorts m_ports;
    const JobTable &m_table;
    const TopicFollower &m_jobs;
    MetricsRegistry &m_metrics;
    std::string m_instance;
    double m_processorShare;
    std::int64_t m_incarnation;
    ClaimPolicy m_claimRule;
    OwnerObservation m_evidence;
    Dispatcher m_dispatcher;
    std::map<std::string, WorkerInfo> m_workers;
    ClusterConfig m_config;
    std::set<std::string> m_evacuated;
    std::optional<std::int64_t> m_term; // set while this instance is the owner
    std::int64_t m_lowestTerm = 0; // a term that was given up is not resumed
    std::int64_t m_sequence = 0; // of the next append
    TimePoint m_lastAppend{};
    TimePoint m_lastReport{};
    bool m_appending = false;
    bool m_claiming = false;
    bool m_handedOver = false; // the claim sent follows a clean release
    TimePoint m_claimedAt{};
    bool m_releasing = false;
};

} // namespace Hyssop
