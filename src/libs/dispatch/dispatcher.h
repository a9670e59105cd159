#pragma once

#include "colocationpolicy.h"
#include "commandwindow.h"
#include "dispatchactions.h"
#include "dispatchlimits.h"
#include "dispatchstage.h"
#include "dispatchsummary.h"
#include "earlierleases.h"
#include "jobregistry.h"
#include "leasepolicy.h"
#include "ownerlateness.h"
#include "placementwork.h"
#include "queuedirectory.h"
#include "repeatedpollbudget.h"
#include "responsetimeestimator.h"
#include "responsetimeoutpolicy.h"
#include "roomreservations.h"
#include "shorttaskreserve.h"
#include "stagedelays.h"
#include "taskkind.h"
#include "ticketcache.h"
#include "tickscope.h"
#include "tokenrises.h"
#include "unschedulablerequests.h"
#include "waitingwatchdog.h"
#include "workerstate.h"

#include <ports/commandresults.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Hyssop {

class FreeRoom;
class JobTable;
class WorkerRanking;
struct ClaimTimes;
struct ListedRun;
struct PlacementRequest;
struct SchedulingKey;
struct ServingRoom;

namespace Internal {
struct PendingStep;
}

/// Scheduler of the instance that owns the job topic. It performs no I/O: its inputs are records, results of commands and the time, its
/// outputs are actions.
///
/// Life cycle of a run: the intent to start it becomes durable, the start command is sent, the worker reports it as running
/// and later as ended, and the end becomes durable before it is acknowledged to the worker. After a failover, the new owner
/// finds all intents of previous owners in the topic. It learns the outcome of these runs from the workers, or assumes their
/// end once the leases of an unreachable worker must have expired.
class Dispatcher
{
public:
    explicit Dispatcher(const DispatchLimits &limits);

    /// Starts a term of ownership with the jobs of @p table. @p term is part of the fencing token of all commands.
    /// For @p afterHandover, see LeasePolicy::earlierLeasesEnd().
    void beginTerm(std::int64_t term, const JobTable &table, const ClaimTimes &claim, bool afterHandover = false);

    /// Returns true if every lease that a previous owner granted has expired.
    bool earlierLeasesExpired(TimePoint now) const { return now >= m_earlierLeases.latestEnd(); }

    /// Returns for how many workers the previous owner has recorded when earlier leases end.
    std::size_t recordedSilentWorkers() const { return m_earlierLeases.recordedWorkers(); }

    void applyConfiguration(const ClusterConfig &config, const std::set<std::string> &evacuatedDomains);
    void updateWorker(const WorkerInfo &info);
    void removeWorker(const std::string &id);

    /// Processes a record about a job that was read from the topic.
    void jobChanged(const std::string &jobId, const TopicJob *entry, TimePoint now, WallTime wall);

    /// Confirms the ownership: a request sent at @p sentAt proved that there was no later claim.
    void confirmOwnership(TimePoint sentAt);

    /// Confirms that all records that existed at @p sentAt were read: cancellations as well as claims.
    void confirmRead(TimePoint sentAt);

    /// Confirms that all registrations of workers that existed at @p sentAt were read.
    void confirmWorkersRead(TimePoint sentAt);

    /// Returns how far reading the topic lags behind.
    Duration readLag(TimePoint now) const { return now - m_readAt; }

    /// Returns true if no task is started at present, whatever its worker.
    bool areStartsWithheld() const { return m_startsWithheldSince.has_value(); }

    /// Returns true if the term has to end soon, because the fencing token of a worker can't rise much further in it.
    bool areTokensExhausted() const { return m_tokensExhausted; }

    void startAnswered(const StartCommand &command, const CommandResult &result, TimePoint now);
    void stopAnswered(const StopCommand &command, const CommandResult &result, TimePoint now);
    void throttleAnswered(const ThrottleCommand &command, const CommandResult &result, TimePoint now);
    void pollAnswered(const PollCommand &command, const PollResult &result, TimePoint sentAt, TimePoint now);
    /// Returns the number of tickets that can be used.
    std::size_t adviceAnswered(const RequestAdvice &adviceRequest, const AdviceResult &result, TimePoint sentAt, TimePoint now);

