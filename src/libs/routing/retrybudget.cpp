#include "retrybudget.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr double InitialRetries = 3; // lets a gateway that has had no success yet retry when a target stops
constexpr double MaximumBalance = 100; // bounds the burst of retries after a long time without failures
constexpr std::chrono::microseconds InitialDelayBound{5000};
constexpr std::chrono::microseconds MaximumDelayBound{250000};
constexpr int MaximumExponent = 6;

} // namespace Internal

RetryBudget::RetryBudget(double share)
    : m_share(share)
    , m_available(share > 0 ? Internal::InitialRetries : 0)
{
}

void RetryBudget::setShare(double share)
{
    m_share = share;
    if (share <= 0) {
        m_available = 0;
    }
}

void RetryBudget::recordSuccess()
{
    m_available = std::min(Internal::MaximumBalance, m_available + m_share);
}

bool RetryBudget::tryTake()
{
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

double RetryBudget::available() const
{
    return m_available;
}

std::chrono::microseconds fullJitterDelay(int retry, std::mt19937_64 &random)
{
    const int exponent = std::clamp(retry - 1, 0, Internal::MaximumExponent);
    const auto bound = std::min(Internal::MaximumDelayBound, Internal::InitialDelayBound * (1 << exponent));
    std::uniform_int_distribution<std::int64_t> distribution(0, bound.count());
    return std::chrono::microseconds(distribution(random));
}

} // namespace Hyssop
