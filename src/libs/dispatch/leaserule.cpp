#include "leaserule.h"

#include <algorithm>

namespace Hyssop {

// Leaves time for the order's way to the worker.
constexpr std::chrono::milliseconds LeaseMargin{250};
// Work goes on this long without the store before leases are no longer renewed.
constexpr std::chrono::milliseconds RenewalWithoutProof{3000};
constexpr std::chrono::milliseconds StartWithoutProof{2500};
// Covers the 2 % by which clocks may be slow, and the age of the clock readings.
constexpr std::chrono::milliseconds ClockMargin{600};

LeaseRule::LeaseRule(std::chrono::milliseconds longestLease)
    : m_lease(longestLease - LeaseMargin)
{
}

TimePoint LeaseRule::grantUntil(TimePoint now, TimePoint confirmedAt) const
{
    return std::min(now, confirmedAt + RenewalWithoutProof) + m_lease;
}

bool LeaseRule::mayStart(TimePoint now, TimePoint confirmedAt) const
{
    return now - confirmedAt < StartWithoutProof;
}

TimePoint LeaseRule::earlierLeasesEnd(TimePoint claimedAt, bool handedOver) const
{
    const auto renewal = handedOver ? std::chrono::milliseconds(0) : RenewalWithoutProof;
    return claimedAt + renewal + m_lease + ClockMargin;
}

} // namespace Hyssop
