#include "stepexecution.h"

#include "hyssop_types.h"

#include <algorithm>

namespace Hyssop {

bool isReady(const std::vector<StepExecution> &steps, const Wire::TaskStep &step)
{
    return std::ranges::all_of(step.after, [&](std::int32_t earlier) {
        const auto index = static_cast<std::size_t>(earlier);
        return index >= steps.size() || steps[index].isDone();
    });
}

std::map<std::string, int> openTasksByWorker(const StepExecution &step)
{
    std::map<std::string, int> counts;
    for (const TaskExecution &task : step.tasks) {
        if (task.isOpen()) {
            ++counts[task.worker];
        }
    }
    return counts;
}

} // namespace Hyssop
