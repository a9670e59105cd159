#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <string>
#include <tuple>

namespace Hyssop {

struct QueueInfo;

/// Place of a job's step in the order of waiting work; lower comes first.
struct Urgency
{
    int group = 0;
    int priority = 0;
    WallTime objective{};
    std::string jobId; // makes the order total

    bool operator<(const Urgency &other) const
    {
        return std::tie(group, priority, objective, jobId) < std::tie(other.group, other.priority, other.objective, other.jobId);
    }
};

/// Returns the estimated time of the longest chain of dependent steps.
std::chrono::milliseconds longestChain(const Wire::StepJob &job);

/// Decides in which order work waits.
///
/// Load pattern: a wave of large batch jobs arrives on top of short ones. Serving tasks come first, because each second
/// without them is lost. Then come jobs that can still meet their objective, the earliest objective first within a
/// priority; then late ones; jobs that are so late that their callers gain nothing come last.
Urgency urgencyOf(const std::string &jobId, const Wire::StepJob &job, const QueueInfo &queue, WallTime due, WallTime now);

} // namespace Hyssop
