#include "taskkind.h"

#include "hyssop_types.h"

namespace Hyssop {

TaskKind kindOf(const Wire::TaskStep &step)
{
    if (step.fillsIdle) {
        return TaskKind::BestEffort;
    }
    return step.longRunning ? TaskKind::Serving : TaskKind::Reserved;
}

} // namespace Hyssop
