#include "servingdemand.h"

#include "hyssop_types.h"

namespace Hyssop {

bool isServingStep(const Wire::TaskStep &step)
{
    return step.longRunning && !step.fillsIdle;
}

std::int64_t servingDemand(const Wire::StepJob &job)
{
    std::int64_t milliCores = 0;
    for (const Wire::TaskStep &step : job.steps) {
        milliCores += isServingStep(step) ? step.taskCount * step.milliCores : 0;
    }
    return milliCores;
}

} // namespace Hyssop
