#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <chrono>
#include <string>
#include <tuple>
#include <vector>

namespace Hyssop {

struct QueueInfo;

/// Place of a job's step in the order of waiting work; lower comes first.
struct SchedulingKey
{
    int priorityClass = 0;
    int priority = 0;
    int notStarted = 0; // 0: the job has begun
    WallTime deadline{};
    std::string jobId; // makes the order total

    bool operator<(const SchedulingKey &other) const
    {
        return std::tie(priorityClass, priority, notStarted, deadline, jobId)
            < std::tie(other.priorityClass, other.priority, other.notStarted, other.deadline, other.jobId);
    }
};

/// A job that waits.
struct PendingWork
{
    std::string jobId;
    const Wire::StepJob &job;
    WallTime releaseTime{};
    std::vector<bool> doneSteps; // by step
    bool isStarted = false;
};

/// Returns the estimated time of the longest chain of dependent steps; @p doneSteps take no time.
std::chrono::milliseconds criticalPathLength(const Wire::StepJob &job, const std::vector<bool> &doneSteps = {});

/// Decides in which order work waits.
///
/// Load pattern: a wave of large batch jobs arrives on top of short ones, more than can be served in time. Serving tasks
/// come first, because each second without them is lost. Then come jobs that can still meet their objective with the
/// steps that are left: within a priority those that have begun, so that work done is not wasted, and the earliest
/// objective first. What can no longer be in time leaves its place to what can. Jobs that are so late that their callers
/// gain nothing come last.
SchedulingKey schedulingKey(const PendingWork &work, const QueueInfo &queue, WallTime now);

} // namespace Hyssop
