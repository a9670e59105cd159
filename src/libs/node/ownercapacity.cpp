#include "ownercapacity.h"

namespace Hyssop {

constexpr std::chrono::milliseconds Period{1000};
// A quarter of the ticks that are due if none is late. Starts and leases wait noticeably below that.
constexpr std::chrono::milliseconds MaximumTickInterval{80};

void OwnerCapacity::beginTerm(TimePoint now, bool isPresumedExceeded)
{
    *this = OwnerCapacity();
    m_periodBeganAt = now;
    m_isExceeded = isPresumedExceeded;
}

void OwnerCapacity::handleTick(TimePoint now)
{
    ++m_ticks;
    if (now - m_periodBeganAt < Period) {
        return;
    }
    m_isExceeded = (now - m_periodBeganAt) / m_ticks > MaximumTickInterval;
    m_periodBeganAt = now;
    m_ticks = 0;
}

} // namespace Hyssop
