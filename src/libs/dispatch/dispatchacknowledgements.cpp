#include "dispatcher.h"

#include <algorithm>
#include <utility>

namespace Hyssop {

namespace Internal {

// Starts are held once unconfirmed ones have prevented an acknowledgement for this long.
constexpr std::chrono::milliseconds MaximumAcknowledgementDelay{1000};
// Upper bound of the time after which a command without a response is executed.
constexpr std::chrono::milliseconds MaximumCommandDelay{12000};

} // namespace Internal

bool Dispatcher::acknowledges(WorkerState &worker, TimePoint now)
{
    if (!worker.hasEndsToAcknowledge() || worker.failedPolls > 0 || now < worker.acknowledgeAfter) {
        worker.acknowledgementDueSince.reset();
        return false;
    }
    if (hasUnlistedRuns(worker)) {
        worker.acknowledgementDueSince = worker.acknowledgementDueSince.value_or(now);
        return false;
    }
    worker.acknowledgementDueSince.reset();
    return true;
}

bool Dispatcher::hasUnlistedRuns(const WorkerState &worker)
{
    return !runsWith(worker, [](const TaskId &, const TaskExecution &task) { return task.phase != TaskPhase::Assigned && !task.listed; }).empty();
}

void Dispatcher::delayAcknowledgements(const std::string &workerId, TimePoint now)
{
    if (WorkerState *worker = findWorker(workerId)) {
        worker->acknowledgeAfter = now + Internal::MaximumCommandDelay;
    }
}

bool Dispatcher::holdsStarts(const WorkerState &worker, TimePoint now) const
{
    const bool isOverdue = worker.acknowledgementDueSince && now - *worker.acknowledgementDueSince > Internal::MaximumAcknowledgementDelay;
    return worker.acknowledging || isOverdue;
}

void Dispatcher::sendHeldStarts(WorkerState &worker, TimePoint now)
{
    if (holdsStarts(worker, now)) {
        return;
    }
    for (const auto &[id, run] : std::exchange(worker.heldStarts, {})) {
        TaskExecution *task = m_jobs.task(id);
        const bool isWaiting = task != nullptr && (task->phase == TaskPhase::Assigned || task->phase == TaskPhase::Starting);
        if (isWaiting && task->run == run && task->worker == worker.info.id) {
            sendStart(id, *task, now);
        }
    }
}

} // namespace Hyssop
