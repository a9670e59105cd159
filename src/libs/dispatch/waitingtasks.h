#pragma once

#include "placementobstacle.h"
#include "taskkind.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Hyssop {

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

    /// Returns the obstacle of most workers, or nothing if one is suitable or there is no worker.
    std::optional<PlacementObstacle> mainObstacle() const
    {
        const auto most = std::ranges::max_element(workers, {}, [](const auto &item) { return item.second; });
        return suitableWorkers > 0 || most == workers.end() ? std::nullopt : std::optional(most->first);
    }
};

} // namespace Hyssop
