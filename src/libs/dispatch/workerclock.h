#pragma once

#include <ports/workercommands.h>
#include <utils/clock.h>

namespace Hyssop {

/// Maps the steady clock of a worker, which may run up to 2 % slow, to the clock of this process.
struct WorkerClock
{
    static constexpr int SlowestPercent = 98; // platform contract: a slow clock advances by at least 98 ms in 100 ms

    WorkerTime reading{0};
    TimePoint receivedAt{}; // upper bound of the time at which the worker read its clock

    /// Returns an estimate of the worker's clock at @p time; a slow clock may be slightly behind it.
    WorkerTime readingAt(TimePoint time) const;

    /// Returns a time at which the worker's clock has reached @p laterReading even if it is slow.
    TimePoint latestTimeOf(WorkerTime laterReading) const;
};

} // namespace Hyssop
