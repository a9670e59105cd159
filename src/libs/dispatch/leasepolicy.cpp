#include "leasepolicy.h"

#include <algorithm>

namespace Hyssop {

// Time for the command to reach the worker.
constexpr std::chrono::milliseconds DeliveryMargin{250};
// An owner that can't reach the store renews leases, and so keeps runs alive, for this long.
constexpr std::chrono::milliseconds MaximumRenewalProofAge{3000};
constexpr std::chrono::milliseconds MaximumStartProofAge{2500};
// Covers worker clocks that are up to 2 % slow, and the age of their readings.
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
