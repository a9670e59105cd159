#include "workerclock.h"

namespace Hyssop {

WorkerTime WorkerClock::readingAt(TimePoint time) const
{
    return reading + std::chrono::duration_cast<WorkerTime>(time - receivedAt);
}

TimePoint WorkerClock::latestTimeOf(WorkerTime laterReading) const
{
    return receivedAt + (laterReading - reading) * 100 / SlowestPercent;
}

} // namespace Hyssop
