#pragma once

#include "colocationpolicy.h"
#include "dispatchactions.h"
#include "dispatchlimits.h"
#include "dispatchsummary.h"
#include "jobregistry.h"
#include "leasepolicy.h"
#include "shorttaskreserve.h"
#include "ticketcache.h"
#include "workerstate.h"

#include <ports/clusterconfig.h>
#include <ports/orderanswers.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

class JobTable;
class WorkerRanking;
struct PlacementRequest;

/// Decides everything that the owner of the job topic orders: answers and time go in, actions come out.
///
/// A run goes through these phases: its intent becomes durable, the start is ordered, the worker lists it as running and
/// then as ended, and the end becomes durable before the worker may forget it. A new owner knows all intents of the earlier
/// ones; what became of them it learns from the workers, or from the time by which their leases have ended.
class Dispatcher
{
public:
    explicit Dispatcher(const DispatchLimits &limits);

    /// Begins a term. @p term is the fencing token of all orders; @p claimedAt is when the answer to the claim arrived.
    /// @p afterHandover: see LeaseRule.
    void beginTerm(std::int64_t term, const JobTable &table, TimePoint claimedAt, bool afterHandover = false);

    /// Returns true if no lease of an earlier owner is left.
    bool earlierLeasesExpired(TimePoint now) const { return now >= m_earlierLeasesEnd; }

    void applyConfiguration(const ClusterConfig &config, const std::set<std::string> &evacuatedDomains);
    void updateWorker(const WorkerInfo &info);
    void removeWorker(const std::string &id);

    /// A record about a job was read from the topic.
    void jobChanged(const std::string &jobId, const JobEntry *entry, TimePoint now, WallTime wall);

    /// A call that was sent at @p sentAt proved that no later claim existed.
    void confirmOwnership(TimePoint sentAt);

    /// All records that existed at @p sentAt were read: cancellations as well as claims.
    void confirmRead(TimePoint sentAt);

    /// Returns how far behind the reading of the topic is.
    Duration readLag(TimePoint now) const { return now - m_readAt; }

    void startAnswered(const StartOrder &order, const OrderAnswer &answer, TimePoint now);
    void stopAnswered(const StopOrder &order, const OrderAnswer &answer, TimePoint now);
    void throttleAnswered(const PaceOrder &order, const OrderAnswer &answer, TimePoint now);
    void pollAnswered(const PollOrder &order, const PollAnswer &answer, TimePoint sentAt, TimePoint now);
    void adviceAnswered(const RequestAdvice &adviceRequest, const AdviceAnswer &answer, TimePoint sentAt, TimePoint now);

    /// The records of the last StoreRecords action are durable.
    void recordsStored(TimePoint now);

    /// Lets time pass and returns what is to be done now.
    std::vector<DispatchAction> advance(TimePoint now, WallTime wall);

    std::size_t openRuns() const;
    DispatchSummary summary(TimePoint now);

private:
    using Intents = std::vector<std::pair<TaskId, int>>; // with the number of the run

    /// Newest end of a worker that a batch makes durable.
    struct StoredEnd
    {
        std::chrono::milliseconds bornAt{0}; // ends are numbered anew in each life of the worker
        std::int64_t number = 0;
    };

    struct PendingBatch
    {
        Intents intents;
        std::map<std::string, StoredEnd> ends; // by worker
    };

    RunProfile runProfile(const Wire::TaskStep &step, int run);
    WorkerState &stateOf(const std::string &worker);
    WorkerState *findWorker(const std::string &worker);
    WorkerAddress addressOf(const WorkerState &worker) const;

    /// Rises with each term, and with each new life of the worker: a call to an earlier life that is carried out late is
    /// refused.
    std::int64_t tokenFor(const WorkerState &worker) const;
    bool isOfThisTerm(std::int64_t fencingToken) const;

    void adoptOpenRuns(JobExecution &job);
    void releaseDueOccurrences(JobExecution &job, WallTime wall);

    void removeUnregisteredWorkers();
    void expireLeases(TimePoint now);
    void pollWorkers(TimePoint now);
    void moveRunsOffDrainingWorkers(TimePoint now);

