#include "ownershippolicy.h"

#include <algorithm>

namespace Hyssop {

namespace {

// The stream is polled at least once a second; an older read means that the log is slow or unreachable.
constexpr std::chrono::milliseconds MaximumLogReadAge{2000};
// A claim whose answer was lost either appears in the stream within this time or is sent again. Extra claims are
// harmless.
constexpr std::chrono::milliseconds ClaimRepeatDelay{5000};
constexpr int MaximumBackoffFactor = 16;

} // namespace

OwnershipPolicy::OwnershipPolicy(OwnershipOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    drawJitter();
}

void OwnershipPolicy::ownerSeen(TimePoint seenAt)
{
    if (m_ownerSeenAt && seenAt <= *m_ownerSeenAt) {
        return;
    }
    m_ownerSeenAt = seenAt;
    m_claimProposedAt.reset();
}

void OwnershipPolicy::heartbeatReceived(TimePoint seenAt)
{
    m_backoffFactor = 1;
    ownerSeen(seenAt);
}

void OwnershipPolicy::ownershipLost()
{
    m_backoffFactor = std::min(m_backoffFactor * 2, MaximumBackoffFactor);
}

void OwnershipPolicy::logRead(TimePoint sentAt)
{
    m_logReadAt = sentAt;
}

void OwnershipPolicy::claimProposed(TimePoint now)
{
    m_claimProposedAt = now;
    drawJitter();
}

bool OwnershipPolicy::shouldClaim(TimePoint now)
{
    if (!m_ownerSeenAt) {
        // The timeout of an owner that was never seen starts with the first call.
        m_ownerSeenAt = now;
    }
    if (!m_logReadAt || now - *m_logReadAt > MaximumLogReadAge) {
        return false;
    }
    if (m_claimProposedAt && now - *m_claimProposedAt < ClaimRepeatDelay) {
        return false;
    }
    return now - *m_ownerSeenAt >= m_options.ownerTimeout * m_backoffFactor + m_jitter;
}

void OwnershipPolicy::drawJitter()
{
    std::uniform_int_distribution<std::int64_t> distribution(0, m_options.claimJitter.count());
    m_jitter = std::chrono::milliseconds(distribution(m_random));
}

} // namespace Hyssop
