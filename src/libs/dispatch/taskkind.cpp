#include "taskkind.h"

#include "hyssop_types.h"

#include <algorithm>

namespace Hyssop {

TaskKind kindOf(const Wire::TaskStep &step)
{
    if (step.fillsIdle) {
        return TaskKind::BestEffort;
    }
    return step.longRunning ? TaskKind::Serving : TaskKind::Reserved;
}

bool isUrgent(const Wire::TaskStep &step)
{
    return step.longRunning || !step.fillsIdle;
}

bool hasUrgentStep(const Wire::StepJob &job)
{
    return std::ranges::any_of(job.steps, isUrgent);
}

} // namespace Hyssop
