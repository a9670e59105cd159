#include "dispatcher.h"

#include "jobprogress.h"
#include "workerchoice.h"

#include <jobtopic/jobtable.h>
#include <ports/taskid.h>

#include <algorithm>
#include <utility>

namespace Hyssop {

namespace Internal {

constexpr int TokensInTerm = 1000;

template<typename Function>
static void forEachTask(JobRun &job, Function function)
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
    , m_leases(limits.longestLease)
{
}

void Dispatcher::begin(std::int64_t term, const JobTable &table, TimePoint claimedAt, bool handedOver)
{
    m_term = term;
    m_confirmedAt = claimedAt;
    m_readAt = claimedAt;
    m_earlierLeasesEnd = m_leases.earlierLeasesEnd(claimedAt, handedOver);
    m_jobs.clear();
    m_workers.clear();
    m_tickets = TicketBook();
    m_sharing.restore(table.learnedTails());
    m_tailsAt = claimedAt;
    m_actions.clear();
    m_newIntents.clear();
    m_batch = OpenBatch();
    m_batchOpen = false;
    for (const auto &[jobId, entry] : table.jobs()) {
        if (entry.job) {
            adoptOpenRuns(m_jobs.add(jobId, entry));
        }
    }
}

void Dispatcher::adoptOpenRuns(JobRun &job)
{
    Internal::forEachTask(job, [&](const TaskId &id, TaskRun &task) {
        if (!task.isOpen()) {
            return;
        }
        viewOf(task.worker).addRun(id, describeUse(job.step(id.step), task.run));
        if (job.isEnded()) {
            task.phase = TaskPhase::Stopping;
        }
    });
}

void Dispatcher::applyConfiguration(const ClusterConfig &config, const std::set<std::string> &evacuatedDomains)
{
    m_config = config;
    m_evacuated = evacuatedDomains;
}

void Dispatcher::updateWorker(const WorkerInfo &info)
{
    WorkerView &worker = viewOf(info.id);
    worker.info = info;
    worker.listed = true;
}

void Dispatcher::removeWorker(const std::string &id)
{
    if (WorkerView *worker = findWorker(id)) {
        worker->listed = false;
    }
}

void Dispatcher::jobChanged(const std::string &jobId, const JobEntry *entry, TimePoint now, WallTime wall)
{
    m_wallMs = sinceEpoch(wall).count();
    if (entry == nullptr) {
        return;
    }
    JobRun *known = m_jobs.find(jobId);
    if (known == nullptr) {
        m_jobs.add(jobId, *entry);
        return;
    }
    if (entry->cancelled && !known->isEnded()) {
        known->cancelled = true;
        endJob(*known, now);
    }
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

std::vector<DispatchAction> Dispatcher::advance(TimePoint now, WallTime wall)
{
    m_wallMs = sinceEpoch(wall).count();
    expireLeases(now);
    dropIdleViews();
    moveRunsOffLeavingWorkers(now);
    placeWaiting(now, wall);
    composeBatch(now, wall);
    pollWorkers(now);
    return std::exchange(m_actions, {});
}

std::size_t Dispatcher::openRuns() const
{
    std::size_t count = 0;
    for (const auto &[id, worker] : m_workers) {
        count += worker.runs.size();
    }
    return count;
}

DispatchSummary Dispatcher::summary(TimePoint now)
{
    DispatchSummary summary;
    summary.openRuns = openRuns();
    for (const auto &[id, worker] : m_workers) {
        if (!mayStartOn(worker, now)) {
            continue;
        }
        ++summary.workers;
        summary.milliCores += worker.info.capacity.milliCores;
        summary.freeMilliCores += worker.freeCapacity().milliCores;
        summary.idleMilliCores += worker.expectedIdle(m_sharing.outlook(worker, now));
    }
    for (JobRun *job : m_jobs.activeJobs()) {
        Internal::forEachTask(*job, [&](const TaskId &id, const TaskRun &task) {
            const Wire::TaskStep &step = job->step(id.step);
            std::size_t &count = step.longRunning ? summary.waitingServing : step.fillsIdle ? summary.waitingFilling : summary.waitingCounted;
            count += task.phase == TaskPhase::Waiting ? 1 : 0;
        });
    }
    return summary;
}

RunUse Dispatcher::describeUse(const Wire::TaskStep &step, int run)
{
    RunUse use = useOf(step, run);
    m_sharing.describe(step.image, step.tailTargetMs, step.fillsIdle, use);
    return use;
}

WorkerView &Dispatcher::viewOf(const std::string &worker)
{
    const auto [entry, isNew] = m_workers.try_emplace(worker);
    if (isNew) {
        entry->second.info.id = worker;
        entry->second.leaseEnd = m_earlierLeasesEnd;
    }
    return entry->second;
}

WorkerView *Dispatcher::findWorker(const std::string &worker)
{
    const auto entry = m_workers.find(worker);
    return entry != m_workers.end() ? &entry->second : nullptr;
}

WorkerAddress Dispatcher::addressOf(const WorkerView &worker) const
{
    return {worker.info.id, worker.info.address};
}

std::int64_t Dispatcher::tokenFor(const WorkerView &worker) const
{
    return m_term * Internal::TokensInTerm + std::min(worker.suspectedLives, Internal::TokensInTerm - 1);
}

bool Dispatcher::isOfThisTerm(std::int64_t fencingToken) const
{
    return fencingToken / Internal::TokensInTerm == m_term;
}

void Dispatcher::startDueOccurrences(JobRun &job, WallTime wall)
{
    const std::int64_t wallMs = sinceEpoch(wall).count();
    for (int occurrence = job.finishedOccurrences; occurrence < job.occurrenceCount(); ++occurrence) {
        const bool isDue = job.job.repeatCount == 0 || wallMs >= job.job.startAtMs + occurrence * job.job.intervalMs;
        if (!isDue) {
            return;
        }
        if (!job.occurrences.contains(occurrence)) {
            addOccurrence(job, occurrence);
        }
    }
}

void Dispatcher::reportEnd(const JobRun &job)
{
    const char *phase = job.completed ? "completed" : job.failed ? "failed" : "cancelled";
    m_actions.emplace_back(JobEnded{job.id, phase, std::chrono::milliseconds(job.endedAtMs - job.job.acceptedAtMs)});
}

void Dispatcher::endJob(JobRun &job, TimePoint now)
{
    job.endedAtMs = m_wallMs;
    m_jobs.markUrgent(job);
    m_tickets.forgetJob(job.id);
    m_sharing.forgetJob(job.id);
    reportEnd(job);
    Internal::forEachTask(job, [&](const TaskId &id, TaskRun &task) {
        if (task.phase == TaskPhase::Intended) {
            requeue(id, task, now);
        } else if (task.isOpen()) {
            beginStop(id, task, now);
        }
    });
}

} // namespace Hyssop
