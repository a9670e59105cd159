#include "ownerdelays.h"

#include <ctime>

namespace Hyssop {

namespace Internal {

static std::chrono::milliseconds processorTimeOfProcess()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Internal

void OwnerDelays::beginInterval(TimePoint now)
{
    OwnerDelays next;
    next.openStarts = openStarts;
    next.openPolls = openPolls;
    next.beganAt = now;
    next.processorTimeAtBegin = Internal::processorTimeOfProcess();
    *this = next;
}

std::chrono::milliseconds OwnerDelays::processorTime() const
{
    return Internal::processorTimeOfProcess() - processorTimeAtBegin;
}

} // namespace Hyssop
