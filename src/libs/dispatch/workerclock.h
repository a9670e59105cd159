#pragma once

#include <ports/workercommands.h>
#include <utils/clock.h>

namespace Hyssop {

/// Relates a worker's steady clock, which may run up to 2 % slow, to ours.
struct WorkerClock
{
    WorkerTime reading{0};
    TimePoint receivedAt{}; // the worker read its clock at this time or earlier

    /// Returns a reading that the worker's clock has reached, or almost reached, at @p time.
    WorkerTime readingAt(TimePoint time) const;

    /// Returns a time at which the worker's clock has certainly reached @p reading.
    TimePoint surelyReached(WorkerTime laterReading) const;
};

} // namespace Hyssop
