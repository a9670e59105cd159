#include "taskexecution.h"

#include <algorithm>

namespace Hyssop {

void TaskExecution::setSpeed(int percent, TimePoint now)
{
    if (mayBeThrottled()) {
        progressSince += now - std::max(progressSince, speedSince);
    }
    speedPercent = percent;
    isSpeedKnown = true;
    speedSince = now;
}

void TaskExecution::setSpeedUnknown(TimePoint now)
{
    if (!mayBeThrottled()) {
        speedSince = now;
    }
    isSpeedKnown = false;
}

} // namespace Hyssop