    /// Processes the answer to ListLiveWorkers: @p workers are the ids of all processes that existed after @p sentAt.
    void liveWorkersListed(const std::set<std::string> &workers, TimePoint sentAt, TimePoint now);

    /// Called if the answer to ListLiveWorkers is an error.
    void liveWorkersUnknown() { m_listingWorkers = false; }

    /// Confirms that the records of the last AppendRecords action are durable.
    void recordsStored(TimePoint now);

    /// Advances the time and returns the actions that are due. @p isTurnComplete is false if commands or responses that waited for the owner's
    /// processor at an earlier tick still do, so that this tick doesn't show that the owner is in time.
    std::vector<DispatchAction> advance(TimePoint now, WallTime wall, TickScope scope = TickScope::All, bool isTurnComplete = true);

    /// Returns the actions that have become due since the last call of this function or of advance().
    std::vector<DispatchAction> takeActions() { return std::exchange(m_actions, {}); }

    /// Lets advance() call @p observer at the end of each stage.
    void setStageObserver(std::function<void(DispatchStage)> observer) { m_stageObserver = std::move(observer); }

    std::size_t openRuns() const;
    DispatchSummary summary(TimePoint now);

    /// Returns for each worker pool with capacity how much of it further serving tasks may reserve: all but the reserve for short
    /// tasks and what the accepted serving jobs need, whether their tasks run or not. Returns nothing until the registered workers
    /// are known.
    std::vector<ServingRoom> servingRoom();

    /// Returns the work of all placement passes so far.
    const PlacementWork &placementWork() const { return m_placementWork; }

    /// Returns the delays by stage since the last call.
    std::map<TaskKind, StageDelays> takeStageDelays() { return std::exchange(m_stageDelays, {}); }

private:
    using Intents = std::vector<std::pair<TaskId, int>>; // task and number of the run

    /// Newest run end of a worker that a batch makes durable.
    struct StoredEnd
    {
        int endedProcesses = 0; // of the worker, when it was reported: the sequence numbers restart with each process
        std::int64_t sequence = 0;
    };

    using StoredEnds = std::map<std::string, StoredEnd>; // by worker

    struct PendingBatch
    {
        Intents intents;
        StoredEnds ends;
        std::vector<std::string> endedJobs; // whose runs are obsolete then
    };

    RunProfile runProfile(const Wire::TaskStep &step, int run);
    WorkerState &stateOf(const std::string &worker);
    WorkerState *findWorker(const std::string &worker);
    WorkerAddress addressOf(const WorkerState &worker) const;

    /// Returns the fencing token for commands to @p worker. It increases with each term, with each restart of the worker process, so
    /// that a worker rejects delayed commands that were meant for an earlier incarnation, and with starts that follow acknowledgements.
    std::int64_t tokenFor(const WorkerState &worker) const;

    void raiseToken(WorkerState &worker);

    /// Returns true if the worker has rejected a command with @p fencingToken, and later ones of this owner have a higher token, so that
    /// one of them may have overtaken it.
    bool isOvertaken(const std::string &workerId, std::int64_t fencingToken, const CommandRejected &rejection);
    bool isOfThisTerm(std::int64_t fencingToken) const;

    void adoptOpenRuns(JobExecution &job);

    /// Records how long the job has waited to be read.
    void recordRead(const JobExecution &job, WallTime wall);
    void releaseDueOccurrences(JobExecution &job, WallTime wall);

    /// Reports registrations, drains, withdrawals and quarantines since the last call as log events.
    void reportWorkerChanges(TimePoint now);
    void reportWithheldStarts(TimePoint now);
    void reportStage(DispatchStage stage) const;
    void reportUnreachable(const WorkerState &worker, const std::string &reason, TimePoint now);
    void removeUnregisteredWorkers();
    void expireLeases(TimePoint now);

