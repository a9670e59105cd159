#include "dispatcher.h"

#include "claimtimes.h"
#include "jobprogress.h"
#include "workerranking.h"

#include <jobtopic/jobtable.h>
#include <ports/taskid.h>

#include <algorithm>
#include <utility>

namespace Hyssop {

namespace Internal {

// The token of a worker can rise a few times a second. The tokens of the highest term that is decoded do not overflow.
constexpr std::int64_t TokensPerTerm = 1'000'000;

template<typename Function>
static void forEachTask(JobExecution &job, Function function)
{
    for (auto &[occurrence, steps] : job.occurrences) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
                function(TaskId{job.id, occurrence, static_cast<int>(step), static_cast<int>(index)}, steps[step].tasks[index]);
            }
        }
    }
}

} // namespace Internal

Dispatcher::Dispatcher(const DispatchLimits &limits)
    : m_limits(limits)
    , m_leasePolicy(limits.maximumLease)
    , m_responseTimeouts(m_leasePolicy.leaseDuration())
{
}

void Dispatcher::beginTerm(std::int64_t term, const JobTable &table, const ClaimTimes &claim, bool afterHandover)
{
    m_term = term;
    m_confirmedAt = claim.readSentAt;
    m_readAt = claim.readSentAt;
    m_workersReadAt.reset();
    m_startsWithheldSince.reset();
    m_termBeganAt = claim.readAt;
    m_termWallMs.reset();
    m_earlierLeases = EarlierLeases(term, m_leasePolicy.earlierLeasesEnd(claim.readAt, afterHandover));
    if (claim.silentWorkersReadAt && table.silentWorkers()) {
        m_earlierLeases.restore(*table.silentWorkers(), *claim.silentWorkersReadAt);
    }
    m_responseTimeouts = ResponseTimeoutPolicy(m_leasePolicy.leaseDuration());
    m_responseTimes = ResponseTimeEstimator();
    m_repeatedPolls = RepeatedPollBudget();
    m_lateness = OwnerLateness();
    m_commandWindow = CommandWindow();
    m_jobs.clear();
    m_workersById.clear();
    m_workers.clear();
    m_removedWorkersRises = TokenRises();
    m_tokensExhausted = false;
    m_tickets.clear();
    m_unschedulable.clear();
    m_watchdog = WaitingWatchdog();
    m_colocation.restore(table.learnedTails());
    m_tailsStoredAt = claim.readAt;
    m_stageDelays.clear();
    m_actions.clear();
    m_newIntents.clear();
    m_batch = PendingBatch();
    m_obsoleteRuns = table.jobsWithObsoleteRuns();
    m_batchPending = false;
    m_isFullBatchDue = false;
    m_isPassOpen = false;
    m_passEnds.clear();
    m_listingWorkers = false;
    for (const auto &[jobId, entry] : table.jobs()) {
        if (!entry.submission) {
            continue;
        }
        JobExecution &job = m_jobs.add(jobId, entry);
        adoptOpenRuns(job);
        if (job.isEnded() && job.storedPhase != phaseOf(progressOf(job))) {
            m_jobs.markUrgent(job); // the earlier owner has not stored the end in the job topic
        }
    }
}

void Dispatcher::adoptOpenRuns(JobExecution &job)
{
    Internal::forEachTask(job, [&](const TaskId &id, TaskExecution &task) {
        if (!task.isOpen()) {
            return;
        }
        m_earlierLeases.addWorker(task.worker);
        stateOf(task.worker).addRun(id, runProfile(job.step(id.step), task.run), m_termBeganAt);
        if (job.step(id.step).fillsIdle) {
            task.setSpeedUnknown(m_termBeganAt);
        }
        if (job.isEnded()) {
            task.phase = TaskPhase::Stopping;
        }
    });
}

void Dispatcher::applyConfiguration(const ClusterConfig &config, const std::set<std::string> &evacuatedDomains)
{
    m_queues.update(config);
    m_evacuated = evacuatedDomains;
}

void Dispatcher::updateWorker(const WorkerInfo &info)
{
    WorkerState &worker = stateOf(info.id);
    if (worker.info != info) {
        worker.info = info;
        ++worker.roomVersion;
    }
    worker.registered = true;
}

void Dispatcher::removeWorker(const std::string &id)
{
    if (WorkerState *worker = findWorker(id)) {
        worker->registered = false;
    }
}

void Dispatcher::jobChanged(const std::string &jobId, const TopicJob *entry, TimePoint now, WallTime wall)
{
    m_wallMs = sinceEpoch(wall).count();
    if (entry == nullptr) {
        return;
    }
    JobExecution *known = m_jobs.find(jobId);
    if (known == nullptr) {
        recordRead(m_jobs.add(jobId, *entry), wall);
        return;
    }
    if (entry->cancelled && !known->isEnded()) {
        known->cancelled = true;
        endJob(*known, now);
    }
}

void Dispatcher::recordRead(const JobExecution &job, WallTime wall)
{
    // The record that replaces the submission of an ended job has no steps.
    if (!job.submission.steps.empty() && !job.isEnded()) {
        m_stageDelays[kindOf(job.submission.steps.front())].reads.add(wall - job.acceptedAt);
    }
}

StageDelays &Dispatcher::stageDelaysOf(const TaskId &id)
{
    return m_stageDelays[kindOf(m_jobs.find(id.job)->step(id.step))];
}

