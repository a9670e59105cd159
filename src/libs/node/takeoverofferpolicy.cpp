#include "takeoverofferpolicy.h"

#include "hyssop_types.h"

#include <utility>

namespace Hyssop {

// An overloaded owner reads the offer late, and finishes its appends before it releases the topic.
constexpr std::chrono::milliseconds ReleaseTimeout{2500};
// The time in which the sender of another offer should own the topic, by a release or by a claim.
constexpr std::chrono::milliseconds OtherOfferTimeout{4000};

TakeoverOfferPolicy::TakeoverOfferPolicy(std::string instance, double processorShare, std::chrono::milliseconds delay)
    : m_instance(std::move(instance))
    , m_processorShare(processorShare)
    , m_delay(delay)
{
}

StandbyAction
TakeoverOfferPolicy::handleRead(const std::optional<Wire::TopicClaim> &claim, const std::optional<Wire::TakeoverOffer> &newestOffer, TimePoint now)
{
    const bool canHelp = claim && claim->overloaded && !claim->released && claim->processorShare < m_processorShare;
    if (!canHelp) {
        m_term.reset();
        return StandbyAction::None;
    }
    if (m_term != claim->term) {
        m_term = claim->term;
        m_overloadReadAt = now;
        m_offeredAt.reset();
    }
    if (m_offeredAt && now - *m_offeredAt < ReleaseTimeout) {
        return StandbyAction::None;
    }
    if (m_offeredAt) {
        m_offeredAt = now; // a claim that fails is repeated after the same time
        return StandbyAction::Claim;
    }
    const bool isOtherOffering = newestOffer && newestOffer->instance != m_instance && canRelieve(*newestOffer, claim->term, claim->processorShare);
    const Duration delay = m_delay + (isOtherOffering ? OtherOfferTimeout : std::chrono::milliseconds::zero());
    if (now - m_overloadReadAt < delay) {
        return StandbyAction::None;
    }
    m_offeredAt = now;
    return StandbyAction::OfferTakeover;
}

bool canRelieve(const Wire::TakeoverOffer &offer, std::int64_t term, double processorShare)
{
    return offer.term == term && offer.processorShare > processorShare;
}

} // namespace Hyssop
