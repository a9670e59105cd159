#include "retrybudget.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr double InitialRetries = 3; // a gateway without successes yet still survives a target that just stopped
constexpr double LargestBalance = 100; // successes of a quiet hour must not pay for a burst of retries
constexpr std::chrono::microseconds FirstDelayBound{5000};
constexpr std::chrono::microseconds LargestDelayBound{250000};
constexpr int LargestExponent = 6;

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

void RetryBudget::noteSuccess()
{
    m_available = std::min(Internal::LargestBalance, m_available + m_share);
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
    const int exponent = std::clamp(retry - 1, 0, Internal::LargestExponent);
    const auto bound = std::min(Internal::LargestDelayBound, Internal::FirstDelayBound * (1 << exponent));
    std::uniform_int_distribution<std::int64_t> distribution(0, bound.count());
    return std::chrono::microseconds(distribution(random));
}

} // namespace Hyssop
