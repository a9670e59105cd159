#include "responsetimeoutpolicy.h"

#include <algorithm>

namespace Hyssop {

constexpr std::chrono::milliseconds PollTimeout{900};
constexpr std::chrono::milliseconds MaximumTimeout{2500};
// A lease has to outlast two responses, the first of which also delays the reading of the worker's clock, and the wait of a poll.
constexpr std::chrono::milliseconds LongestPollWait{1000};
constexpr int ResponsesPerLease = 2;
constexpr std::chrono::milliseconds SlowResponseTime{450};
constexpr std::chrono::milliseconds Interval{500};
constexpr int MinimumResponses = 8;
constexpr int LateShareDivisor = 2;
constexpr std::chrono::milliseconds DelayMemory{3000};

ResponseTimeoutPolicy::ResponseTimeoutPolicy(std::chrono::milliseconds leaseDuration)
    : m_extendedTimeout(std::clamp((leaseDuration - LongestPollWait) / ResponsesPerLease, PollTimeout, MaximumTimeout))
{
}

std::chrono::milliseconds ResponseTimeoutPolicy::pollTimeout(bool isInDoubt, TimePoint now) const
{
    return isInDoubt || isDelayed(now) ? m_extendedTimeout : PollTimeout;
}

void ResponseTimeoutPolicy::recordResponse(Duration responseTime, TimePoint now)
{
    const bool isLate = responseTime >= SlowResponseTime;
    if (now - m_intervalBeganAt >= Interval) {
        const bool isAdjacent = now - m_intervalBeganAt < 2 * Interval;
        m_previous = isAdjacent ? m_current : Responses();
        m_current = Responses();
        m_intervalBeganAt = now;
    }
    ++m_current.total;
    m_current.late += isLate ? 1 : 0;
    const int total = m_previous.total + m_current.total;
    const int late = m_previous.late + m_current.late;
    if (isLate && total >= MinimumResponses && late * LateShareDivisor >= total) {
        m_delayedUntil = now + DelayMemory;
    }
}

} // namespace Hyssop
