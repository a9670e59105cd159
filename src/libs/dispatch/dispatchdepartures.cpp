#include "dispatcher.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A registration that lapsed although the worker lives is usually back within this time.
constexpr std::chrono::milliseconds MissingTime{1000};
constexpr std::chrono::milliseconds WorkerListInterval{1000};

/// Returns true if a start command of this owner may still reach a process at the worker's address. Only the last command of a
/// run is known to be answered.
static bool isStartOutstanding(const TaskExecution &task)
{
    return task.startsSent > 1 || (task.startsSent == 1 && !task.startConfirmed);
}

} // namespace Internal

std::vector<TaskId> Dispatcher::runsWith(const WorkerState &worker, const std::function<bool(const TaskId &, const TaskExecution &)> &property)
{
    std::vector<TaskId> runs;
    for (const auto &[id, profile] : worker.runs) {
        const TaskExecution *task = m_jobs.task(id);
        if (task != nullptr && property(id, *task)) {
            runs.push_back(id);
        }
    }
    return runs;
}

void Dispatcher::endStoppedRuns(TimePoint now)
{
    const Duration stopDuration = m_limits.stopDuration * 100 / WorkerClock::SlowestPercent;
    for (auto &[workerId, worker] : m_workers) {
        if (worker.failedPolls == 0) {
            continue;
        }
        const auto stopped = runsWith(worker, [&](const TaskId &id, const TaskExecution &task) {
            const bool isStopped = task.phase == TaskPhase::Stopping && task.startConfirmed && task.stopConfirmed && !Internal::isStartOutstanding(task);
            return isStopped && now - task.confirmedAt >= stopDuration && isServingTask(id);
        });
        for (const TaskId &id : stopped) {
            endRun(id, *m_jobs.task(id), RunEndReason::Stopped, {}, now);
        }
    }
}

void Dispatcher::endConfirmedRuns(WorkerState &worker, TimePoint now)
{
    const auto runs = runsWith(worker, [](const TaskId &, const TaskExecution &task) {
        const bool isActive = task.phase == TaskPhase::Running || task.phase == TaskPhase::Stopping;
        return isActive && task.startConfirmed && task.startsSent == 1; // not adopted: starts of earlier owners are unknown
    });
    endRunsOfEndedProcess(worker, runs, now);
}

void Dispatcher::endServingRuns(WorkerState &worker, TimePoint now)
{
    const auto runs = runsWith(worker, [this](const TaskId &id, const TaskExecution &task) {
        return task.phase != TaskPhase::Assigned && !Internal::isStartOutstanding(task) && isServingTask(id);
    });
    endRunsOfEndedProcess(worker, runs, now);
}

void Dispatcher::endRunsOfEndedProcess(const WorkerState &worker, const std::vector<TaskId> &runs, TimePoint now)
{
    if (!runs.empty()) {
        m_actions.emplace_back(WorkerProcessEnded{worker.info.id, worker.failedPolls, runs.size()});
    }
    for (const TaskId &id : runs) {
        endRun(id, *m_jobs.task(id), RunEndReason::LeaseExpired, {}, now);
    }
}

bool Dispatcher::isServingTask(const TaskId &id)
{
    const JobExecution *job = m_jobs.find(id.job);
    return job != nullptr && job->step(id.step).longRunning;
}

void Dispatcher::findDepartedWorkers(TimePoint now)
{
    bool isListNeeded = false;
    for (auto &[id, worker] : m_workers) {
        const bool isMissing = !worker.registered && !worker.isResponding() && !worker.runs.empty();
        if (!isMissing) {
            worker.missingSince.reset();
            continue;
        }
        worker.missingSince = worker.missingSince.value_or(now);
        const bool hasServingRun = std::ranges::any_of(worker.runs, [this](const auto &run) { return isServingTask(run.first); });
        isListNeeded = isListNeeded || (hasServingRun && now - *worker.missingSince >= Internal::MissingTime);
    }
    if (isListNeeded && !m_listingWorkers && now - m_workersListedAt >= Internal::WorkerListInterval) {
        m_listingWorkers = true;
        m_workersListedAt = now;
        m_actions.emplace_back(ListLiveWorkers{});
    }
}

void Dispatcher::liveWorkersListed(const std::set<std::string> &workers, TimePoint sentAt, TimePoint now)
{
    m_listingWorkers = false;
    for (auto &[id, worker] : m_workers) {
        const bool wasMissing = worker.missingSince && sentAt - *worker.missingSince >= Internal::MissingTime;
        if (wasMissing && !worker.registered && !worker.isResponding() && !workers.contains(id)) {
            endServingRuns(worker, now);
        }
    }
}

} // namespace Hyssop
