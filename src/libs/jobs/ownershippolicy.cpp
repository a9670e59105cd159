#include "ownershippolicy.h"

#include <algorithm>

namespace Hyssop {

namespace {

// The stream is polled at least once a second; an older read means that the log is slow or gone.
constexpr std::chrono::milliseconds LogReadLimit{2000};
// A claim whose answer was lost either shows up in the stream within this time or is repeated. Extra claims are harmless.
constexpr std::chrono::milliseconds ClaimRepeatDelay{5000};
constexpr int LargestSilenceFactor = 16;

} // namespace

OwnershipPolicy::OwnershipPolicy(OwnershipOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    drawJitter();
}

void OwnershipPolicy::noteOwner(TimePoint heardAt)
{
    if (m_heardAt && heardAt <= *m_heardAt) {
        return;
    }
    m_heardAt = heardAt;
    m_claimProposedAt.reset();
}

void OwnershipPolicy::noteHeartbeat(TimePoint heardAt)
{
    m_silenceFactor = 1;
    noteOwner(heardAt);
}

void OwnershipPolicy::noteDisplaced()
{
    m_silenceFactor = std::min(m_silenceFactor * 2, LargestSilenceFactor);
}

void OwnershipPolicy::noteLogRead(TimePoint sentAt)
{
    m_logReadAt = sentAt;
}

void OwnershipPolicy::noteClaimProposed(TimePoint now)
{
    m_claimProposedAt = now;
    drawJitter();
}

bool OwnershipPolicy::shouldClaim(TimePoint now)
{
    if (!m_heardAt) {
        // The silence of an owner that was never heard counts from the first call.
        m_heardAt = now;
    }
    if (!m_logReadAt || now - *m_logReadAt > LogReadLimit) {
        return false;
    }
    if (m_claimProposedAt && now - *m_claimProposedAt < ClaimRepeatDelay) {
        return false;
    }
    return now - *m_heardAt >= m_options.ownerSilence * m_silenceFactor + m_jitter;
}

void OwnershipPolicy::drawJitter()
{
    std::uniform_int_distribution<std::int64_t> distribution(0, m_options.claimJitter.count());
    m_jitter = std::chrono::milliseconds(distribution(m_random));
}

} // namespace Hyssop
