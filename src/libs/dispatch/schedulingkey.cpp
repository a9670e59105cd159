#include "schedulingkey.h"

#include <ports/clusterconfig.h>

#include <algorithm>

namespace Hyssop {

namespace Internal {

enum PriorityClass {
    Serving,
    OnTime,
    Late,
    Expired,
};

// The result of a job is worthless to its caller after this many times the time allowed until its deadline.
constexpr int ExpiryFactor = 3;

static bool isServing(const Wire::StepJob &job)
{
    return std::ranges::any_of(job.steps, [](const Wire::TaskStep &step) { return step.longRunning; });
}

} // namespace Internal

std::chrono::milliseconds criticalPathLength(const Wire::StepJob &job, const DoneSteps &doneSteps)
{
    boost::container::small_vector<std::int64_t, 8> ends(job.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        std::int64_t begin = 0;
        for (const std::int32_t earlier : job.steps[index].after) {
            if (earlier >= 0 && static_cast<std::size_t>(earlier) < index) {
                begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
            }
        }
        const bool isDone = index < doneSteps.size() && doneSteps[index];
        ends[index] = begin + (isDone ? 0 : job.steps[index].estimateMs);
        longest = std::max(longest, ends[index]);
    }
    return std::chrono::milliseconds(longest);
}

bool SchedulingKey::isExpired() const
{
    return priorityClass == Internal::Expired;
}

SchedulingKey schedulingKey(const PendingWork &work, const QueueInfo &queue, WallTime now)
{
    const int notStarted = work.isStarted ? 0 : 1;
    if (Internal::isServing(work.job)) {
        return {Internal::Serving, queue.priority, notStarted, work.releaseTime, work.jobId};
    }
    const auto criticalPath = criticalPathLength(work.job);
    const auto allowed =
        std::chrono::milliseconds(static_cast<std::int64_t>(queue.deadlineFactor * static_cast<double>(criticalPath.count()))) + queue.deadlineMargin;
    const WallTime deadline = work.releaseTime + allowed;
    if (now > work.releaseTime + Internal::ExpiryFactor * allowed) {
        return {Internal::Expired, queue.priority, notStarted, deadline, work.jobId};
    }
    const bool onTime = now + criticalPathLength(work.job, work.doneSteps) <= deadline;
    return {onTime ? Internal::OnTime : Internal::Late, queue.priority, notStarted, deadline, work.jobId};
}

} // namespace Hyssop