    /// Sends stops again that a worker that does not respond has not confirmed.
    void repeatUnconfirmedStops(TimePoint now);

    /// Ends the runs of serving tasks whose stop was confirmed, once the time that a stop takes has passed: the next report may be late or
    /// lost. Runs of other tasks may have completed before the stop; these wait for a report or the end of the lease.
    void endStoppedRuns(TimePoint now);
    void pollWorkers(TimePoint now, TickScope scope);

    /// Returns from when on @p worker may be polled although the owner is late: polls cost more than the news is worth, unless the run of an
    /// urgent task is expected to end.
    TimePoint earliestPoll(const WorkerState &worker, TimePoint now) const;

    /// Sends a regular poll, which renews the lease of @p worker.
    void sendPoll(WorkerState &worker, TimePoint now);

    /// Returns true if the response to the open poll of @p worker is overdue, or a report is worth while before it.
    bool isRepeatedPollDue(const WorkerState &worker, TimePoint now) const;

    /// Polls @p worker again although a poll is open. The lease that the open one grants is repeated, so that the runs on a worker that is
    /// lost end no later; no end is acknowledged.
    void repeatPoll(WorkerState &worker, TimePoint now);
    PollCommand makePoll(WorkerState &worker, TimePoint now);

    /// Lets the next poll to @p worker be sent at the next tick and without a wait, although another is open: an event makes a report
    /// worth while.
    static void requestReport(WorkerState &worker, TimePoint now);

    /// Stops waiting for the open regular poll of @p worker, so that the next one is sent when it is due.
    void abandonPoll(WorkerState &worker);

    /// Takes into account when the response to @p command arrived.
    void recordPollResponse(const PollCommand &command, TimePoint sentAt, TimePoint now);
    void handlePollFailure(WorkerState &worker, const std::string &reason, TimePoint now);
    void handlePollRejection(WorkerState &worker, const PollCommand &poll, const CommandRejected &rejection, TimePoint sentAt, TimePoint now);

    void moveRunsOffDrainingWorkers(TimePoint now);

    /// Returns true if the next poll may acknowledge the ends of @p worker that are durable. A poll names the worker and not its
    /// process, so it may reach the next process, which numbers its ends from 1 again. That process must have no end that the poll
    /// would acknowledge unseen.
    bool canAcknowledgeEnds(const WorkerState &worker, TimePoint now);

    /// Returns true if an open run of @p worker may have begun, or may yet begin, in a process that has not reported it.
    bool mayHaveUnlistedRun(const WorkerState &worker, TimePoint now);

    /// Returns after which time it is worth polling @p worker again if its ends can't be acknowledged yet.
    std::chrono::milliseconds acknowledgementDelay(const WorkerState &worker, TimePoint now);

    /// Takes into account that a start command of @p task without a response may still be executed.
    static void expectLateStart(TaskExecution &task, TimePoint now);

    /// Returns true if a start command of @p task without a response may still be executed.
    static bool mayStartLate(const TaskExecution &task, TimePoint now);

    /// Makes a process that executes the next start command to @p worker reject an acknowledgement that is in transit.
    void fenceAcknowledgement(WorkerState &worker);

    void handleReport(WorkerState &worker, const PollCommand &poll, const WorkerReport &report, TimePoint sentAt, TimePoint now);
    /// Ends or stops the runs of the previous process of @p worker, which has restarted.
    void handleWorkerRestart(WorkerState &worker, WorkerTime reading, TimePoint now);

    /// Does the same on the first @p report of the new process, and keeps the runs that it lists.
    void handleWorkerRestart(WorkerState &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now);

    /// Returns true if @p report comes from another process of @p worker than the last one.
    static bool isFromNextProcess(const WorkerState &worker, const WorkerReport &report);

    /// Takes into account that the process of @p worker, of which the owner has just learned, may have executed a poll that was sent
    /// to an earlier process. The end of its lease is a time on the clock of that process, so only the platform limits the lease.
    void awaitLeasesOfLatePolls(WorkerState &worker, TimePoint now) const;

