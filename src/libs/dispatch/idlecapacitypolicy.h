#pragma once

#include "placementobstacle.h"

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Hyssop {

class ColocationPolicy;
struct RunProfile;
struct ServingForecast;
struct StepExecution;
struct TaskExecution;
struct WorkerState;

/// Decides which best-effort tasks may use the processor time that stands free on a worker.
///
/// Load pattern: some images of best-effort tasks interfere strongly with nearly every serving image, and more of their tasks arrive than
/// the workers without serving tasks can run. Serving tasks are spread over most workers. The effect of such a task does not fit beside the
/// peak of their load on any of these, although most processor time is idle and the peak is short.
///
/// A task is started where its effect fits until its speed can be adjusted; from then on ColocationPolicy::speeds() keeps the targets. A
/// step that has been without a run for too long is overdue. One task of it, or its whole gang, comes before all other best-effort tasks. It
/// begins at the lowest speed, on the worker with most idle time and headroom.
///
/// Where less than half of a pool is reserved, a job that is too late to be worth anything to its caller goes on without a pause all the same:
/// while tasks of a step wait, MinimumOpenTasks of them have runs, and as many runs of the step are slowed down but not paused.
///
/// Invariant: no task is started beside a serving task that exceeds its target. What is believed about effects, loads and idle time decides where
/// an overdue task starts, but not whether: these beliefs are corrected only by observations of runs.
class IdleCapacityPolicy
{
public:
    static constexpr std::chrono::milliseconds MaximumWait{5000};
    // The platform counts a job as lost of which nothing runs for 3 s while less than half of a pool is in use. An owner without processor
    // time needs a part of it for the intent and the start.
    static constexpr std::chrono::milliseconds MaximumWaitInIdlePool{1500};
    static constexpr std::chrono::milliseconds MaximumGap{100}; // after the end of a run of the step, in an idle pool
    static constexpr int LowestSpeedPercent = 5; // enough to observe the effect of a run
    // One of them may end at any time, and the start of the next one takes some time.
    static constexpr int MinimumOpenTasks = 2;
    static constexpr int MaximumSlowedRuns = 2; // on a worker that are not paused although the targets would require it

    /// A best-effort task that waits for a worker.
    struct Task
    {
        const RunProfile *profile = nullptr;
        bool isOverdue = false; // its step has been without a run for too long
    };

    /// The argument must outlive this object.
    explicit IdleCapacityPolicy(const ColocationPolicy &colocationPolicy);

    /// Returns how long a step may wait in a worker pool with @p capacity, of which @p reserved is in use; in thousandths of a core.
    static std::chrono::milliseconds maximumWait(std::int64_t reserved, std::int64_t capacity);

    /// Returns true if a best-effort step with this execution state is overdue.
    static bool isOverdue(const StepExecution &step, std::chrono::milliseconds maximumWait, TimePoint now);

    /// Returns the lowest speed in percent for the run of @p task, which is one of @p step; 0 if it may be paused.
    static int lowestSpeed(const StepExecution &step, const TaskExecution &task);

    /// Returns why @p task must not be started on @p worker, whose forecast is @p forecast, or nothing if it may be.
    std::optional<PlacementObstacle> obstacle(const WorkerState &worker, const ServingForecast &forecast, const Task &task) const;

    /// Returns how well @p worker suits @p task; more is better. Scores of overdue tasks can't be compared with those of others.
    std::int64_t score(const WorkerState &worker, const ServingForecast &forecast, const Task &task) const;

private:
    bool hasHeadroom(const WorkerState &worker, const ServingForecast &forecast, const Task &task) const;

    const ColocationPolicy &m_colocation;
};

} // namespace Hyssop
