#include <node/takeoverofferpolicy.h>

#include "hyssop_types.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

Wire::TopicClaim claimOf(double processorShare, bool overloaded)
{
    Wire::TopicClaim claim;
    claim.instance = "owner";
    claim.term = 3;
    claim.processorShare = processorShare;
    claim.overloaded = overloaded;
    return claim;
}

Wire::TakeoverOffer offerOf(const std::string &instance, std::int64_t term, double processorShare)
{
    Wire::TakeoverOffer offer;
    offer.instance = instance;
    offer.term = term;
    offer.processorShare = processorShare;
    return offer;
}

struct Fixture
{
    StandbyAction readAfter(std::chrono::milliseconds time, const Wire::TopicClaim &claim) { return policy.handleRead(claim, newestOffer, Begin + time); }

    TakeoverOfferPolicy policy{"large", 0.5, 100ms};
    std::optional<Wire::TakeoverOffer> newestOffer;
};

} // namespace

Test(takeoverOfferPolicy, onlyAnOverloadedOwnerWithASmallerShareIsRelieved)
{
    Fixture fixture;
    for (const Wire::TopicClaim &claim : {claimOf(0.07, false), claimOf(0.5, true), claimOf(1, true)}) {
        cr_expect(fixture.readAfter(0s, claim) == StandbyAction::None);
        cr_expect(fixture.readAfter(5s, claim) == StandbyAction::None);
        cr_expect_not(fixture.policy.isOffering());
    }
    Wire::TopicClaim released = claimOf(0.07, true);
    released.released = true;
    cr_expect(fixture.readAfter(5s, released) == StandbyAction::None);
}

Test(takeoverOfferPolicy, oneOfferIsSentAfterTheDelay)
{
    Fixture fixture;
    cr_assert(fixture.readAfter(0ms, claimOf(0.07, true)) == StandbyAction::None);
    cr_assert(fixture.policy.isOffering());
    cr_assert(fixture.readAfter(100ms, claimOf(0.07, true)) == StandbyAction::OfferTakeover);
    cr_assert(fixture.readAfter(130ms, claimOf(0.07, true)) == StandbyAction::None);
}

Test(takeoverOfferPolicy, anOwnerThatDoesNotRespondIsReplaced)
{
    Fixture fixture;
    fixture.readAfter(0ms, claimOf(0.07, true));
    fixture.readAfter(100ms, claimOf(0.07, true));
    cr_assert(fixture.readAfter(2000ms, claimOf(0.07, true)) == StandbyAction::None);
    cr_assert(fixture.readAfter(2600ms, claimOf(0.07, true)) == StandbyAction::Claim);
    cr_assert(fixture.readAfter(2700ms, claimOf(0.07, true)) == StandbyAction::None);
    cr_assert(fixture.readAfter(5200ms, claimOf(0.07, true)) == StandbyAction::Claim);
}

// Guards against as many offers as there are instances.
Test(takeoverOfferPolicy, nothingIsOfferedWhileAnotherInstanceOffers)
{
    Fixture fixture;
    fixture.newestOffer = offerOf("other", 3, 0.5);
    fixture.readAfter(0ms, claimOf(0.07, true));
    cr_assert(fixture.readAfter(3s, claimOf(0.07, true)) == StandbyAction::None);
    cr_assert(fixture.readAfter(5s, claimOf(0.07, true)) == StandbyAction::OfferTakeover);
}

Test(takeoverOfferPolicy, offersOfAnotherTermOrOfNoLargerInstanceDoNotCount)
{
    cr_assert(canRelieve(offerOf("other", 3, 0.5), 3, 0.07));
    cr_assert_not(canRelieve(offerOf("other", 2, 0.5), 3, 0.07));
    cr_assert_not(canRelieve(offerOf("other", 3, 0.07), 3, 0.07));
    Fixture fixture;
    fixture.newestOffer = offerOf("other", 2, 0.5);
    fixture.readAfter(0ms, claimOf(0.07, true));
    cr_assert(fixture.readAfter(100ms, claimOf(0.07, true)) == StandbyAction::OfferTakeover);
}
