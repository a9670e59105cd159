#include "leasepolicy.h"

#include <algorithm>

namespace Hyssop {

// Leaves time for the order's way to the worker.
constexpr std::chrono::milliseconds DeliveryMargin{250};
// Work goes on this long without the store before leases are no longer renewed.
constexpr std::chrono::milliseconds MaximumRenewalProofAge{3000};
constexpr std::chrono::milliseconds MaximumStartProofAge{2500};
// Covers the 2 % by which clocks may be slow, and the age of the clock readings.
constexpr std::chrono::milliseconds ClockMargin{600};

LeasePolicy::LeasePolicy(std::chrono::milliseconds maximumLease)
    : m_leaseDuration(maximumLease - DeliveryMargin)
{
}

TimePoint LeasePolicy::latestLeaseEnd(TimePoint now, TimePoint confirmedAt) const
{
    return std::min(now, confirmedAt + MaximumRenewalProofAge) + m_leaseDuration;
}

bool LeasePolicy::canStart(TimePoint now, TimePoint confirmedAt) const
{
    return now - confirmedAt < MaximumStartProofAge;
}

TimePoint LeasePolicy::earlierLeasesEnd(TimePoint claimedAt, bool afterHandover) const
{
    const auto renewal = afterHandover ? std::chrono::milliseconds(0) : MaximumRenewalProofAge;
    return claimedAt + renewal + m_leaseDuration + ClockMargin;
}

} // namespace Hyssop