    /// Ends the runs of which a report of the previous process of @p worker shows that no other has started them, and those
    /// confirmed until @p confirmedUntil. Stops the others, except those in @p kept.
    void endRunsOfPreviousProcess(WorkerState &worker, const std::set<std::pair<TaskId, int>> &kept, TimePoint confirmedUntil, TimePoint now);

    /// Requests the list of live workers if a worker with runs may have ended: it does not respond, and is no longer registered or
    /// refuses connections. Neither proves the end, because a partition of the network can cause both.
    void findDepartedWorkers(TimePoint now);

    /// Ends the runs of the process of @p worker, which had ended at some time after @p provedAt. Runs that a start command may
    /// begin in the next process are kept.
    void endRunsOfEndedProcess(const WorkerState &worker, TimePoint provedAt, TimePoint now);
    bool isServingTask(const TaskId &id);

    /// Returns the open runs of @p worker that have @p property.
    std::vector<TaskId> runsWith(const WorkerState &worker, const std::function<bool(const TaskId &, const TaskExecution &)> &property);
    void handleEndedRun(WorkerState &worker, const ReportedRunEnd &end, TimePoint now);

    /// Returns true if no run of @p task after @p endedRun may be running. The end of that run counts then, although it was considered
    /// lost: an expired lease proves that a run has ended, but not that it has not completed or failed before.
    static bool isWithoutLaterRun(const TaskExecution &task, int endedRun);

    /// Ends the run of @p task that @p worker has listed after it was considered lost, and withdraws the next one.
    void acceptLateEnd(WorkerState &worker, const ReportedRunEnd &end, TaskExecution &task, TimePoint now);

    /// Returns what is known about @p run, and marks it as listed. The members are null pointers as far as nothing is known.
    ListedRun listedRun(WorkerState &worker, const ReportedRun &run);
    void handleReportedRun(WorkerState &worker, const ListedRun &run, TimePoint now);
    void updateProgress(WorkerState &worker, const ListedRun &run, TimePoint now);
    static void updateExpectedEnd(const ListedRun &run, TimePoint now);

    /// Ends the runs of @p worker that the last report, @p report, does not list.
    void findMissingRuns(WorkerState &worker, const PollCommand &poll, const WorkerReport &report, TimePoint sentAt, TimePoint now);
    void stopOrphan(WorkerState &worker, const ReportedRun &run, TimePoint now);
    std::vector<NeighbourLoad> endedNeighbourLoads(WorkerState &worker, TimePoint now);
    void recordEndedBestEffortRun(const TaskId &id, const TaskExecution &task, TimePoint now);
    void updateTargetState(WorkerState &worker, const std::vector<ColocatedRun> &runs, TimePoint now);
    /// Sets a run whose start has just been confirmed to its initial speed.
    void setInitialSpeed(const TaskId &id, const TaskExecution &task, TimePoint now);

    /// Returns the lowest speed in percent for the run of the best-effort task @p id.
    int lowestSpeed(const TaskId &id);

    /// Returns true if the result of the job is worthless to its caller by now.
    bool isExpired(const JobExecution &job, int occurrence) const;
    bool migratePausedRun(const TaskId &id, TimePoint now);
    void adjustSpeeds(WorkerState &worker, const std::vector<ListedRun> &listed, TimePoint now);

    void sendStart(const TaskId &id, TaskExecution &task, TimePoint now);

    /// Returns the delays of tasks of the same kind as @p id. The job must exist.
    StageDelays &stageDelaysOf(const TaskId &id);

    /// Notes when the run of @p task was last known to exist.
    void recordRunLoss(TaskExecution &task, std::optional<RunEndEvidence> evidence, TimePoint now);
    void withdrawStart(const TaskId &id, TaskExecution &task, TimePoint now);

    /// Sends the start of @p task again, as the same run. If none may be sent, the run is kept until a report shows whether it exists: a
    /// response that is late or lost is no reason to stop a run.
    void handleUndeterminedStart(const TaskId &id, TaskExecution &task, TimePoint now);

