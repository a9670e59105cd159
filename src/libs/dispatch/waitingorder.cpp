#include "waitingorder.h"

#include <ports/clusterconfig.h>

#include <algorithm>
#include <vector>

namespace Hyssop {

namespace Internal {

enum Group {
    Serving,
    InTime,
    Late,
    Hopeless,
};

// A job that takes more than this many times its objective is worth nothing to its caller.
constexpr int LateFactor = 3;

static bool isServing(const Wire::StepJob &job)
{
    return std::ranges::any_of(job.steps, [](const Wire::TaskStep &step) { return step.longRunning; });
}

} // namespace Internal

std::chrono::milliseconds longestChain(const Wire::StepJob &job, const std::vector<bool> &doneSteps)
{
    std::vector<std::int64_t> ends(job.steps.size(), 0);
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

Urgency urgencyOf(const WaitingWork &work, const QueueInfo &queue, WallTime now)
{
    const int begun = work.hasBegun ? 0 : 1;
    if (Internal::isServing(work.job)) {
        return {Internal::Serving, queue.priority, begun, work.due, work.jobId};
    }
    const auto chain = longestChain(work.job);
    const auto allowed = std::chrono::milliseconds(static_cast<std::int64_t>(queue.stretch * static_cast<double>(chain.count()))) + queue.objectiveMargin;
    const WallTime objective = work.due + allowed;
    if (now > work.due + Internal::LateFactor * allowed) {
        return {Internal::Hopeless, queue.priority, begun, objective, work.jobId};
    }
    const bool inTime = now + longestChain(work.job, work.doneSteps) <= objective;
    return {inTime ? Internal::InTime : Internal::Late, queue.priority, begun, objective, work.jobId};
}

} // namespace Hyssop
