#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// What an instance knows about the owner of the job topic.
struct OwnerEvidence
{
    bool hasClaim = false; // some instance has claimed the topic
    bool released = false; // the owner has given the topic up
    TimePoint lastRecordAt{}; // when the owner's newest record was read
    TimePoint loadedAt{}; // when the topic was loaded
};

/// Decides when an instance claims the job topic. Safety does not depend on it: the store lets only one claim succeed.
class ClaimRule
{
public:
    /// @p jitter is a random part of the delay that keeps instances apart. @p processorShare is how much of a core this
    /// instance has: instances with more claim first.
    ClaimRule(std::chrono::milliseconds jitter, double processorShare);

    /// Notes how long the store took for a call: instances near the store claim first.
    void noteStoreLatency(std::chrono::milliseconds latency);

    bool shouldClaim(const OwnerEvidence &evidence, TimePoint now) const;

private:
    std::chrono::milliseconds m_jitter;
    std::chrono::milliseconds m_sizeDelay;
    std::chrono::milliseconds m_storeLatency{0};
};

} // namespace Hyssop
