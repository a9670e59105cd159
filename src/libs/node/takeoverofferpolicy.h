#pragma once

#include "standbyaction.h"

#include <utils/clock.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Hyssop {

namespace Wire {
class TakeoverOffer;
class TopicClaim;
} // namespace Wire

/// Decides when a standby instance offers to take the job topic over from an owner whose processor does not carry its work.
///
/// Only an instance with a larger processor share offers, so ownership moves a few times at the most and never back, and an owner that no
/// larger instance can relieve keeps the topic. An owner that doesn't respond to the offer is replaced by a claim.
class TakeoverOfferPolicy
{
public:
    /// @p delay differs between instances, so that few offer at the same time.
    TakeoverOfferPolicy(std::string instance, double processorShare, std::chrono::milliseconds delay);

    /// Returns what to do after a read. An offer that is returned counts as sent.
    StandbyAction handleRead(const std::optional<Wire::TopicClaim> &claim, const std::optional<Wire::TakeoverOffer> &newestOffer, TimePoint now);

    /// Returns true while this instance may soon offer or has offered.
    bool isOffering() const { return m_term.has_value(); }

private:
    std::string m_instance;
    double m_processorShare;
    std::chrono::milliseconds m_delay;
    std::optional<std::int64_t> m_term; // of the owner that this instance could relieve
    TimePoint m_overloadReadAt{};
    std::optional<TimePoint> m_offeredAt;
};

/// Returns true if the owner of @p term, which has @p processorShare, should release the topic to the sender of @p offer.
bool canRelieve(const Wire::TakeoverOffer &offer, std::int64_t term, double processorShare);

} // namespace Hyssop