    /// Returns true if the start of @p task may be sent again.
    static bool canRepeatStart(const TaskExecution &task);

    /// Sends the start of @p task again, of which a later report does not list the run. After the last attempt it waits for a report that
    /// proves that the run can't begin, or stops the run if there is no such report.
    void handleUnlistedStart(const TaskId &id, TaskExecution &task, bool listsAllRuns, TimePoint now);

    /// Returns true if all start commands of @p task were sent to the process of @p worker that is the current one as far as known.
    static bool isStartProcessCurrent(const WorkerState &worker, const TaskExecution &task);

    /// Asks for a report after a stop without a response, which may or may not be executed.
    void handleUndeterminedStop(WorkerState &worker, const TaskExecution &task, TimePoint now);

    /// Makes the process of @p worker reject all start commands of @p task so far, once it has received the next command. Start commands
    /// of other tasks that are in transit are rejected as well, and sent again; so the token rises only if it has not risen since.
    void fenceStarts(WorkerState &worker, const TaskExecution &task, TimePoint now);

    /// Returns true if the process that sent @p report in response to @p poll executes no start command of @p task any more: all were sent to
    /// it, and it rejects their tokens. It says nothing about the next process of the worker.
    static bool areStartsFenced(const TaskExecution &task, const PollCommand &poll, const WorkerReport &report);

    /// Counts what the log line about the end of the job says.
    void recordStartResult(const StartCommand &command, const CommandResult &result);
    static void recordRunEnd(JobHistory &history, const TaskId &id, const TaskExecution &task, RunEndReason endReason, TimePoint now);

    void updateCommandWindow(const StartCommand &command, const CommandResult &result, TimePoint now);

    /// Marks the job of @p id as running, because a worker has confirmed a run of it.
    void markStarted(const TaskId &id);
    void detectClockRegression(const std::string &workerId, WorkerTime reading, TimePoint now);
    void handleFencing(const std::string &workerId, std::int64_t fencingToken, const CommandRejected &rejection);
    void handleStartRejection(const TaskId &id, TaskExecution &task, const CommandRejected &rejection, TimePoint now);
    void beginStop(const TaskId &id, TaskExecution &task, StopReason reason, TimePoint now);
    void sendStop(const TaskId &id, const TaskExecution &task);
    void abandonRun(const TaskId &id, TaskExecution &task, TimePoint now);
    void requeue(const TaskId &id, TaskExecution &task, TimePoint now);
    void endRun(const TaskId &id, TaskExecution &task, RunEndReason endReason, const std::string &checkpoint, TimePoint now, RunEndEvidence evidence);
    void markDone(const TaskId &id, TaskExecution &task);
    void finishOccurrences(JobExecution &job);
    void recordFailedRun(const TaskId &id, TaskExecution &task, TimePoint now);

    /// Returns true if a run of @p task must not be started, because earlier ones have failed too often.
    static bool isOutOfAttempts(const TaskExecution &task, const Wire::TaskStep &step, const QueueInfo &queue);

    void failJob(JobExecution &job, TimePoint now);
    void reportEnd(const JobExecution &job);
    void endJob(JobExecution &job, TimePoint now);
    bool canStart(TimePoint now) const;
    bool canStartOn(const WorkerState &worker, TimePoint now) const;

    /// Adds which tasks wait, and why.
    void addWaitingTasks(DispatchSummary &summary, TimePoint now);

    /// Counts in @p waiting the workers that can take a task of @p stepId, and the others by why they can't.
    void addObstacles(WaitingTasks &waiting, const WorkerRanking &ranking, const TaskId &stepId, const StepExecution &execution, TimePoint now);

    /// Reports steps that wait too long although room for them is free.
    void watchWaitingSteps(TimePoint now);

    /// Shows the steps of @p job that wait to the watchdog.
    void observeWaitingSteps(const JobExecution &job, FreeRoom &room, TimePoint now);

