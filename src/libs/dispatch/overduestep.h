#pragma once

#include "waitingtasks.h"

#include <ports/taskid.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Hyssop {

/// Log event: a step whose turn has come has no running task for too long although room for it is free. See WaitingWatchdog.
struct OverdueStep
{
    TaskId step; // of a serving step the first task that waits; of others the index is unused
    WaitingTasks waiting; // tasks that could start now, and why workers can't take one
    std::size_t assignedTasks = 0; // have a worker, and their intent is not durable yet
    std::chrono::milliseconds waitingTime{0}; // as far as this owner knows
    std::chrono::milliseconds besideRoom{0}; // the last part of it, in which room was free
    std::size_t places = 0; // tasks for which room is free, whatever else keeps them from a worker
    // Of the available workers of the pool:
    std::int64_t milliCores = 0;
    std::int64_t freeMilliCores = 0; // reserved by no run
    std::int64_t unusedMilliCores = 0; // reserved by no run and assigned to no best-effort run
    std::int64_t idleMilliCores = 0; // that all runs are expected to leave idle
    // Age of the inputs:
    std::chrono::milliseconds jobsReadAge{0};
    std::optional<std::chrono::milliseconds> workersReadAge; // none: not read in this term
    std::chrono::milliseconds oldestReportAge{0}; // of the available workers of the pool
    std::size_t unreportedSteps = 0; // further overdue steps that have not been reported yet
};

} // namespace Hyssop
