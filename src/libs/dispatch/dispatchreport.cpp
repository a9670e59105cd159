#include "dispatcher.h"

#include "freeroom.h"
#include "workerranking.h"

#include <algorithm>
#include <array>

namespace Hyssop {

namespace Internal {

// Upper bounds of the sizes by which waiting tasks and free capacity are reported, in thousandths of a core.
constexpr std::array<std::int64_t, 4> SizeBounds{4'000, 8'000, 16'000, 32'000};

// The platform's rule on waiting jobs asks for capacity twice over.
constexpr std::size_t RoomFactor = 2;

// The number of places in a report is not counted further.
constexpr std::size_t MaximumPlaces = 10'000;

using GroupKey = std::pair<TaskKind, std::int64_t>; // kind, bound of the size

struct WaitingGroup
{
    WaitingTasks report;
    const Wire::TaskStep *step = nullptr; // of the job that was released first
    const StepExecution *execution = nullptr;
    TaskId stepId;
    WallTime releasedAt = WallTime::max();
};

static std::int64_t sizeBound(std::int64_t milliCores)
{
    const auto *bound = std::ranges::lower_bound(SizeBounds, milliCores);
    return bound != SizeBounds.end() ? *bound : 0;
}

static std::size_t countPhase(const StepExecution &execution, TaskPhase phase)
{
    return static_cast<std::size_t>(std::ranges::count(execution.tasks, phase, &TaskExecution::phase));
}

/// Returns the first task of a step that has no run and waits for one, if that counts as a wait of the step. A serving step waits if one
/// of its tasks does: the platform judges each of them. Another one waits if no task has a run; then the index is 0.
static std::optional<int> waitingTask(const Wire::TaskStep &step, const StepExecution &execution)
{
    const auto hasNoRun = [](const TaskExecution &task) { return task.phase == TaskPhase::Pending || task.phase == TaskPhase::Assigned; };
    if (step.longRunning) {
        const auto first = std::ranges::find_if(execution.tasks, hasNoRun);
        return first != execution.tasks.end() ? std::optional(static_cast<int>(first - execution.tasks.begin())) : std::nullopt;
    }
    const auto tasks = static_cast<int>(execution.tasks.size());
    const bool waits = execution.pending + execution.done == tasks
        || std::ranges::all_of(execution.tasks, [&](const TaskExecution &task) { return hasNoRun(task) || task.phase == TaskPhase::Done; });
    return waits && execution.done < tasks ? std::optional(0) : std::nullopt;
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
    summary.overdueSteps = m_watchdog.overdueSteps();
    summary.newlyOverdueSteps = m_watchdog.takeNewlyOverdueSteps();
    summary.ownerLateness = std::chrono::duration_cast<std::chrono::milliseconds>(m_lateness.lateness());
    summary.minimumPollInterval = std::chrono::duration_cast<std::chrono::milliseconds>(m_lateness.minimumPollInterval());
    summary.placementWork = m_placementWork;
    summary.startWindow = m_commandWindow.size();
    summary.waitingForWindow = m_commandWindow.waitingTasks();
    summary.longestOverdue = m_watchdog.longestTimeBesideRoom();
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
    const QueueInfo *queue = m_queues.find(job->submission.queue);
    if (queue == nullptr) {
        return;
    }
    const std::map<std::string, int> perWorker = openTasksByWorker(execution);
    const RunProfile profile = runProfile(job->step(stepId.step), 0);
    PlacementRequest request;
    request.step = &job->step(stepId.step);
    request.workerPool = queue->workerPool;
    request.profile = &profile;
    request.stepTasksByWorker = &perWorker;
    request.isOverdue = request.step->fillsIdle && IdleCapacityPolicy::isOverdue(execution, maximumWait(request.workerPool), now);
    const std::map<std::string, std::string> noTickets;
    if (queue->advice) {
        const auto *tickets = m_tickets.tickets(stepId, now);
        request.tickets = tickets != nullptr ? tickets : &noTickets; // no worker is allowed until the advice service has answered
    }
    for (auto &[id, worker] : m_workers) {
        const auto obstacle = ranking.isAvailable(worker) ? ranking.obstacle(worker, request) : PlacementObstacle::Unavailable;
        if (obstacle) {
            ++waiting.workers[*obstacle];
        } else {
            ++waiting.suitableWorkers;
        }
    }
}

void Dispatcher::watchWaitingSteps(TimePoint now)
{
    if (!m_watchdog.isRoundDue(now)) {
        return;
    }
    std::vector<WorkerState *> workers;
    for (auto &[id, worker] : m_workers) {
        workers.push_back(&worker);
    }
    const WorkerRanking ranking(std::move(workers), m_evacuated, m_colocation, now);
    FreeRoom room;
    for (const auto &[id, worker] : m_workers) {
        if (canStart(now) && ranking.isAvailable(worker)) {
            room.add(worker);
        }
    }
    m_watchdog.beginRound(now);
    for (const JobExecution *job : m_jobs.pendingJobs().jobs()) {
        observeWaitingSteps(*job, room, now);
    }
    // The other jobs have no pending task at the moment.
    std::set<std::string> jobs;
    for (const TaskId &step : m_watchdog.missingSteps()) {
        jobs.insert(step.job);
    }
    for (const std::string &id : jobs) {
        const JobExecution *job = m_jobs.find(id);
        if (job != nullptr && !job->isEnded()) {
            observeWaitingSteps(*job, room, now);
        }
    }
    m_watchdog.endRound();
    examineOverdueSteps(ranking, room, now);
}

void Dispatcher::examineOverdueSteps(const WorkerRanking &ranking, FreeRoom &room, TimePoint now)
{
    const std::vector<TaskId> steps = m_watchdog.stepsToExamine();
    if (steps.empty()) {
        return;
    }
    // The ranking updates outdated forecasts, and the placement must not depend on what is reported.
    std::vector<ServingForecast> forecasts;
    for (const auto &[id, worker] : m_workers) {
        forecasts.push_back(worker.forecast);
    }
    for (const TaskId &step : steps) {
        OverdueStep overdue = overdueStep(step, ranking, room, now);
        if (m_watchdog.shouldReport(step, overdue.waiting.mainObstacle())) {
            overdue.unreportedSteps = m_watchdog.unreportedSteps();
            m_actions.emplace_back(std::move(overdue));
        }
    }
    auto forecast = forecasts.begin();
    for (auto &[id, worker] : m_workers) {
        worker.forecast = std::move(*forecast++);
    }
}

void Dispatcher::observeWaitingSteps(const JobExecution &job, FreeRoom &room, TimePoint now)
{
    const bool hasQueue = m_queues.find(job.submission.queue) != nullptr;
    const std::string workerPool = workerPoolOf(job);
    for (const auto &[occurrence, steps] : job.occurrences) {
        for (std::size_t index = 0; index < steps.size(); ++index) {
            const Wire::TaskStep &step = job.submission.steps[index];
            const StepExecution &execution = steps[index];
            if (execution.isDone() || !isReady(steps, step)) {
                continue;
            }
            const auto task = Internal::waitingTask(step, execution);
            if (!task) {
                continue;
            }
            const bool canStartNow = hasQueue && (execution.pending == 0 || execution.hasPendingTask(now));
            const std::size_t startedTogether = step.gang ? execution.tasks.size() : 1;
            auto state = WaitingWatchdog::Room::None;
            if (canStartNow && room.hasPlaces(workerPool, step, limitedTasksByWorker(step, execution), Internal::RoomFactor * startedTogether)) {
                // The platform's rule on serving tasks holds however much is in use.
                const bool isAmple = step.longRunning || room.isLessThanHalfReserved(workerPool);
                state = isAmple ? WaitingWatchdog::Room::Ample : WaitingWatchdog::Room::InBusyPool;
            }
            m_watchdog.observe({job.id, occurrence, static_cast<int>(index), *task}, state);
        }
    }
}

std::string Dispatcher::workerPoolOf(const JobExecution &job) const
{
    const QueueInfo *queue = m_queues.find(job.submission.queue);
    return queue != nullptr ? queue->workerPool : std::string();
}

OverdueStep Dispatcher::overdueStep(const TaskId &stepId, const WorkerRanking &ranking, FreeRoom &room, TimePoint now)
{
    const JobExecution &job = *m_jobs.find(stepId.job);
    const Wire::TaskStep &step = job.step(stepId.step);
    const StepExecution &execution = job.occurrences.at(stepId.occurrence)[static_cast<std::size_t>(stepId.step)];
    const std::string workerPool = workerPoolOf(job);
    OverdueStep overdue;
    overdue.step = stepId;
    overdue.waiting.kind = kindOf(step);
    overdue.waiting.tasks = Internal::countPhase(execution, TaskPhase::Pending);
    overdue.waiting.steps = 1;
    overdue.waiting.sinceRelease = std::chrono::milliseconds(m_wallMs - sinceEpoch(job.releaseTime(stepId.occurrence)).count());
    overdue.waiting.jobId = stepId.job;
    overdue.waiting.milliCores = step.milliCores;
    overdue.waiting.memoryBytes = step.memoryMb * BytesPerMegabyte;
    addObstacles(overdue.waiting, ranking, stepId, execution, now);
    overdue.assignedTasks = Internal::countPhase(execution, TaskPhase::Assigned);
    overdue.waitingTime = m_watchdog.waitingTime(stepId);
    overdue.besideRoom = m_watchdog.timeBesideRoom(stepId);
    overdue.places = room.places(workerPool, step, limitedTasksByWorker(step, execution), Internal::MaximumPlaces);
    Duration oldestReportAge{0};
    for (const WorkerState *worker : room.workers(workerPool)) {
        overdue.milliCores += worker->info.capacity.milliCores;
        overdue.freeMilliCores += worker->freeCapacity().milliCores;
        overdue.unusedMilliCores += worker->freeCapacity().milliCores - worker->bestEffortCommitted;
        overdue.idleMilliCores += worker->expectedIdleMilliCores(m_colocation.forecast(*worker, now));
        oldestReportAge = std::max(oldestReportAge, now - worker->lastReportAt);
    }
    overdue.jobsReadAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_readAt);
    if (m_workersReadAt) {
        overdue.workersReadAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_workersReadAt);
    }
    overdue.oldestReportAge = std::chrono::duration_cast<std::chrono::milliseconds>(oldestReportAge);
    return overdue;
}

} // namespace Hyssop