    void handleReport(WorkerState &worker, const WorkerListing &listing, TimePoint sentAt, TimePoint now);
    void handleWorkerRestart(WorkerState &worker, WorkerTime reading, TimePoint now);
    void handleEndedRun(WorkerState &worker, const ListedEnd &end, TimePoint now);
    void handleReportedRun(WorkerState &worker, const ListedRun &run, TimePoint now);
    void updateProgress(WorkerState &worker, const ListedRun &run, TaskExecution &task, TimePoint now);
    void updateExpectedEnd(WorkerState &worker, const ListedRun &run, TaskExecution &task, TimePoint now);
    void findMissingRuns(WorkerState &worker, const WorkerListing &listing, TimePoint sentAt, TimePoint now);
    void stopOrphan(WorkerState &worker, const ListedRun &run, TimePoint now);
    std::vector<NeighbourLoad> endedNeighbourLoads(WorkerState &worker, TimePoint now);
    void recordEndedBestEffortRun(const TaskId &id, const TaskExecution &task, TimePoint now);
    void updateTargetState(WorkerState &worker, const std::vector<ColocatedRun> &runs, TimePoint now);
    bool migratePausedRun(const TaskId &id, TimePoint now);
    void adjustSpeeds(WorkerState &worker, const WorkerListing &listing, TimePoint now);

    void sendStart(const TaskId &id, TaskExecution &task, TimePoint now);

    /// A worker has confirmed a run of the job: it no longer waits.
    void markStarted(const TaskId &id);
    void detectClockRegression(const std::string &workerId, WorkerTime reading, TimePoint now);
    void handleFencing(const std::string &workerId, std::int64_t fencingToken, const OrderRefused &refusal);
    void handleStartRejection(const TaskId &id, TaskExecution &task, const OrderRefused &answer, TimePoint now);
    void beginStop(const TaskId &id, TaskExecution &task, TimePoint now);
    void sendStop(const TaskId &id, const TaskExecution &task);
    void abandonRun(const TaskId &id, TaskExecution &task, TimePoint now);
    void requeue(const TaskId &id, TaskExecution &task, TimePoint now);
    void endRun(const TaskId &id, TaskExecution &task, RunEnding ending, const std::string &checkpoint, TimePoint now);
    void markDone(const TaskId &id, TaskExecution &task);
    void finishOccurrences(JobExecution &job);
    void recordFailedRun(const TaskId &id, TaskExecution &task, TimePoint now);
    void reportEnd(const JobExecution &job);
    void endJob(JobExecution &job, TimePoint now);
    bool canStartOn(const WorkerState &worker, TimePoint now) const;

    void placePendingTasks(TimePoint now, WallTime wall);
    void recordShortTaskDemand(TimePoint now);
    void placeStep(JobExecution &job, int occurrence, int step, WorkerRanking &ranking, const QueueInfo &queue, TimePoint now);
    void placeGang(JobExecution &job, int occurrence, int step, const WorkerRanking &ranking, PlacementRequest &request, TimePoint now);
    bool awaitsAdvice(const TaskId &step, const QueueInfo &queue, PlacementRequest &request, TimePoint now);
    void assignRun(JobExecution &job, const TaskId &id, TaskExecution &task, WorkerState &worker, int run, TimePoint now);

    void composeBatch(TimePoint now, WallTime wall);

    /// Adds to a batch with all changes what can wait for it: ends are durable only when all that they changed is.
    void addDeferredRecords(std::vector<KeyedRecord> &records, std::size_t size, TimePoint now, WallTime wall);
    void storeLearnedTails(std::vector<KeyedRecord> &records, TimePoint now);
    void removeExpiredJobs(std::vector<KeyedRecord> &records, WallTime wall);

    DispatchLimits m_limits;
    LeasePolicy m_leasePolicy;
    std::int64_t m_term = 0;
    TimePoint m_confirmedAt{};
    TimePoint m_readAt{};
    TimePoint m_earlierLeasesEnd{};
    std::int64_t m_wallMs = 0; // of the newest advance(), Unix time
    JobRegistry m_jobs;
    std::map<std::string, WorkerState> m_workers;
    ClusterConfig m_config;
    std::set<std::string> m_evacuated;
    TicketCache m_tickets;
    ColocationPolicy m_colocation;
    ShortTaskReserve m_shortTaskReserve;
    std::vector<DispatchAction> m_actions;
    Intents m_newIntents; // not yet in a batch
    PendingBatch m_batch; // on its way to the store
    bool m_batchPending = false;
    TimePoint m_batchAt{};
    TimePoint m_fullBatchAt{}; // newest batch with all changes
    TimePoint m_tailsStoredAt{}; // when learned tails were last stored
};

} // namespace Hyssop
