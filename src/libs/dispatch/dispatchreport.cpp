#include "dispatcher.h"

#include "workerranking.h"

#include <algorithm>
#include <array>

namespace Hyssop {

namespace Internal {

// Upper bounds of the sizes by which waiting tasks and free capacity are reported, in thousandths of a core.
constexpr std::array<std::int64_t, 4> SizeBounds{4'000, 8'000, 16'000, 32'000};

using GroupKey = std::pair<TaskKind, std::int64_t>; // kind, bound of the size

struct WaitingGroup
{
    WaitingTasks report;
    const Wire::TaskStep *step = nullptr; // of the job that was released first
    const StepExecution *execution = nullptr;
    TaskId stepId;
    WallTime releasedAt = WallTime::max();
};

static TaskKind kindOf(const Wire::TaskStep &step)
{
    if (step.fillsIdle) {
        return TaskKind::BestEffort;
    }
    return step.longRunning ? TaskKind::Serving : TaskKind::Reserved;
}

static std::int64_t sizeBound(std::int64_t milliCores)
{
    const auto *bound = std::ranges::lower_bound(SizeBounds, milliCores);
    return bound != SizeBounds.end() ? *bound : 0;
}

static void addStep(std::map<GroupKey, WaitingGroup> &groups, const JobExecution &job, const TaskId &stepId, const StepExecution &execution, TimePoint now)
{
    const auto waits = [now](const TaskExecution &task) { return task.phase == TaskPhase::Pending && task.notBefore <= now; };
    const auto count = std::ranges::count_if(execution.tasks, waits);
    if (count == 0) {
        return;
    }
    const Wire::TaskStep &step = job.step(stepId.step);
    const GroupKey key(kindOf(step), sizeBound(step.milliCores));
    WaitingGroup &group = groups[key];
    group.report.kind = key.first;
    group.report.maximumMilliCores = key.second;
    group.report.tasks += static_cast<std::size_t>(count);
    ++group.report.steps;
    const WallTime releasedAt = job.releaseTime(stepId.occurrence);
    if (releasedAt < group.releasedAt) {
        group.releasedAt = releasedAt;
        group.step = &step;
        group.execution = &execution;
        group.stepId = stepId;
    }
}

} // namespace Internal

DispatchSummary Dispatcher::summary(TimePoint now)
{
    DispatchSummary summary;
    summary.openRuns = openRuns();
    for (const auto &[id, worker] : m_workers) {
        summary.registeredWorkers += worker.registered ? 1 : 0;
        summary.drainingWorkers += worker.registered && worker.info.draining ? 1 : 0;
        summary.unreachableWorkers += worker.isUnreachable() ? 1 : 0;
        summary.unreachableRuns += worker.isUnreachable() || !worker.registered ? worker.runs.size() : 0;
        if (!canStartOn(worker, now)) {
            continue;
        }
        ++summary.workers;
        summary.milliCores += worker.info.capacity.milliCores;
        summary.servingMilliCores += worker.servingCommitted;
        summary.countedMilliCores += worker.committed.milliCores - worker.servingCommitted;
        summary.freeMilliCores += worker.freeCapacity().milliCores;
        summary.idleMilliCores += worker.expectedIdleMilliCores(m_colocation.forecast(worker, now));
        for (const std::int64_t bound : Internal::SizeBounds) {
            summary.workersByFreeMilliCores[bound] += worker.freeCapacity().milliCores >= bound ? 1 : 0;
        }
    }
    addWaitingTasks(summary, now);
    return summary;
}

void Dispatcher::addWaitingTasks(DispatchSummary &summary, TimePoint now)
{
    std::map<Internal::GroupKey, Internal::WaitingGroup> groups;
    for (const JobExecution *job : m_jobs.activeJobs()) {
        for (const auto &[occurrence, steps] : job->occurrences) {
            for (std::size_t index = 0; index < steps.size(); ++index) {
                const TaskId stepId{job->id, occurrence, static_cast<int>(index), 0};
                if (isReady(steps, job->step(stepId.step))) {
                    Internal::addStep(groups, *job, stepId, steps[index], now);
                }
            }
        }
    }
    std::vector<WorkerState *> workers;
    for (auto &[id, worker] : m_workers) {
        workers.push_back(&worker);
    }
    const WorkerRanking ranking(std::move(workers), m_evacuated, m_colocation, now);
    for (auto &[key, group] : groups) {
        WaitingTasks &report = group.report;
        report.sinceRelease = std::chrono::milliseconds(m_wallMs - sinceEpoch(group.releasedAt).count());
        report.jobId = group.stepId.job;
        report.milliCores = group.step->milliCores;
        report.memoryBytes = group.step->memoryMb * BytesPerMegabyte;
        addObstacles(report, ranking, group.stepId, *group.execution, now);
        std::size_t &total = key.first == TaskKind::Serving ? summary.pendingServing
            : key.first == TaskKind::BestEffort             ? summary.pendingBestEffort
                                                            : summary.pendingReserved;
        total += report.tasks;
        summary.waiting.push_back(std::move(report));
    }
}

void Dispatcher::addObstacles(WaitingTasks &waiting, const WorkerRanking &ranking, const TaskId &stepId, const StepExecution &execution, TimePoint now)
{
    const JobExecution *job = m_jobs.find(stepId.job);
    const auto queue = m_config.queues.find(job->submission.queue);
    if (queue == m_config.queues.end()) {
        return;
    }
    const std::map<std::string, int> perWorker = openTasksByWorker(execution);
    const RunProfile profile = runProfile(job->step(stepId.step), 0);
    PlacementRequest request;
    request.step = &job->step(stepId.step);
    request.workerPool = queue->second.workerPool;
    request.profile = &profile;
    request.stepTasksByWorker = &perWorker;
    request.isOverdue = request.step->fillsIdle && IdleCapacityPolicy::isOverdue(execution, now);
    request.tickets = queue->second.advice ? m_tickets.tickets(stepId, now) : nullptr;
    for (auto &[id, worker] : m_workers) {
        const auto obstacle = ranking.isAvailable(worker) ? ranking.obstacle(worker, request) : PlacementObstacle::Unavailable;
        if (obstacle) {
            ++waiting.workers[*obstacle];
        } else {
            ++waiting.suitableWorkers;
        }
    }
}

} // namespace Hyssop
