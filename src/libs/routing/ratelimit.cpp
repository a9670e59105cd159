#include "ratelimit.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr double BurstSeconds = 0.25;

} // namespace Internal

RateLimit::RateLimit(double ratePerSecond, TimePoint now)
    : m_rate(ratePerSecond)
    , m_tokens(capacity())
    , m_refilledAt(now)
{
}

void RateLimit::setRate(double ratePerSecond)
{
    m_rate = ratePerSecond;
    m_tokens = std::min(m_tokens, capacity());
}

bool RateLimit::tryTake(TimePoint now, double admittedShare)
{
    const double seconds = std::chrono::duration<double>(std::max(Duration::zero(), now - m_refilledAt)).count();
    m_refilledAt = std::max(now, m_refilledAt);
    m_tokens = std::min(capacity(), m_tokens + seconds * m_rate * std::clamp(admittedShare, 0.0, 1.0));
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

double RateLimit::capacity() const
{
    return std::max(1.0, m_rate * Internal::BurstSeconds);
}

} // namespace Hyssop
