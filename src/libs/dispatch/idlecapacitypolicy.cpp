#include "idlecapacitypolicy.h"

#include "colocationpolicy.h"
#include "stepexecution.h"
#include "workerstate.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A best-effort task is placed where at least this share of its processor time is expected to be idle.
constexpr int MinimumIdlePercent = 80;
// Score penalty for a utilization of 1 that is added to a serving task, in thousandths of a core.
constexpr double InterferenceWeight = 200'000;
// Score of a utilization of 1 that an overdue task leaves to the serving tasks.
constexpr double RemainingHeadroomWeight = 1'000'000;

} // namespace Internal

IdleCapacityPolicy::IdleCapacityPolicy(const ColocationPolicy &colocationPolicy)
    : m_colocation(colocationPolicy)
{
}

std::chrono::milliseconds IdleCapacityPolicy::maximumWait(std::int64_t reserved, std::int64_t capacity)
{
    return reserved * 2 < capacity ? MaximumWaitInIdlePool : MaximumWait;
}

bool IdleCapacityPolicy::isOverdue(const StepExecution &step, std::chrono::milliseconds maximumWait, TimePoint now)
{
    const bool goesOn = step.hasBegun && maximumWait <= MaximumWaitInIdlePool;
    if (goesOn && step.isExpired && step.openTasks() < MinimumOpenTasks) {
        return true;
    }
    return step.openTasks() == 0 && step.waitingSince && now - *step.waitingSince >= (goesOn ? MaximumGap : maximumWait);
}

int IdleCapacityPolicy::lowestSpeed(const StepExecution &step, const TaskExecution &task)
{
    if (!step.isExpired) {
        return 0;
    }
    const auto works = [&](const TaskExecution &other) { return &other != &task && other.phase == TaskPhase::Running && other.speedPercent > 0; };
    return std::ranges::count_if(step.tasks, works) < MinimumOpenTasks ? LowestSpeedPercent : 0;
}

std::optional<PlacementObstacle> IdleCapacityPolicy::obstacle(const WorkerState &worker, const ServingForecast &forecast, const Task &task) const
{
    if (worker.overTargetSince) {
        return PlacementObstacle::OverTarget;
    }
    if (task.isOverdue) {
        return std::nullopt;
    }
    if (worker.expectedIdleMilliCores(forecast) * 100 < task.profile->bestEffortMilliCores * Internal::MinimumIdlePercent) {
        return PlacementObstacle::IdleProcessorTime;
    }
    return hasHeadroom(worker, forecast, task) ? std::nullopt : std::optional(PlacementObstacle::Headroom);
}

bool IdleCapacityPolicy::hasHeadroom(const WorkerState &worker, const ServingForecast &forecast, const Task &task) const
{
    return std::ranges::all_of(forecast.headrooms, [&](const ServingForecast::Headroom &headroom) {
        const double added = m_colocation.addedUtilization(headroom.image, *task.profile, worker.info.capacity.milliCores);
        return added < ColocationPolicy::NegligibleUtilization || added < headroom.utilization;
    });
}

std::int64_t IdleCapacityPolicy::score(const WorkerState &worker, const ServingForecast &forecast, const Task &task) const
{
    double most = 0; // that the task adds to a serving task
    double leastLeft = 1; // headroom after its start
    for (const ServingForecast::Headroom &headroom : forecast.headrooms) {
        const double added = m_colocation.addedUtilization(headroom.image, *task.profile, worker.info.capacity.milliCores);
        most = std::max(most, added);
        leastLeft = std::min(leastLeft, headroom.utilization - added);
    }
    const std::int64_t idle = worker.expectedIdleMilliCores(forecast);
    if (task.isOverdue) {
        return idle + static_cast<std::int64_t>(leastLeft * Internal::RemainingHeadroomWeight);
    }
    return idle - static_cast<std::int64_t>(most * Internal::InterferenceWeight);
}

} // namespace Hyssop
