#include "ownerlateness.h"

#include <algorithm>

namespace Hyssop {

// Ticks of an owner that is in time come within this interval.
constexpr std::chrono::milliseconds UsualTickInterval{40};
// Polls wait longer by so many times the lateness.
constexpr int PollIntervalFactor = 8;
constexpr int AveragedTicks = 8;
// A pause of the process says nothing about its load.
constexpr std::chrono::milliseconds MaximumTickInterval{500};

void OwnerLateness::handleTick(TimePoint now)
{
    if (m_lastTick != TimePoint()) {
        const Duration interval = std::min<Duration>(now - m_lastTick, MaximumTickInterval);
        m_tickInterval += (interval - m_tickInterval) / AveragedTicks;
    }
    m_lastTick = now;
}

Duration OwnerLateness::lateness() const
{
    return std::max<Duration>(m_tickInterval - UsualTickInterval, Duration::zero());
}

Duration OwnerLateness::minimumPollInterval() const
{
    return std::min<Duration>(lateness() * PollIntervalFactor, MaximumPollInterval);
}

} // namespace Hyssop
