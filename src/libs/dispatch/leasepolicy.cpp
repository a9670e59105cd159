#include "leasepolicy.h"

#include "workerclock.h"

#include <algorithm>

namespace Hyssop {

// Without a proof of its end, a run counts as ended when its lease must have expired, so the lease bounds how long a serving
// task is without a run. Callers consider it lost after 9 s; the rest is a reserve.
constexpr std::chrono::milliseconds PromisedAbsence{7000};
// Until the owner notices the end of the lease, and 2 % of the age of the clock reading from which the end is computed.
constexpr std::chrono::milliseconds DetectionMargin{100};
// Until the intent of the next run is durable: the wait for a full batch, and the append.
constexpr std::chrono::milliseconds BatchMargin{350};
// From the start command until the run begins, on a bad path.
constexpr std::chrono::milliseconds StartMargin{800};
// Longest lease that a worker with the slowest clock ends in time for the promise.
constexpr std::chrono::milliseconds PromisedLease = (PromisedAbsence - DetectionMargin - BatchMargin - StartMargin) * WorkerClock::SlowestPercent / 100;
// Time for the command to reach the worker.
constexpr std::chrono::milliseconds DeliveryMargin{250};
// An owner that can't reach the store renews leases, and so keeps runs alive, for this long.
constexpr std::chrono::milliseconds MaximumRenewalProofAge{3000};
constexpr std::chrono::milliseconds MaximumStartProofAge{2500};
// Covers worker clocks that are up to 2 % slow, and the age of their readings.
constexpr std::chrono::milliseconds ClockMargin{600};

LeasePolicy::LeasePolicy(std::chrono::milliseconds maximumLease)
    : m_leaseDuration(std::min(maximumLease - DeliveryMargin, PromisedLease))
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
