#pragma once

#include "taskexecution.h"

#include <map>
#include <string>
#include <vector>

namespace Hyssop {

namespace Wire {
class TaskStep;
}

/// Execution state of a step in one occurrence of a job.
struct StepExecution
{
    std::vector<TaskExecution> tasks;
    int done = 0;

    bool isDone() const { return done == static_cast<int>(tasks.size()); }
};

/// Returns true if all steps that @p step depends on are done.
bool isReady(const std::vector<StepExecution> &steps, const Wire::TaskStep &step);

/// Returns the number of open tasks of @p step by worker.
std::map<std::string, int> openTasksByWorker(const StepExecution &step);

} // namespace Hyssop
