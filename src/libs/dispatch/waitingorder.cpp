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

std::chrono::milliseconds longestChain(const Wire::StepJob &job)
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
        ends[index] = begin + job.steps[index].estimateMs;
        longest = std::max(longest, ends[index]);
    }
    return std::chrono::milliseconds(longest);
}

Urgency urgencyOf(const std::string &jobId, const Wire::StepJob &job, const QueueInfo &queue, WallTime due, WallTime now)
{
    if (Internal::isServing(job)) {
        return {Internal::Serving, queue.priority, due, jobId};
    }
    const auto chain = longestChain(job);
    const auto allowed = std::chrono::milliseconds(static_cast<std::int64_t>(queue.stretch * static_cast<double>(chain.count()))) + queue.objectiveMargin;
    const WallTime objective = due + allowed;
    if (now > due + Internal::LateFactor * allowed) {
        return {Internal::Hopeless, queue.priority, objective, jobId};
    }
    return {now > objective ? Internal::Late : Internal::InTime, queue.priority, objective, jobId};
}

} // namespace Hyssop
