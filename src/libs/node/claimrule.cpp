#include "claimrule.h"

#include <algorithm>

namespace Hyssop {

constexpr std::chrono::milliseconds OwnerSilence{1500};
constexpr int LatencyFactor = 6;
constexpr std::chrono::milliseconds LongestLatencyDelay{600};
// An instance with this share of a core can own a large installation.
constexpr double AmpleProcessorShare = 0.5;
constexpr std::chrono::milliseconds LongestSizeDelay{300};

static std::chrono::milliseconds sizeDelay(double processorShare)
{
    const double missing = 1 - std::min(1.0, processorShare / AmpleProcessorShare);
    return std::chrono::milliseconds(static_cast<int>(missing * LongestSizeDelay.count()));
}

ClaimRule::ClaimRule(std::chrono::milliseconds jitter, double processorShare)
    : m_jitter(jitter)
    , m_sizeDelay(sizeDelay(processorShare))
{
}

void ClaimRule::noteStoreLatency(std::chrono::milliseconds latency)
{
    m_storeLatency = latency;
}

bool ClaimRule::shouldClaim(const OwnerEvidence &evidence, TimePoint now) const
{
    const auto delay = std::min(m_storeLatency * LatencyFactor, LongestLatencyDelay) + m_jitter + m_sizeDelay;
    if (!evidence.hasClaim) {
        return now - evidence.loadedAt >= delay;
    }
    const auto silence = evidence.released ? delay : OwnerSilence + delay;
    return now - std::max(evidence.lastRecordAt, evidence.loadedAt) >= silence;
}

} // namespace Hyssop
