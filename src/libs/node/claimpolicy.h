#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// What an instance knows about the owner of the job topic.
struct OwnerObservation
{
    bool hasClaim = false; // some instance has claimed the topic
    bool released = false; // the owner has given the topic up
    double ownerShare = 0; // cores of the newest owner; 0: not known
    TimePoint lastRecordAt{}; // when the owner's newest record was read
    TimePoint loadedAt{}; // when the topic was loaded
};

/// Decides when an instance claims the job topic. Safety does not depend on it: the store lets only one claim succeed.
class ClaimPolicy
{
public:
    /// @p jitter is a random part of the delay that keeps instances apart. @p processorShare is how much of a core this
    /// instance has: instances with more claim first, and those with less than the last owner much later.
    ClaimPolicy(std::chrono::milliseconds jitter, double processorShare);

    /// Notes how long the store took for a call: instances near the store claim first.
    void recordStoreLatency(std::chrono::milliseconds latency);

    /// This instance could not keep up as the owner: it leaves the topic to others for a while.
    void recordOverload(TimePoint now);

    bool shouldClaim(const OwnerObservation &evidence, TimePoint now) const;

private:
    std::chrono::milliseconds m_jitter;
    double m_processorShare;
    std::chrono::milliseconds m_sizeDelay;
    TimePoint m_overloadedAt{};
    std::chrono::milliseconds m_storeLatency{0};
};

} // namespace Hyssop
