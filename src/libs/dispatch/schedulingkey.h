#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <boost/container/small_vector.hpp>

#include <chrono>
#include <string_view>
#include <tuple>

namespace Hyssop {

struct QueueInfo;

/// Sort key of a pending step; lower keys are scheduled first.
struct SchedulingKey
{
    int priorityClass = 0;
    int priority = 0;
    int notStarted = 0; // 0: a task of the occurrence was started before
    WallTime deadline{};
    std::string_view jobId; // tie-breaker that makes the order total; owned by the job

    /// Returns true if the result of the job is worthless to its caller by now.
    bool isExpired() const;

    /// Returns true if the job comes before @p other by class, priority and deadline. Whether it was started doesn't count.
    bool isMoreUrgentThan(const SchedulingKey &other) const
    {
        return std::tie(priorityClass, priority, deadline) < std::tie(other.priorityClass, other.priority, other.deadline);
    }

    bool operator<(const SchedulingKey &other) const
    {
        return std::tie(priorityClass, priority, notStarted, deadline, jobId)
            < std::tie(other.priorityClass, other.priority, other.notStarted, other.deadline, other.jobId);
    }
};

/// Whether each step of an occurrence is done. Most jobs have few steps.
using DoneSteps = boost::container::small_vector<bool, 8>;

/// An occurrence of a job with pending steps.
struct PendingWork
{
    std::string_view jobId; // owned by the job
    const Wire::StepJob &job;
    WallTime releaseTime{};
    DoneSteps doneSteps;
    bool isStarted = false; // a task was started before
};

/// Returns the estimated duration of the job's critical path; @p doneSteps take no time.
std::chrono::milliseconds criticalPathLength(const Wire::StepJob &job, const DoneSteps &doneSteps = {});

/// Returns the scheduling key of @p work.
///
/// Load pattern: a burst of large batch jobs arrives in addition to short ones, and the workers can't complete all of them
/// in time. Serving tasks come first, because every second of their absence is lost. They are followed by the jobs whose
/// remaining critical path still fits before the deadline: by priority, then started jobs first, so that completed work is
/// not wasted, then by earliest deadline. Jobs that can no longer meet their deadline yield to these. Jobs that are so late
/// that their result is worthless come last.
SchedulingKey schedulingKey(const PendingWork &work, const QueueInfo &queue, WallTime now);

} // namespace Hyssop
