#include "retrybackoff.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr std::chrono::milliseconds RetryDelay{250};
// To 1 s at most, less than a read that timed out took, so that a store that responds again is noticed soon.
constexpr int MaximumDoublings = 2;

} // namespace Internal

RetryBackoff::RetryBackoff(std::minstd_rand::result_type seed)
    : m_random(seed)
{
}

std::chrono::milliseconds RetryBackoff::next(ErrorCode code)
{
    if (code != ErrorCode::Timeout) {
        return Internal::RetryDelay;
    }
    const std::chrono::milliseconds longest = Internal::RetryDelay * (1 << m_timeouts);
    m_timeouts = std::min(m_timeouts + 1, Internal::MaximumDoublings);
    std::uniform_int_distribution<std::chrono::milliseconds::rep> delay(longest.count() / 2, longest.count());
    return std::chrono::milliseconds(delay(m_random));
}

void RetryBackoff::reset()
{
    m_timeouts = 0;
}

} // namespace Hyssop