void Dispatcher::confirmOwnership(TimePoint sentAt)
{
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

void Dispatcher::confirmRead(TimePoint sentAt)
{
    m_readAt = std::max(m_readAt, sentAt);
    confirmOwnership(sentAt);
}

void Dispatcher::confirmWorkersRead(TimePoint sentAt)
{
    m_workersReadAt = std::max(m_workersReadAt.value_or(sentAt), sentAt);
}

std::vector<DispatchAction> Dispatcher::advance(TimePoint now, WallTime wall, TickScope scope, bool isTurnComplete)
{
    m_wallMs = sinceEpoch(wall).count();
    m_termWallMs = m_termWallMs.value_or(m_wallMs);
    if (isTurnComplete) {
        m_lateness.handleTick(now);
        m_commandWindow.setOwnerLateness(m_lateness.commandDelay());
    }
    m_tickets.handleTick(now);
    if (scope == TickScope::Urgent) {
        placePendingTasks(now, wall, scope);
        composeBatch(now, wall, scope);
        pollWorkers(now, scope);
        return takeActions();
    }
    reportWorkerChanges(now);
    reportWithheldStarts(now);
    expireLeases(now);
    repeatUnconfirmedStops(now);
    endStoppedRuns(now);
    findDepartedWorkers(now);
    removeUnregisteredWorkers();
    moveRunsOffDrainingWorkers(now);
    reportStage(DispatchStage::Workers);
    placePendingTasks(now, wall, scope);
    reportStage(DispatchStage::Placement);
    watchWaitingSteps(now);
    reportStage(DispatchStage::Watchdog);
    composeBatch(now, wall, scope);
    reportStage(DispatchStage::Batch);
    pollWorkers(now, scope);
    reportStage(DispatchStage::Polls);
    return takeActions();
}

void Dispatcher::reportStage(DispatchStage stage) const
{
    if (m_stageObserver) {
        m_stageObserver(stage);
    }
}

std::size_t Dispatcher::openRuns() const
{
    std::size_t count = 0;
    for (const auto &[id, worker] : m_workers) {
        count += worker.runs.size();
    }
    return count;
}

RunProfile Dispatcher::runProfile(const Wire::TaskStep &step, int run)
{
    RunProfile profile = profileOf(step, run);
    m_colocation.setColocationTraits(step.image, step.tailTargetMs, step.fillsIdle, profile);
    return profile;
}

WorkerState &Dispatcher::stateOf(const std::string &worker)
{
    if (WorkerState *known = findWorker(worker)) {
        return *known;
    }
    const auto entry = m_workers.try_emplace(worker).first;
    WorkerState &state = entry->second;
    m_workersById.emplace(entry->first, &state);
    state.info.id = worker;
    state.leaseEnd = m_earlierLeases.endOn(worker);
    state.isLeaseWithheld = !m_earlierLeases.canGrant(worker);
    // A worker that was removed in this term rejects tokens below those that it has seen.
    state.tokenRises = m_removedWorkersRises.countOf(worker);
    return state;
}

WorkerState *Dispatcher::findWorker(const std::string &worker)
{
    const auto entry = m_workersById.find(worker);
    return entry != m_workersById.end() ? entry->second : nullptr;
}

WorkerAddress Dispatcher::addressOf(const WorkerState &worker) const
{
    return {worker.info.id, worker.info.address};
}

std::int64_t Dispatcher::tokenFor(const WorkerState &worker) const
{
    return m_term * Internal::TokensPerTerm + std::min(worker.tokenRises, Internal::TokensPerTerm - 1);
}

void Dispatcher::raiseToken(WorkerState &worker)
{
    ++worker.tokenRises;
    m_tokensExhausted = m_tokensExhausted || worker.tokenRises >= Internal::TokensPerTerm / 2;
}

bool Dispatcher::isOvertaken(const std::string &workerId, std::int64_t fencingToken, const CommandRejected &rejection)
{
    const WorkerState *worker = findWorker(workerId);
    return rejection.reason == RejectionReason::Fenced && worker != nullptr && fencingToken < tokenFor(*worker);
}

bool Dispatcher::isOfThisTerm(std::int64_t fencingToken) const
{
    return fencingToken / Internal::TokensPerTerm == m_term;
}

void Dispatcher::releaseDueOccurrences(JobExecution &job, WallTime wall)
{
    const std::int64_t wallMs = sinceEpoch(wall).count();
    for (int occurrence = job.finishedOccurrences; occurrence < job.occurrenceCount(); ++occurrence) {
        const bool isDue = job.submission.repeatCount == 0 || wallMs >= job.submission.startAtMs + occurrence * job.submission.intervalMs;
        if (!isDue) {
            return;
        }
        if (job.occurrences.contains(occurrence)) {
            continue;
        }
        if (!canAddOccurrence(job)) {
            return;
        }
        addOccurrence(job, occurrence);
        m_jobs.markReleased(job);
    }
}

void Dispatcher::reportEnd(const JobExecution &job)
{
    const char *phase = job.completed ? "completed" : job.failed ? "failed" : "cancelled";
    const std::chrono::milliseconds sinceAccepted(job.endedAtMs - job.submission.acceptedAtMs);
    const std::chrono::milliseconds countedFrom(std::max<std::int64_t>(m_termWallMs.value_or(m_wallMs) - job.submission.acceptedAtMs, 0));
    m_actions.emplace_back(JobEnded{job.id, phase, sinceAccepted, job.hasStarted, countedFrom, job.history, job.submission.queue});
}

void Dispatcher::endJob(JobExecution &job, TimePoint now)
{
    job.endedAtMs = m_wallMs;
    m_jobs.markUrgent(job);
    m_tickets.forgetJob(job.id);
    m_colocation.forgetJob(job.id);
    reportEnd(job);
    Internal::forEachTask(job, [&](const TaskId &id, TaskExecution &task) {
        if (task.phase == TaskPhase::Assigned) {
            requeue(id, task, now);
        } else if (task.isOpen()) {
            beginStop(id, task, StopReason::JobEnded, now);
        }
    });
}

} // namespace Hyssop
