#pragma once

#include "claimpolicy.h"
#include "dispatchlog.h"
#include "ownerappender.h"
#include "ownercapacity.h"
#include "ownerdelays.h"
#include "ownersilence.h"
#include "servingroomschedule.h"
#include "takeoverofferpolicy.h"

#include <dispatch/dispatcher.h>
#include <ports/storeresults.h>
#include <ports/topicappend.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

class AdviceService;
class BackgroundQueue;
class MachineDirectory;
class JobTable;
class MetadataStore;
class MetricsRegistry;
class TopicFollower;
class WorkerApi;
struct JobKey;

/// External services that the owner uses.
struct OwnerPorts
{
    MetadataStore &store;
    WorkerApi &workers;
    AdviceService &advice;
    MachineDirectory &machines;
};

/// Identifies this instance in its claims.
struct OwnerIdentity
{
    std::string instance;
    double processorShare = 1; // number of cores
};

/// Claims ownership of the job topic when no owner is active, and runs the dispatcher while this instance is the owner.
class TopicOwner
{
public:
    /// @p isNeeded is true while this instance is the owner or its claim may still succeed.
    using WorkersNeedHandler = std::function<void(bool isNeeded)>;

    TopicOwner(boost::asio::any_io_executor executor,
               const Clock &clock,
               OwnerPorts ports,
               JobTable &table,
               const TopicFollower &jobs,
               MetricsRegistry &metrics,
               const DispatchLimits &limits,
               const OwnerIdentity &identity);

    /// @p onWorkersNeed is called when the registered workers begin or cease to be needed; at first, they are not. While they are
    /// not needed, all known workers must be removed, and none needs to be added.
    void setWorkersNeedHandler(WorkersNeedHandler onWorkersNeed) { m_workersNeedHandler = std::move(onWorkersNeed); }

    /// Must be called after a record of the job topic was applied to the table.
    void jobRecordApplied(const JobKey &key);

    /// Must be called after the records of a read of the job topic were applied. The read was sent at @p sentAt.
    void jobsRead(TimePoint sentAt);

    /// Must be called after the records of a read of the workers topic were applied. The read was sent at @p sentAt.
    void workersRead(TimePoint sentAt);

    void applyConfiguration(const ClusterConfig &config, const std::set<std::string> &evacuatedDomains);
    void updateWorker(const WorkerInfo &info);
    void removeWorker(const std::string &id);

    /// Runs the dispatcher and renews the claim while this instance is the owner. Runs until the executor stops.
    boost::asio::awaitable<void> run();

    /// Releases the topic, so that another instance can claim it immediately. This instance does not claim it again.
    boost::asio::awaitable<void> release();

    /// Writes the results of commands that are not in the log yet. Must be called before the process ends.
    void finishLog();

    bool isOwner() const { return m_term.has_value(); }
    /// Returns true while a recently sent claim may still appear in the topic.
    bool isClaiming() const;
    /// Returns true while this instance may take the topic over from an overloaded owner.
    bool isOffering() const { return m_offerPolicy.isOffering(); }
    std::int64_t term() const { return m_term.value_or(-1); }

private:
    bool ownsNewestClaim() const;

    /// Returns what the reads so far have shown about the owner.
    OwnerObservation observeOwner() const;

    /// Notes when the newest record of silent workers was read.
    void silentWorkersRead();

    /// Claims the topic, or offers to take it over, if it is time for that.
    void updateStandby(TimePoint now);
    void beginClaim(TimePoint now);

    /// Begins the takeover after the own claim was read.
    void beginTakeover();

    void endTakeover();

    /// Fences the previous owners in the runs topic and loads that. Then this instance is the owner, unless its claim has been replaced.
    boost::asio::awaitable<void> takeOver(std::int64_t term);

    /// Returns false if the takeover of @p term has ended meanwhile.
    boost::asio::awaitable<bool> fenceRuns(std::int64_t term);
    boost::asio::awaitable<bool> loadRuns(std::int64_t term);
    void becomeOwner();
    void stepDown(const std::string &reason, const StepDown &rejection = {});
    void updateWorkersNeed();
    boost::asio::awaitable<void> claim();
    void execute(DispatchAction action);
    void execute(std::vector<DispatchAction> actions);

    /// Returns the executor for commands: those that are not urgent wait while other events are due.
    const boost::asio::any_io_executor &executorFor(bool isUrgent) const { return isUrgent ? m_executor : m_backgroundExecutor; }

    /// Returns true if all background work that was queued at an earlier tick is done, and begins to wait for what is queued now.
    bool completeBackgroundTurn(TimePoint now);
    void writeResults();
    void startBatch(AppendRecords batch);
    void renewClaim(TimePoint now);

