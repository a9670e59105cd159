#include "claimpolicy.h"

#include <algorithm>

namespace Hyssop {

constexpr std::chrono::milliseconds OwnerSilence{1500};
constexpr int LatencyFactor = 6;
constexpr std::chrono::milliseconds LongestLatencyDelay{600};
// An instance with this share of a core can own a large installation.
constexpr double AmpleProcessorShare = 0.5;
constexpr std::chrono::milliseconds LongestSizeDelay{300};
constexpr std::chrono::milliseconds SmallerThanOwnerDelay{1500};
constexpr std::chrono::milliseconds OverloadDelay{2000};
constexpr std::chrono::milliseconds OverloadMemory{60000};

static std::chrono::milliseconds sizeDelay(double processorShare)
{
    const double missing = 1 - std::min(1.0, processorShare / AmpleProcessorShare);
    return std::chrono::milliseconds(static_cast<int>(missing * LongestSizeDelay.count()));
}

ClaimPolicy::ClaimPolicy(std::chrono::milliseconds jitter, double processorShare)
    : m_jitter(jitter)
    , m_processorShare(processorShare)
    , m_sizeDelay(sizeDelay(processorShare))
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

bool ClaimPolicy::shouldClaim(const OwnerObservation &evidence, TimePoint now) const
{
    const double missing = evidence.ownerShare > 0 ? std::max(0.0, 1 - m_processorShare / evidence.ownerShare) : 0;
    auto delay = std::min(m_storeLatency * LatencyFactor, LongestLatencyDelay) + m_jitter + m_sizeDelay;
    delay += std::chrono::milliseconds(static_cast<int>(missing * SmallerThanOwnerDelay.count()));
    if (m_overloadedAt != TimePoint() && now - m_overloadedAt < OverloadMemory) {
        delay += OverloadDelay;
    }
    if (!evidence.hasClaim) {
        return now - evidence.loadedAt >= delay;
    }
    const auto silence = evidence.released ? delay : OwnerSilence + delay;
    return now - std::max(evidence.lastRecordAt, evidence.loadedAt) >= silence;
}

} // namespace Hyssop
