#include "jobexecution.h"

#include <ports/taskid.h>

namespace Hyssop {

TaskExecution *JobExecution::findTask(const TaskId &id)
{
    StepExecution *step = findStep(id);
    if (step == nullptr || id.index < 0 || id.index >= static_cast<int>(step->tasks.size())) {
        return nullptr;
    }
    return &step->tasks[static_cast<std::size_t>(id.index)];
}

StepExecution *JobExecution::findStep(const TaskId &id)
{
    const auto steps = occurrences.find(id.occurrence);
    if (steps == occurrences.end() || id.step < 0 || id.step >= static_cast<int>(steps->second.size())) {
        return nullptr;
    }
    return &steps->second[static_cast<std::size_t>(id.step)];
}

} // namespace Hyssop
