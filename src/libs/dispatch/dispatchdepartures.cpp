#include "dispatcher.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A registration that lapsed although the worker lives is usually back within this time.
constexpr std::chrono::milliseconds MissingTime{1000};
constexpr std::chrono::milliseconds WorkerListInterval{1000};
// The same if a worker is missing that no list has covered yet.
constexpr std::chrono::milliseconds FirstWorkerListInterval{200};

// Longer than the timeout of a command, so that one stop of a run is outstanding at a time.
constexpr std::chrono::milliseconds UnreachableStopInterval{1000};

/// Returns true if a start command of this owner may still reach a process at the worker's address. Only the last command of a
/// run is known to be answered.
static bool isStartOutstanding(const TaskExecution &task)
{
    return task.startsSent > 1 || (task.startsSent == 1 && !task.startConfirmed);
}

/// Returns from when on a list of live workers shows whether the missing @p worker has ended.
static TimePoint listingTime(const WorkerState &worker)
{
    return *worker.missingSince + (worker.refusesConnections ? Duration(0) : Duration(MissingTime));
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

void Dispatcher::repeatUnconfirmedStops(TimePoint now)
{
    for (const auto &[workerId, worker] : m_workers) {
        if (worker.failedPolls == 0) {
            continue; // stops are repeated according to its reports
        }
        const auto unconfirmed = runsWith(worker, [now](const TaskId &, const TaskExecution &task) {
            return task.phase == TaskPhase::Stopping && !task.stopConfirmed && now - task.phaseSince >= Internal::UnreachableStopInterval;
        });
        for (const TaskId &id : unconfirmed) {
            TaskExecution *task = m_jobs.task(id);
            task->phaseSince = now;
            sendStop(id, *task);
        }
    }
}

void Dispatcher::endStoppedRuns(TimePoint now)
{
    const Duration stopDuration = m_limits.stopDuration * 100 / WorkerClock::SlowestPercent;
    for (auto &[workerId, worker] : m_workers) {
        if (!worker.hasConfirmedStops) {
            continue;
        }
        const auto stopped =
            runsWith(worker, [](const TaskId &, const TaskExecution &task) { return task.phase == TaskPhase::Stopping && task.stopConfirmed; });
        worker.hasConfirmedStops = !stopped.empty();
        for (const TaskId &id : stopped) {
            TaskExecution &task = *m_jobs.task(id);
            // The stop bars other starts of the run only in the process that has confirmed it, and the worker may have restarted since.
            const bool areStartsOver = task.startConfirmed && !Internal::isStartOutstanding(task);
            if (areStartsOver && isServingTask(id) && now - task.confirmedAt >= stopDuration) {
                endRun(id, task, RunEndReason::Stopped, {}, now, RunEndEvidence::StopConfirmed);
            }
        }
    }
}

void Dispatcher::endRunsOfEndedProcess(const WorkerState &worker, TimePoint provedAt, TimePoint now)
{
    const auto runs = runsWith(worker, [&](const TaskId &id, const TaskExecution &task) {
        // Starts of earlier owners are unknown; serving tasks are not left without a run for that.
        const bool isStartKnown = task.startsSent > 0 || isServingTask(id);
        return task.phase != TaskPhase::Assigned && isStartKnown && !Internal::isStartOutstanding(task) && task.confirmedAt <= provedAt;
    });
    if (!runs.empty()) {
        m_actions.emplace_back(WorkerProcessEnded{worker.info.id, worker.failedPolls, runs.size()});
    }
    for (const TaskId &id : runs) {
        endRun(id, *m_jobs.task(id), RunEndReason::LeaseExpired, {}, now, RunEndEvidence::ProcessEnded);
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
    bool isUncovered = false; // by the last list
    for (auto &[id, worker] : m_workers) {
        const bool isMissing = (!worker.registered || worker.refusesConnections) && !worker.isResponding() && !worker.runs.empty();
        if (!isMissing) {
            worker.missingSince.reset();
            continue;
        }
        worker.missingSince = worker.missingSince.value_or(now);
        const TimePoint listingTime = Internal::listingTime(worker);
        isListNeeded = isListNeeded || now >= listingTime;
        isUncovered = isUncovered || (now >= listingTime && listingTime > m_workersListedAt);
    }
    const auto interval = isUncovered ? Internal::FirstWorkerListInterval : Internal::WorkerListInterval;
    if (isListNeeded && !m_listingWorkers && now - m_workersListedAt >= interval) {
        m_listingWorkers = true;
        m_workersListedAt = now;
        m_actions.emplace_back(ListLiveWorkers{});
    }
}

void Dispatcher::liveWorkersListed(const std::set<std::string> &workers, TimePoint sentAt, TimePoint now)
{
    m_listingWorkers = false;
    for (auto &[id, worker] : m_workers) {
        const bool wasMissing = worker.missingSince && sentAt >= Internal::listingTime(worker);
        if (wasMissing && !worker.isResponding() && !workers.contains(id)) {
            endRunsOfEndedProcess(worker, sentAt, now);
        }
    }
}

} // namespace Hyssop