    /// Returns true if the append has succeeded, and steps down otherwise.
    bool checkAppend(const TopicAppendResult &result);
    void batchAppended(const TopicAppendResult &result);
    bool isAppending() const { return m_appender.isAppending() || m_runsAppender.isAppending(); }
    /// Releases the topic to @p successor, or to any instance if it is empty.
    boost::asio::awaitable<void> releaseOwnership(std::string reason, std::string successor = {});

    /// Waits until no append is in flight; returns false if that takes too long.
    boost::asio::awaitable<bool> finishAppends();

    /// Releases the topic to the instance that has offered to take it over.
    boost::asio::awaitable<void> handOver();
    boost::asio::awaitable<void> offerTakeover();

    /// Notes an offer to relieve this instance.
    void takeoverOfferRead();

    /// Returns true if others don't know yet whether the processor of this instance carries its work.
    bool isClaimOutdated() const { return m_term && m_capacity.isExceeded() != m_isOverloadPublished; }

    /// Returns true if owners had a much larger processor share than this instance, so that it has to prove that it carries the work.
    bool isMuchSmallerThanOwners() const { return m_processorShare * 2 < m_largestOwnerShare; }

    std::optional<std::int64_t> termOrTakeover() const { return m_term ? m_term : m_takeoverTerm; }
    KeyedRecord claimRecord(std::int64_t term, bool released, const std::string &successor = {}) const;

    /// Adds the room for serving tasks to @p records, which are appended to the job topic, if it has to be published again.
    void addServingRoom(std::vector<KeyedRecord> &records);

    /// Returns true if the reads of the jobs lag behind although the store responds.
    bool isReadLagging(TimePoint now) const;
    void updateCapacity(TimePoint now);
    void reportLoad(TimePoint now);
    void reportDelays(TimePoint now);
    void countWithheldTime(TimePoint now);
    boost::asio::awaitable<void> sendStart(StartCommand command);
    boost::asio::awaitable<void> sendStop(StopCommand command);
    boost::asio::awaitable<void> sendThrottle(ThrottleCommand command);
    boost::asio::awaitable<void> sendPoll(PollCommand command);
    boost::asio::awaitable<void> sendAdvice(RequestAdvice request);
    boost::asio::awaitable<void> listLiveWorkers();

    boost::asio::any_io_executor m_executor;
    BackgroundQueue &m_background;
    boost::asio::any_io_executor m_backgroundExecutor;
    bool m_isBackgroundTurnOpen = false;
    const Clock &m_clock;
    OwnerPorts m_ports;
    JobTable &m_table;
    const TopicFollower &m_jobs;
    MetricsRegistry &m_metrics;
    std::string m_instance;
    double m_processorShare;
    std::int64_t m_incarnation;
    ClaimPolicy m_claimPolicy;
    TakeoverOfferPolicy m_offerPolicy;
    OwnerSilence m_ownerSilence;
    OwnerAppender m_appender; // to the job topic
    OwnerAppender m_runsAppender;
    Dispatcher m_dispatcher;
    OwnerCapacity m_capacity;
    double m_largestOwnerShare = 0; // of all owners whose claims were read
    bool m_isOverloadPublished = false; // according to the newest claim that was sent
    std::string m_successor; // has offered to relieve this instance; empty: none
    ServingRoomSchedule m_servingRoomSchedule;
    DispatchLog m_log;
    WorkersNeedHandler m_workersNeedHandler;
    bool m_needsWorkers = false;
    std::map<std::string, WorkerInfo> m_workers; // empty unless they are needed
    std::optional<TimePoint> m_workersReadAt; // all registrations up to then are in m_workers
    ClusterConfig m_config;
    std::set<std::string> m_evacuatedDomains;
    std::optional<std::int64_t> m_term; // set while this instance is the owner
    std::optional<std::int64_t> m_takeoverTerm; // set while the runs topic is loaded
    TimePoint m_takeoverBeganAt{}; // when the own claim was read
    TimePoint m_claimReadAt{}; // when the newest read that contained the own claim was sent
    std::int64_t m_silentWorkersOffset = -1; // of the newest record of silent workers that was read
    TimePoint m_silentWorkersReadAt{}; // when it was read first
    std::optional<TimePoint> m_newestSilentWorkersReadAt; // the same if no previous owner has written a newer one
    TimePoint m_batchBeganAt{};
    int m_batchAppends = 0; // of the batch that are not durable
    std::int64_t m_minimumTerm = 0; // terms below this one are not resumed after stepping down
    TimePoint m_lastLoadReport{};
    OwnerDelays m_delays; // since the last report of the load
    TimePoint m_lastFullTick{}; // that decided about all work
    TimePoint m_lastTick{}; // while this instance is the owner
    bool m_claiming = false;
    bool m_cleanHandover = false; // the claim sent last follows a release by an owner, after all leases of previous owners had expired
    TimePoint m_claimSentAt{};
    bool m_releasing = false;
};

} // namespace Hyssop
