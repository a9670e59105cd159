#include "concurrencylimit.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr double DecreaseFactor = 0.9;
constexpr double MinimumShare = 0.1; // of the contract's concurrency, so that a slow target still gets requests
constexpr int OverloadFactor = 2; // times the latency objective
// The failures of all requests in flight during one overload must cause a single decrease.
constexpr std::chrono::milliseconds DecreaseInterval{100};

} // namespace Internal

ConcurrencyLimit::ConcurrencyLimit(int maximum, std::chrono::microseconds objective)
    : m_maximum(std::max(1, maximum))
    , m_objective(objective)
    , m_limit(m_maximum)
{
}

void ConcurrencyLimit::setBounds(int maximum, std::chrono::microseconds objective)
{
    const bool wasAtMaximum = limit() == m_maximum;
    m_maximum = std::max(1, maximum);
    m_objective = objective;
    m_limit = wasAtMaximum ? m_maximum : std::min<double>(m_limit, m_maximum);
}

bool ConcurrencyLimit::tryAcquire(double admittedShare)
{
    const int admitted = std::max(1, static_cast<int>(m_limit * std::clamp(admittedShare, 0.0, 1.0)));
    if (m_inFlight >= admitted) {
        return false;
    }
    ++m_inFlight;
    return true;
}

void ConcurrencyLimit::release()
{
    m_inFlight = std::max(0, m_inFlight - 1);
}

void ConcurrencyLimit::releaseAfterResponse(std::chrono::microseconds latency, TimePoint now)
{
    const bool isHalfUsed = m_inFlight * 2 >= limit();
    release();
    if (m_objective.count() > 0 && latency > m_objective * Internal::OverloadFactor) {
        decrease(now);
        return;
    }
    // Fast responses justify a higher limit only while at least half of the current one is in use.
    if (isHalfUsed) {
        m_limit = std::min<double>(m_maximum, m_limit + 1 / m_limit);
    }
}

void ConcurrencyLimit::releaseAfterOverload(TimePoint now)
{
    release();
    decrease(now);
}

int ConcurrencyLimit::limit() const
{
    return static_cast<int>(m_limit);
}

int ConcurrencyLimit::inFlight() const
{
    return m_inFlight;
}

void ConcurrencyLimit::decrease(TimePoint now)
{
    if (now - m_lastDecrease < Internal::DecreaseInterval) {
        return;
    }
    m_lastDecrease = now;
    const double minimum = std::max(1.0, m_maximum * Internal::MinimumShare);
    m_limit = std::max(minimum, m_limit * Internal::DecreaseFactor);
}

} // namespace Hyssop
