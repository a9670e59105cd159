#include "ownerlateness.h"

#include <algorithm>

namespace Hyssop {

// Ticks of an owner that is in time come within this interval.
constexpr std::chrono::milliseconds UsualTickInterval{40};
// Polls wait longer by so many times the lateness.
constexpr int PollIntervalFactor = 8;
constexpr int AveragedTicks = 8;
// More commands would wait longer for the owner's processor, and their responses exceed the timeout.
constexpr std::chrono::milliseconds MaximumCommandDelay{450};
// A pause of the process says nothing about its load.
constexpr std::chrono::milliseconds MaximumTickInterval{500};

void OwnerLateness::handleTick(TimePoint now)
{
    if (m_lastTick != TimePoint()) {
        const Duration interval = std::min<Duration>(now - m_lastTick, MaximumTickInterval);
        m_tickInterval += (interval - m_tickInterval) / AveragedTicks;
        m_peakInterval = std::max(interval, m_peakInterval - m_peakInterval / AveragedTicks);
    }
    m_lastTick = now;
}

Duration OwnerLateness::lateness() const
{
    return std::max<Duration>(m_tickInterval - UsualTickInterval, Duration::zero());
}

Duration OwnerLateness::commandDelay() const
{
    return lateness() > Duration::zero() ? std::min<Duration>(2 * m_peakInterval, MaximumCommandDelay) : Duration::zero();
}

Duration OwnerLateness::minimumPollInterval() const
{
    return std::min<Duration>(lateness() * PollIntervalFactor, MaximumPollInterval);
}

} // namespace Hyssop