    /// Reports some of the overdue steps.
    void examineOverdueSteps(const WorkerRanking &ranking, FreeRoom &room, TimePoint now);
    /// Returns the pool that runs the tasks of @p job, or an empty string if its queue is not known.
    std::string workerPoolOf(const JobExecution &job) const;
    OverdueStep overdueStep(const TaskId &stepId, const WorkerRanking &ranking, FreeRoom &room, TimePoint now);

    /// Determines for each worker pool how long best-effort steps may wait.
    void updateMaximumWaits();

    /// Returns how long a best-effort step may wait in @p workerPool.
    std::chrono::milliseconds maximumWait(const std::string &workerPool) const;

    void placePendingTasks(TimePoint now, WallTime wall, TickScope scope);
    void recordShortTaskDemand(TimePoint now);

    /// Assigns runs of the tasks of @p pending, which is in the scheduling order, while the command window has room. Once tasks wait for the
    /// window, each urgent step gets a run before any of them gets its second, and so does each of the steps that come last.
    void placeSteps(const std::vector<Internal::PendingStep> &pending, WorkerRanking &ranking, TickScope scope, TimePoint now);

    /// Returns the number of runs that are assigned or whose start command has no response yet.
    std::size_t startsInFlight() const;

    /// Returns true if no further run of an overdue step, or of another one, may be assigned.
    bool isWindowFull(bool isOverdue) const;
    void addTasksThatWaitForWindow(const StepExecution &step);

    /// Assigns runs of at most @p maximumTasks tasks, or of the whole gang.
    void placeStep(JobExecution &job,
                   const TaskId &stepId,
                   const SchedulingKey &key,
                   WorkerRanking &ranking,
                   const QueueInfo &queue,
                   std::size_t maximumTasks,
                   TimePoint now);

    /// Returns true if a task of the step may be started on a quarantined worker: the job has not failed lately, and no other task of the
    /// step is a probe.
    bool mayProbe(const JobExecution &job, const TaskId &stepId, const WorkerRanking &ranking, const PlacementRequest &request);

    void placeGang(JobExecution &job, int occurrence, int step, WorkerRanking &ranking, PlacementRequest &request, TimePoint now);

    /// Assigns runs of the pending tasks of @p step, of which each worker has as many as @p perWorker says; of at most @p maximumTasks tasks, and
    /// while the command window has room.
    void placeTasks(JobExecution &job,
                    const TaskId &step,
                    WorkerRanking &ranking,
                    PlacementRequest &request,
                    std::map<std::string, int> &perWorker,
                    std::size_t maximumTasks,
                    TimePoint now);

    /// Reserves room for the tasks of @p request that wait, where that may help them.
    void reserveRoom(const StepExecution &execution, const WorkerRanking &ranking, const PlacementRequest &request);

    /// Remembers @p request, for which no worker is suitable, unless that is due to its rack, its tickets, its limit per worker or to room
    /// that is reserved.
    void recordUnschedulable(const WorkerRanking &ranking, const PlacementRequest &request, TimePoint now);

    /// Asks the advice service about workers that could run the pending tasks of @p step, unless enough is known or a response is expected.
    void requestAdvice(const TaskId &step, const WorkerRanking &ranking, const PlacementRequest &request, const AdviceParameters &service, TimePoint now);
    void assignRun(JobExecution &job, const TaskId &id, TaskExecution &task, WorkerState &worker, int run, TimePoint now);

    /// Stores what has changed if no other batch is under way: what is urgent soon, the rest in longer intervals and in ticks of all work.
    void composeBatch(TimePoint now, WallTime wall, TickScope scope);

    /// Adds the changes of jobs with urgent steps that must not be delayed.
    void addUrgentChanges(AppendRecords &append);

    /// Adds all changes, as far as they fit into a batch, and what is to be stored at the end of a pass.
    void addAllChanges(AppendRecords &append, TimePoint now, WallTime wall);

    /// Adds jobs with urgent changes, and then those of the open pass, as far as they fit into a batch. Returns the size in bytes.
    std::size_t addChangedJobs(AppendRecords &append);

    /// Adds what has changed of @p job to @p append, and returns the size in bytes.
    std::size_t addChangedJob(JobExecution &job, AppendRecords &append);

