#include "repeatedpollbudget.h"

#include <algorithm>
#include <chrono>

namespace Hyssop {

// With six lost responses in ten, a report takes 1.5 more polls on average.
constexpr double RepeatsPerResponse = 2;
constexpr double RepeatsPerRepeatedResponse = 1;
// Permitted also if nothing arrives, so that a small installation finds out when its workers respond again.
constexpr double RepeatsPerSecond = 20;
constexpr double MaximumAvailable = 60;

void RepeatedPollBudget::recordResponse(bool isRepeated)
{
    m_available = std::min(m_available + (isRepeated ? RepeatsPerRepeatedResponse : RepeatsPerResponse), MaximumAvailable);
}

bool RepeatedPollBudget::take(TimePoint now)
{
    const std::chrono::duration<double> passed = now - std::max(m_refilledAt, now - std::chrono::seconds(1));
    m_available = std::min(m_available + passed.count() * RepeatsPerSecond, MaximumAvailable);
    m_refilledAt = now;
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

} // namespace Hyssop
