#include "workerclock.h"

namespace Hyssop {

// The slowest clock counts 98 ms in 100 ms.
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
