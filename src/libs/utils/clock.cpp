#include "clock.h"

#include <ctime>

namespace Hyssop {

Clock::Clock(SuspendTime suspendTime)
    : m_suspendTime(suspendTime)
{
}

TimePoint Clock::now() const
{
    if (m_pausedAt) {
        return *m_pausedAt;
    }
    return sourceTime() + m_offset;
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
    m_offset = *m_pausedAt - sourceTime();
    m_pausedAt.reset();
}

TimePoint Clock::sourceTime() const
{
    timespec time{};
    if (m_suspendTime == SuspendTime::Ignored || clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return std::chrono::steady_clock::now();
    }
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::chrono::milliseconds sinceEpoch(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

} // namespace Hyssop
