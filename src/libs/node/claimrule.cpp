#include "claimrule.h"

#include <algorithm>

namespace Hyssop {

constexpr std::chrono::milliseconds OwnerSilence{1500};
constexpr int LatencyFactor = 6;
constexpr std::chrono::milliseconds LongestLatencyDelay{600};

ClaimRule::ClaimRule(std::chrono::milliseconds jitter)
    : m_jitter(jitter)
{
}

void ClaimRule::noteStoreLatency(std::chrono::milliseconds latency)
{
    m_storeLatency = latency;
}

bool ClaimRule::shouldClaim(const OwnerEvidence &evidence, TimePoint now) const
{
    const auto delay = std::min(m_storeLatency * LatencyFactor, LongestLatencyDelay) + m_jitter;
    if (!evidence.hasClaim) {
        return now - evidence.loadedAt >= delay;
    }
    const auto silence = evidence.released ? delay : OwnerSilence + delay;
    return now - std::max(evidence.lastRecordAt, evidence.loadedAt) >= silence;
}

} // namespace Hyssop
