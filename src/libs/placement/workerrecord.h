#pragma once

#include <utils/clock.h>
#include <utils/resources.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop::Internal {

/// The running tasks of one kind on a worker.
struct KindOnWorker
{
    std::uint32_t kind = 0;
    std::uint32_t service = UINT32_MAX; // UINT32_MAX for batch
    int count = 0;
    float latencyRatio = 0; // measured latency relative to the objective, smoothed; services only
    float unmeasuredEffect = 0; // predicted effect of tasks placed since the last measurement
};

/// A task that ended on a worker. Kept because measurements that arrive late may still contain its effect.
struct EndedTask
{
    std::uint32_t kind = 0;
    TimePoint startedAt{};
    TimePoint endedAt{};
};

/// State of one worker. The CapacityLedger holds its capacity and commitments.
struct WorkerRecord
{
    std::string name;
    std::uint32_t rack = 0;
    bool registered = false; // false after its removal; the record is kept until the last task is released
    bool accepting = false;
    Resources charged; // sum over the tasks on it
    Resources reserved; // for pending tasks
    std::int64_t loadMilliCores = 0;
    TimePoint lastPlacementAt{};
    int throttledTasks = 0;
    std::vector<std::uint32_t> tasks;
    std::vector<KindOnWorker> kinds;
    std::vector<EndedTask> endedTasks;
};

} // namespace Hyssop::Internal
