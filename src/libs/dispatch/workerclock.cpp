#include "workerclock.h"

namespace Hyssop {

// Platform contract: a slow clock advances by at least 98 ms in 100 ms.
constexpr int SlowestClockPercent = 98;

WorkerTime WorkerClock::readingAt(TimePoint time) const
{
    return reading + std::chrono::duration_cast<WorkerTime>(time - receivedAt);
}

TimePoint WorkerClock::latestTimeOf(WorkerTime laterReading) const
{
    return receivedAt + (laterReading - reading) * 100 / SlowestClockPercent;
}

} // namespace Hyssop
