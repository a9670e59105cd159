#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// Decides how long the owner may extend the leases of its workers. A lease ends a bounded time after the owner last had
/// proof of its ownership, so that a new owner knows when work on a worker that it can't reach has ended.
class LeasePolicy
{
public:
    explicit LeasePolicy(std::chrono::milliseconds maximumLease);

    /// Returns the time until which a lease may be granted at @p now. @p confirmedAt is when the call was sent whose
    /// answer proved the ownership.
    TimePoint latestLeaseEnd(TimePoint now, TimePoint confirmedAt) const;

    /// Returns true if the proof is recent enough to start work.
    bool canStart(TimePoint now, TimePoint confirmedAt) const;

    /// Returns the time at which every lease of earlier owners has ended. @p claimedAt is when the answer to the claim
    /// arrived. @p afterHandover: the earlier owner had stopped to renew leases, and no lease of a still earlier one was left.
    TimePoint earlierLeasesEnd(TimePoint claimedAt, bool afterHandover) const;

private:
    std::chrono::milliseconds m_leaseDuration;
};

} // namespace Hyssop
