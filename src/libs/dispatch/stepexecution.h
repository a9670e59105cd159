#pragma once

#include "taskexecution.h"

#include <vector>

namespace Hyssop {

/// Execution state of a step in one occurrence of a job.
struct StepExecution
{
    std::vector<TaskExecution> tasks;
    int done = 0;

    bool isDone() const { return done == static_cast<int>(tasks.size()); }
};

} // namespace Hyssop