    /// Adds what has changed of @p job to @p append.
    void addChanges(JobExecution &job, AppendRecords &append);

    /// Removes the runs of jobs whose end is durable. Before that, the next owner would find the job without its runs and its end.
    void removeObsoleteRuns(AppendRecords &append);

    /// Begins to store all changes, in as many batches as they need. A run end counts as durable only when everything that it
    /// changed is durable, so the ends that were processed by now are durable with the last of these batches.
    void beginPass(TimePoint now);
    void finishPass(AppendRecords &append, TimePoint now, WallTime wall);

    /// Adds which workers are silent, if the next owner has to know that.
    void addSilentWorkers(AppendRecords &append, TimePoint now);

    /// Updates for each worker whether it may get a lease.
    void updateWithheldLeases();

    /// Moves the intents whose jobs are in the batch from the new ones to the batch.
    void takeStoredIntents();
    void storeLearnedTails(std::vector<KeyedRecord> &runs, TimePoint now);
    void removeExpiredJobs(std::vector<KeyedRecord> &records, WallTime wall);

    DispatchLimits m_limits;
    std::function<void(DispatchStage)> m_stageObserver;
    LeasePolicy m_leasePolicy;
    ResponseTimeoutPolicy m_responseTimeouts;
    ResponseTimeEstimator m_responseTimes;
    RepeatedPollBudget m_repeatedPolls;
    OwnerLateness m_lateness;
    std::uint64_t m_lastPoll = 0; // number of the last poll
    CommandWindow m_commandWindow;
    std::int64_t m_term = 0;
    TimePoint m_confirmedAt{}; // ownership was confirmed as of then
    TimePoint m_readAt{}; // all records up to then were read
    TimePoint m_termBeganAt{};
    std::optional<TimePoint> m_workersReadAt; // all registrations up to then were read; none: not in this term
    std::optional<TimePoint> m_startsWithheldSince;
    EarlierLeases m_earlierLeases;
    std::int64_t m_wallMs = 0; // Unix time of the last advance()
    std::optional<std::int64_t> m_termWallMs; // Unix time of the first advance() of the term
    JobRegistry m_jobs;
    std::map<std::string, WorkerState> m_workers;
    std::unordered_map<std::string_view, WorkerState *> m_workersById; // each command, response and end asks for a worker
    bool m_tokensExhausted = false;
    TokenRises m_removedWorkersRises; // of workers that were removed in this term
    QueueDirectory m_queues;
    std::set<std::string> m_evacuated;
    TicketCache m_tickets;
    UnschedulableRequests m_unschedulable;
    WaitingWatchdog m_watchdog;
    PlacementWork m_placementWork;
    std::map<TaskKind, StageDelays> m_stageDelays; // since the last report
    std::size_t m_nextExaminedWorker = 0; // see WorkerRanking::setNextExamined()
    ColocationPolicy m_colocation;
    std::map<std::string, std::chrono::milliseconds> m_maximumWaits; // of best-effort steps, by worker pool
    ShortTaskReserve m_shortTaskReserve;
    RoomReservations m_reservations;
    std::vector<DispatchAction> m_actions;
    Intents m_newIntents; // not yet in a batch
    PendingBatch m_batch; // being appended
    std::vector<std::string> m_obsoleteRuns; // jobs whose record in the runs topic is to be removed
    bool m_batchPending = false;
    TimePoint m_batchAt{}; // when the last batch began
    TimePoint m_fullBatchAt{}; // when the last one with all changes began
    bool m_isFullBatchDue = false; // it waits for the batch under way
    bool m_isPassOpen = false; // all changes are being stored
    TimePoint m_passBeganAt{}; // when the last pass began
    StoredEnds m_passEnds; // that are durable after the open pass
    bool m_listingWorkers = false; // a list of live workers was requested
    TimePoint m_workersListedAt{}; // when it was last requested
    TimePoint m_tailsStoredAt{}; // when the learned tail latencies were last stored
};

} // namespace Hyssop
