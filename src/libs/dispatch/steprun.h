#pragma once

#include "taskrun.h"

#include <vector>

namespace Hyssop {

/// Tasks of one step in one occurrence of a job.
struct StepRun
{
    std::vector<TaskRun> tasks;
    int done = 0;

    bool isDone() const { return done == static_cast<int>(tasks.size()); }
};

} // namespace Hyssop
