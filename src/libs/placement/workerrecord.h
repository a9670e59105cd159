#pragma once

#include <utils/clock.h>
#include <utils/resources.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop::Internal {

/// The tasks of one kind on a worker.
struct KindOnWorker
{
    std::uint32_t kind = 0;
    std::uint32_t service = UINT32_MAX; // UINT32_MAX for batch
    int count = 0;
    float latencyRatio = 0; // smoothed ratio of latency to objective; services only
    float unmeasuredEffect = 0; // learned effect of tasks placed since the last measurement was taken
};

/// A task that left a worker, kept while late measurements may still show its effect.
struct EndedTask
{
    std::uint32_t kind = 0;
    TimePoint startedAt{};
    TimePoint endedAt{};
};

/// State of one worker. Capacity and commitments are in the CapacityLedger.
struct WorkerRecord
{
    std::string name;
    std::uint32_t rack = 0;
    bool registered = false; // false: removed, kept until its last task is released
    bool accepting = false;
    Resources charged; // sum over its tasks
    Resources reserved; // held for waiting tasks
    std::int64_t loadMilliCores = 0;
    TimePoint lastPlacementAt{};
    int throttledTasks = 0;
    std::vector<std::uint32_t> tasks;
    std::vector<KindOnWorker> kinds;
    std::vector<EndedTask> endedTasks;
};

} // namespace Hyssop::Internal
