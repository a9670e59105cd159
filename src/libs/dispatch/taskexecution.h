#pragma once

#include <utils/clock.h>

#include <string>

namespace Hyssop {

enum class TaskPhase {
    Pending, // has no open run
    Assigned, // the intent of a run waits to become durable
    Starting, // the start was sent and is not answered
    Running,
    Stopping, // the run is to end
    Done,
};

/// The owner's view of one task.
struct TaskExecution
{
    TaskPhase phase = TaskPhase::Pending;
    int run = 0; // number of the newest run
    int failures = 0;
    std::string checkpoint;
    std::string worker; // of the open run
    TimePoint phaseSince{};
    int sends = 0; // start orders sent for this run
    TimePoint confirmedAt{}; // the worker has answered the start, or the stop, by now
    bool stopConfirmed = false;
    int percent = -1; // progress listed by the worker; -1: none yet
    TimePoint percentSince{};
    int firstPercent = -1; // progress in the first listing of this run
    TimePoint firstPercentAt{};
    double load = 0; // as listed by the worker
    int speedPercent = 100;
    TimePoint speedSince{};
    TimePoint notBefore{}; // the next run waits until then

    /// A run may exist on a worker, or is about to.
    bool isOpen() const { return phase != TaskPhase::Pending && phase != TaskPhase::Done; }
};

} // namespace Hyssop
