#include "pollpacing.h"

#include <algorithm>

namespace Hyssop {

// Ticks of an owner that is in time come within this interval.
constexpr std::chrono::milliseconds UsualTickInterval{40};
// Part of the excess of the interval between ticks by which polls wait longer.
constexpr int ExcessFactor = 8;
constexpr int AveragedTicks = 8;
// A pause of the process says nothing about its load.
constexpr std::chrono::milliseconds MaximumTickInterval{500};

void PollPacing::handleTick(TimePoint now)
{
    if (m_lastTick != TimePoint()) {
        const Duration interval = std::min<Duration>(now - m_lastTick, MaximumTickInterval);
        m_tickInterval += (interval - m_tickInterval) / AveragedTicks;
    }
    m_lastTick = now;
}

Duration PollPacing::minimumInterval() const
{
    const Duration excess = std::max<Duration>(m_tickInterval - UsualTickInterval, Duration::zero());
    return std::min<Duration>(excess * ExcessFactor, MaximumInterval);
}

} // namespace Hyssop
