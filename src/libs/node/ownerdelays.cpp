#include "ownerdelays.h"

#include <algorithm>
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

void DelaySummary::add(Duration delay)
{
    const Duration counted = std::max(delay, Duration(0));
    ++count;
    total += counted;
    longest = std::max(longest, counted);
}

std::chrono::milliseconds DelaySummary::mean() const
{
    const Duration mean = count > 0 ? total / static_cast<Duration::rep>(count) : Duration(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(mean);
}

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
