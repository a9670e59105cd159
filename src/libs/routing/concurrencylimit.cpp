#include "concurrencylimit.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr double DecreaseFactor = 0.9;
constexpr double SmallestShare = 0.1; // of the contract's concurrency, so that a slow target is not starved
constexpr int OverloadFactor = 2; // times the latency objective
// All requests of one overload are in flight together; they must count as one.
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

void ConcurrencyLimit::releaseAfterAnswer(std::chrono::microseconds latency, TimePoint now)
{
    const bool isUsed = m_inFlight * 2 >= limit();
    release();
    if (m_objective.count() > 0 && latency > m_objective * Internal::OverloadFactor) {
        decrease(now);
        return;
    }
    // An unused limit says nothing about what the targets can take.
    if (isUsed) {
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
    if (now - m_decreasedAt < Internal::DecreaseInterval) {
        return;
    }
    m_decreasedAt = now;
    const double smallest = std::max(1.0, m_maximum * Internal::SmallestShare);
    m_limit = std::max(smallest, m_limit * Internal::DecreaseFactor);
}

} // namespace Hyssop
