#pragma once

#include "placementobstacle.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Hyssop {

/// What a task needs processor time for.
enum class TaskKind {
    Reserved, // processor capacity until the task has completed
    BestEffort, // what other tasks leave idle
    Serving, // processor capacity until the job is cancelled
};

/// Pending tasks of one kind and size.
struct WaitingTasks
{
    TaskKind kind = TaskKind::Reserved;
    std::int64_t maximumMilliCores = 0; // upper bound of the size; 0: none
    std::size_t tasks = 0;
    std::size_t steps = 0;
    // Of the step whose job was released first:
    std::chrono::milliseconds sinceRelease{0};
    std::string jobId;
    std::int64_t milliCores = 0; // of a task
    std::int64_t memoryBytes = 0; // of a task
    std::size_t suitableWorkers = 0;
    std::map<PlacementObstacle, std::size_t> workers; // the others, by why they can't take a task
};

} // namespace Hyssop
