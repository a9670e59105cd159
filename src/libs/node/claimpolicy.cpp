#include "claimpolicy.h"

#include <algorithm>

namespace Hyssop {

constexpr std::chrono::milliseconds OwnerTimeout{1500};
constexpr int StoreLatencyFactor = 6;
constexpr std::chrono::milliseconds MaximumLatencyDelay{600};
// An instance with this share of a core can own the topic of a large installation.
constexpr double SufficientProcessorShare = 0.5;
constexpr std::chrono::milliseconds MaximumProcessorShareDelay{300};
constexpr std::chrono::milliseconds MaximumSmallerThanOwnerDelay{1500};
constexpr std::chrono::milliseconds OverloadDelay{2000};
constexpr std::chrono::milliseconds OverloadMemoryTime{60000};

static std::chrono::milliseconds processorShareDelay(double processorShare)
{
    const double shortfall = 1 - std::min(1.0, processorShare / SufficientProcessorShare);
    return std::chrono::milliseconds(static_cast<int>(shortfall * MaximumProcessorShareDelay.count()));
}

ClaimPolicy::ClaimPolicy(std::chrono::milliseconds jitter, double processorShare)
    : m_jitter(jitter)
    , m_processorShare(processorShare)
    , m_processorShareDelay(processorShareDelay(processorShare))
{
}

void ClaimPolicy::recordOverload(TimePoint now)
{
    m_overloadedAt = now;
}

void ClaimPolicy::recordStoreLatency(std::chrono::milliseconds latency)
{
    m_storeLatency = latency;
}

bool ClaimPolicy::shouldClaim(const OwnerObservation &owner, TimePoint now) const
{
    if (owner.releasedToThis) {
        return true;
    }
    const double shortfall = owner.ownerShare > 0 ? std::max(0.0, 1 - m_processorShare / owner.ownerShare) : 0;
    auto delay = std::min(m_storeLatency * StoreLatencyFactor, MaximumLatencyDelay) + m_jitter + m_processorShareDelay;
    delay += std::chrono::milliseconds(static_cast<int>(shortfall * MaximumSmallerThanOwnerDelay.count()));
    if (m_overloadedAt != TimePoint() && now - m_overloadedAt < OverloadMemoryTime) {
        delay += OverloadDelay;
    }
    if (!owner.hasClaim) {
        return owner.silence >= delay;
    }
    return owner.silence >= (owner.released ? delay : OwnerTimeout + delay);
}

} // namespace Hyssop
