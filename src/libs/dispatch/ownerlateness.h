#pragma once

#include <utils/clock.h>

namespace Hyssop {

/// Measures how late the owner itself is, by the interval between its ticks, and how long it waits before it polls a worker again.
///
/// Load pattern: more runs start and end than the owner's processor carries. Each end is a reason to poll the worker again at once, and
/// each poll lists all runs of the worker, so polls take more processor time than the starts do. The owner then learns of ends long before
/// it can act on them, and acts later still. An owner that is in time polls as often as there is news.
class OwnerLateness
{
public:
    static constexpr std::chrono::milliseconds MaximumPollInterval{600};

    /// Records that a tick begins, and that the commands of earlier ticks don't wait any more.
    void handleTick(TimePoint now);

    /// Returns by how much the interval between ticks exceeds that of an owner that is in time.
    Duration lateness() const;

    /// Returns by how much an owner that is late delays the response to a command: the command waits for the work of one interval, and so does
    /// its response.
    Duration commandDelay() const;

    /// Returns the shortest time from a report of a worker to the next poll.
    Duration minimumPollInterval() const;

private:
    TimePoint m_lastTick{};
    Duration m_tickInterval{0}; // moving average
    Duration m_peakInterval{0}; // longest of late, decays
};

} // namespace Hyssop
