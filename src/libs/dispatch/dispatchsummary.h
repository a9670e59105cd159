#pragma once

#include "placementwork.h"
#include "waitingtasks.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Hyssop {

/// Snapshot of the workers' load and the pending tasks, for logs and metrics.
struct DispatchSummary
{
    std::size_t workers = 0; // workers on which tasks can be started
    std::size_t registeredWorkers = 0;
    std::size_t drainingWorkers = 0; // registered workers that are being withdrawn
    std::size_t unreachableWorkers = 0; // registered or not
    std::size_t openRuns = 0;
    std::size_t unreachableRuns = 0; // open runs on unreachable or unregistered workers
    std::size_t pendingReserved = 0; // tasks with reserved processor capacity, without serving tasks
    std::size_t pendingBestEffort = 0; // tasks that use idle processor time
    std::size_t pendingServing = 0;
    std::int64_t milliCores = 0; // capacity of the workers counted above
    std::int64_t servingMilliCores = 0; // reserved by serving tasks
    std::int64_t countedMilliCores = 0; // reserved by other tasks
    std::int64_t freeMilliCores = 0; // reserved by none
    std::int64_t idleMilliCores = 0; // capacity that all tasks are expected to leave idle
    std::map<std::int64_t, std::size_t> workersByFreeMilliCores; // number of workers with at least as much unreserved capacity
    std::size_t overdueSteps = 0; // see WaitingWatchdog
    std::size_t newlyOverdueSteps = 0; // since the last summary
    std::chrono::milliseconds longestOverdue{0}; // time for which the oldest of the overdue steps has waited beside free room
    std::chrono::milliseconds ownerLateness{0}; // of the ticks, see OwnerLateness
    std::chrono::milliseconds minimumPollInterval{0}; // from a report of a worker to the next poll
    PlacementWork placementWork; // since the begin of the process
    std::size_t startWindow = 0; // bound of the starts in flight, see CommandWindow
    std::size_t waitingForWindow = 0; // pending tasks that the last pass did not reach because it is full
    std::vector<WaitingTasks> waiting; // tasks that could start now, if they had a worker
};

} // namespace Hyssop
