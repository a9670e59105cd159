#pragma once

#include "dispatchactions.h"
#include "dispatchlimits.h"
#include "dispatchsummary.h"
#include "jobbook.h"
#include "leaserule.h"
#include "sharingrule.h"
#include "shorttaskreserve.h"
#include "ticketbook.h"
#include "workerview.h"

#include <ports/clusterconfig.h>
#include <ports/commandresults.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

class JobTable;
class WorkerChoice;
struct PlacementWish;

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
    /// @p handedOver: see LeaseRule.
    void begin(std::int64_t term, const JobTable &table, TimePoint claimedAt, bool handedOver = false);

    /// Returns true if no lease of an earlier owner is left.
    bool isSettled(TimePoint now) const { return now >= m_earlierLeasesEnd; }

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
    Duration readAge(TimePoint now) const { return now - m_readAt; }

    void startAnswered(const StartCommand &order, const CommandResult &answer, TimePoint now);
    void stopAnswered(const StopCommand &order, const CommandResult &answer, TimePoint now);
    void paceAnswered(const ThrottleCommand &order, const CommandResult &answer, TimePoint now);
    void pollAnswered(const PollCommand &order, const PollResult &answer, TimePoint sentAt, TimePoint now);
    void adviceAnswered(const AskAdvice &question, const AdviceResult &answer, TimePoint sentAt, TimePoint now);

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
        std::chrono::milliseconds processStartedAt{0}; // ends are numbered anew in each life of the worker
        std::int64_t number = 0;
    };

    struct OpenBatch
    {
        Intents intents;
        std::map<std::string, StoredEnd> ends; // by worker
    };

    RunUse describeUse(const Wire::TaskStep &step, int run);
    WorkerView &viewOf(const std::string &worker);
    WorkerView *findWorker(const std::string &worker);
    WorkerAddress addressOf(const WorkerView &worker) const;

    /// Rises with each term, and with each new life of the worker: a call to an earlier life that is carried out late is
    /// refused.
    std::int64_t tokenFor(const WorkerView &worker) const;
    bool isOfThisTerm(std::int64_t fencingToken) const;

    void adoptOpenRuns(JobRun &job);
    void startDueOccurrences(JobRun &job, WallTime wall);

    void dropIdleViews();
    void expireLeases(TimePoint now);
    void pollWorkers(TimePoint now);
    void moveRunsOffLeavingWorkers(TimePoint now);

    void applyListing(WorkerView &worker, const WorkerReport &listing, TimePoint sentAt, TimePoint now);
    void noteRebirth(WorkerView &worker, WorkerTime reading, TimePoint now);
    void applyEnd(WorkerView &worker, const ReportedRunEnd &end, TimePoint now);
    void applyRun(WorkerView &worker, const ReportedRun &run, TimePoint now);
    void noteProgress(WorkerView &worker, const ReportedRun &run, TaskRun &task, TimePoint now);
    void noteExpectedEnd(WorkerView &worker, const ReportedRun &run, TaskRun &task, TimePoint now);
    void findMissingRuns(WorkerView &worker, const WorkerReport &listing, TimePoint sentAt, TimePoint now);
    void stopStray(WorkerView &worker, const ReportedRun &run, TimePoint now);
    std::vector<NeighbourLoad> endedPressures(WorkerView &worker, TimePoint now);
    void noteEndedFiller(const TaskId &id, const TaskRun &task, TimePoint now);
    void noteTails(WorkerView &worker, const std::vector<SharedRun> &runs, TimePoint now);
    bool moveHalted(const TaskId &id, TimePoint now);
    void adjustPace(WorkerView &worker, const WorkerReport &listing, TimePoint now);

    void sendStart(const TaskId &id, TaskRun &task, TimePoint now);

    /// A worker has confirmed a run of the job: it no longer waits.
    void noteStarted(const TaskId &id);
    void checkClock(const std::string &workerId, WorkerTime reading, TimePoint now);
    void noteFence(const std::string &workerId, std::int64_t fencingToken, const CommandRejected &refusal);
    void refused(const TaskId &id, TaskRun &task, const CommandRejected &answer, TimePoint now);
    void beginStop(const TaskId &id, TaskRun &task, TimePoint now);
    void sendStop(const TaskId &id, const TaskRun &task);
    void giveUpRun(const TaskId &id, TaskRun &task, TimePoint now);
    void requeue(const TaskId &id, TaskRun &task, TimePoint now);
    void endRun(const TaskId &id, TaskRun &task, RunEndReason endReason, const std::string &checkpoint, TimePoint now);
    void noteDone(const TaskId &id, TaskRun &task);
    void finishOccurrences(JobRun &job);
    void noteFailedRun(const TaskId &id, TaskRun &task, TimePoint now);
    void reportEnd(const JobRun &job);
    void endJob(JobRun &job, TimePoint now);
    bool mayStartOn(const WorkerView &worker, TimePoint now) const;

    void placeWaiting(TimePoint now, WallTime wall);
    void noteShortDemand(TimePoint now);
    void placeStep(JobRun &job, int occurrence, int step, WorkerChoice &choice, const QueueInfo &queue, TimePoint now);
    void placeGang(JobRun &job, int occurrence, int step, const WorkerChoice &choice, PlacementWish &wish, TimePoint now);
    bool needsAdvice(const TaskId &step, const QueueInfo &queue, PlacementWish &wish, TimePoint now);
    void intend(JobRun &job, const TaskId &id, TaskRun &task, WorkerView &worker, int run, TimePoint now);

    void composeBatch(TimePoint now, WallTime wall);

    /// Adds to a batch with all changes what can wait for it: ends are durable only when all that they changed is.
    void completeBatch(std::vector<KeyedRecord> &records, std::size_t size, TimePoint now, WallTime wall);
    void storeTails(std::vector<KeyedRecord> &records, TimePoint now);
    void forgetEndedJobs(std::vector<KeyedRecord> &records, WallTime wall);

    DispatchLimits m_limits;
    LeaseRule m_leases;
    std::int64_t m_term = 0;
    TimePoint m_confirmedAt{};
    TimePoint m_readAt{};
    TimePoint m_earlierLeasesEnd{};
    std::int64_t m_wallMs = 0; // of the newest advance(), Unix time
    JobBook m_jobs;
    std::map<std::string, WorkerView> m_workers;
    ClusterConfig m_config;
    std::set<std::string> m_evacuated;
    TicketBook m_tickets;
    SharingRule m_sharing;
    ShortTaskReserve m_reserve;
    std::vector<DispatchAction> m_actions;
    Intents m_newIntents; // not yet in a batch
    OpenBatch m_batch; // on its way to the store
    bool m_batchOpen = false;
    TimePoint m_batchAt{};
    TimePoint m_fullBatchAt{}; // newest batch with all changes
    TimePoint m_tailsAt{}; // when learned tails were last stored
};

} // namespace Hyssop
