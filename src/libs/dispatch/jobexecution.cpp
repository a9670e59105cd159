#include "jobexecution.h"

#include <ports/taskid.h>

namespace Hyssop {

TaskExecution *JobExecution::findTask(const TaskId &id)
{
    const auto steps = occurrences.find(id.occurrence);
    if (steps == occurrences.end() || id.step < 0 || id.step >= static_cast<int>(steps->second.size())) {
        return nullptr;
    }
    std::vector<TaskExecution> &tasks = steps->second[static_cast<std::size_t>(id.step)].tasks;
    const bool exists = id.index >= 0 && id.index < static_cast<int>(tasks.size());
    return exists ? &tasks[static_cast<std::size_t>(id.index)] : nullptr;
}

} // namespace Hyssop
