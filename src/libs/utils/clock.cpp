#include "clock.h"

namespace Hyssop {

TimePoint Clock::now() const
{
    if (m_pausedAt) {
        return *m_pausedAt;
    }
    return std::chrono::steady_clock::now() + m_offset;
}

void Clock::pause()
{
    m_pausedAt = now();
}

void Clock::advance(Duration step)
{
    if (m_pausedAt) {
        *m_pausedAt += step;
    }
}

void Clock::resume()
{
    if (!m_pausedAt) {
        return;
    }
    m_offset = *m_pausedAt - std::chrono::steady_clock::now();
    m_pausedAt.reset();
}

std::chrono::milliseconds sinceEpoch(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

} // namespace Hyssop
