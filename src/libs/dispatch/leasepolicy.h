#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// Limits the leases that the owner grants to workers. A lease expires a bounded time after the owner last had proof of its
/// ownership, so a new owner knows when the runs on an unreachable worker have ended. The duration follows from how long a
/// serving task may be without a run; a platform that permits less shortens it further.
class LeasePolicy
{
public:
    explicit LeasePolicy(std::chrono::milliseconds maximumLease);

    /// Returns the length of a lease.
    std::chrono::milliseconds leaseDuration() const { return m_leaseDuration; }

    /// Returns the latest end of a lease that is granted at @p now. @p confirmedAt is when the request was sent whose response
    /// last proved the ownership.
    TimePoint latestLeaseEnd(TimePoint now, TimePoint confirmedAt) const;

    /// Returns true if the ownership was proven recently enough to start runs.
    bool canStart(TimePoint now, TimePoint confirmedAt) const;

    /// Returns the time at which every lease granted by previous owners has expired. @p claimedAt is when the response to the
    /// claim arrived. @p afterHandover: the previous owner had stopped renewing leases before its release, and all leases
    /// granted by owners before it had expired.
    TimePoint earlierLeasesEnd(TimePoint claimedAt, bool afterHandover) const;

private:
    std::chrono::milliseconds m_leaseDuration;
};

} // namespace Hyssop
