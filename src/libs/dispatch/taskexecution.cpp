#include "taskexecution.h"

#include <algorithm>

namespace Hyssop {

void TaskExecution::setSpeed(int percent, TimePoint now)
{
    if (isThrottled()) {
        progressSince += now - std::max(progressSince, speedSince);
    }
    speedPercent = percent;
    speedSince = now;
}

} // namespace Hyssop
