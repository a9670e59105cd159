#include "dispatcher.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// Upper bound of the time after which a command without a response is executed.
constexpr std::chrono::milliseconds MaximumCommandDelay{12000};
// A run whose start has a response is listed by the next report.
constexpr std::chrono::milliseconds UnlistedRunInterval{20};
constexpr std::chrono::milliseconds OutstandingStartInterval{150};

} // namespace Internal

bool Dispatcher::mayStartLate(const TaskExecution &task, TimePoint now)
{
    // A command is executed once, so the only one that was sent has begun the run that is listed.
    const bool isExecuted = task.listed && task.startsSent == 1;
    return !isExecuted && now < task.startOutstandingUntil;
}

bool Dispatcher::canAcknowledgeEnds(const WorkerState &worker, TimePoint now)
{
    if (!worker.hasEndsToAcknowledge() || worker.failedPolls > 0 || worker.pendingStarts > 0) {
        return false;
    }
    // A worker that lists as many ends as it can shows the others only after an acknowledgement.
    return !worker.listsAllEnds() || !mayHaveUnlistedRun(worker, now);
}

bool Dispatcher::mayHaveUnlistedRun(const WorkerState &worker, TimePoint now)
{
    return std::ranges::any_of(worker.runs, [&](const auto &run) {
        const TaskExecution *task = m_jobs.task(run.first);
        if (task == nullptr || task->phase == TaskPhase::Assigned) {
            return false;
        }
        return !task->listed || mayStartLate(*task, now);
    });
}

std::chrono::milliseconds Dispatcher::acknowledgementDelay(const WorkerState &worker, TimePoint now)
{
    const bool isOutstanding = std::ranges::any_of(worker.runs, [&](const auto &run) {
        const TaskExecution *task = m_jobs.task(run.first);
        return task != nullptr && mayStartLate(*task, now);
    });
    return isOutstanding ? Internal::OutstandingStartInterval : Internal::UnlistedRunInterval;
}

void Dispatcher::expectLateStart(TaskExecution &task, TimePoint now)
{
    task.startOutstandingUntil = now + Internal::MaximumCommandDelay;
}

void Dispatcher::fenceAcknowledgement(WorkerState &worker)
{
    if (worker.acknowledgementPending) {
        raiseToken(worker);
        worker.acknowledgementPending = false;
    }
}

} // namespace Hyssop
