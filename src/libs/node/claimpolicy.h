#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// What an instance has observed about the owner of the job topic.
struct OwnerObservation
{
    bool hasClaim = false; // an instance has claimed the topic
    bool released = false; // the owner has released the topic, to any instance
    bool releasedToThis = false; // the owner has released the topic to this instance
    double ownerShare = 0; // cores of the most recent owner; 0: unknown
    Duration silence{0}; // without a record of the owner; see OwnerSilence
};

/// Decides when an instance claims ownership of the job topic. Safety does not depend on this class: the store accepts only one
/// claim per term.
class ClaimPolicy
{
public:
    /// @p jitter is a random part of the delay, which keeps instances from claiming at the same time. @p processorShare is the
    /// number of cores of this instance: instances with more cores claim earlier, and those with fewer than the last owner much
    /// later.
    ClaimPolicy(std::chrono::milliseconds jitter, double processorShare);

    /// Records the duration of a call to the store. Instances with a lower store latency claim earlier.
    void recordStoreLatency(std::chrono::milliseconds latency);

    /// Records that this instance was overloaded as the owner. It delays its claims for a while, so that others claim first.
    void recordOverload(TimePoint now);

    bool shouldClaim(const OwnerObservation &owner, TimePoint now) const;

private:
    std::chrono::milliseconds m_jitter;
    double m_processorShare;
    std::chrono::milliseconds m_processorShareDelay;
    TimePoint m_overloadedAt{};
    std::chrono::milliseconds m_storeLatency{0};
};

} // namespace Hyssop
