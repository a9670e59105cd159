#pragma once

#include <utils/clock.h>

namespace Hyssop {

/// Decides how long the owner waits at least between a report of a worker and the next poll, by how late its own ticks are.
///
/// Load pattern: more runs start and end than the owner's processor carries. Each end is a reason to poll the worker again at once, and
/// each poll lists all runs of the worker, so polls take more processor time than the starts do. The owner then learns of ends long before
/// it can act on them, and acts later still. An owner that is in time polls as often as there is news.
class PollPacing
{
public:
    static constexpr std::chrono::milliseconds MaximumInterval{600};

    /// Records that a tick begins.
    void handleTick(TimePoint now);

    /// Returns the shortest time from a report to the next poll.
    Duration minimumInterval() const;

private:
    TimePoint m_lastTick{};
    Duration m_tickInterval{0}; // moving average
};

} // namespace Hyssop
