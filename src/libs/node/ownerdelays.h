#pragma once

#include <utils/clock.h>
#include <utils/delaysummary.h>

#include <chrono>

namespace Hyssop {

/// Delays of the owner in one interval, by the stage in which work waits. They distinguish an owner without processor time from a slow
/// store and from slow workers.
struct OwnerDelays
{
    DelaySummary ticks; // from when a tick was due until it began
    DelaySummary tickTimes; // from its begin until all of its commands were passed on
    DelaySummary reads; // from the acceptance of a job until this owner has read it
    DelaySummary batches; // from when a batch of records is ready until it is durable, and its starts can be sent
    DelaySummary startResponses;
    DelaySummary pollResponses; // beyond the time that the poll lets the worker wait
    DelaySummary backgroundTurns; // from a tick until all background work that was queued before it is done
    int openStarts = 0; // sent and not answered, at the end of the interval
    int openPolls = 0;
    TimePoint beganAt{};
    std::chrono::milliseconds processorTimeAtBegin{0}; // of the process, since its start

    /// Begins the next interval. What is open stays open.
    void beginInterval(TimePoint now);

    /// Returns the processor time of the process since the begin of the interval.
    std::chrono::milliseconds processorTime() const;
};

} // namespace Hyssop
