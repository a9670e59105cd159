#include <node/claimpolicy.h>
#include <node/queuelookup.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

} // namespace

Test(claimRule, aLiveOwnerIsLeftAlone)
{
    const ClaimPolicy rule(100ms, 1.0);
    cr_assert_not(rule.shouldClaim({true, false, 0, Begin, Begin}, Begin + 1s));
    cr_assert(rule.shouldClaim({true, false, 0, Begin, Begin}, Begin + 2s));
}

Test(claimRule, aReleasedTopicIsClaimedSoon)
{
    const ClaimPolicy rule(100ms, 1.0);
    cr_assert(rule.shouldClaim({true, true, 0, Begin, Begin}, Begin + 200ms));
}

Test(claimRule, instancesFarFromTheStoreClaimLater)
{
    ClaimPolicy rule(0ms, 1.0);
    rule.recordStoreLatency(45ms);
    cr_assert_not(rule.shouldClaim({true, true, 0, Begin, Begin}, Begin + 200ms));
    cr_assert(rule.shouldClaim({true, true, 0, Begin, Begin}, Begin + 300ms));
}

Test(claimRule, theFirstClaimNeedsNoSilence)
{
    const ClaimPolicy rule(50ms, 1.0);
    cr_assert(rule.shouldClaim({false, false, 0, {}, Begin}, Begin + 60ms));
}

Test(claimRule, smallInstancesLeaveTheTopicToLargeOnes)
{
    const ClaimPolicy small(0ms, 0.1);
    const ClaimPolicy large(100ms, 0.5);
    const OwnerObservation released{true, true, 0, Begin, Begin};
    cr_assert(large.shouldClaim(released, Begin + 200ms));
    cr_assert_not(small.shouldClaim(released, Begin + 200ms));
    cr_assert(small.shouldClaim(released, Begin + 1s));
}

Test(claimRule, instancesSmallerThanTheLastOwnerWaitMuchLonger)
{
    const ClaimPolicy small(0ms, 0.1);
    const ClaimPolicy equal(0ms, 0.5);
    const OwnerObservation released{true, true, 0.5, Begin, Begin};
    cr_assert(equal.shouldClaim(released, Begin + 100ms));
    cr_assert_not(small.shouldClaim(released, Begin + 1s));
    cr_assert(small.shouldClaim(released, Begin + 2s));
}

Test(claimRule, anOverloadedOwnerLeavesTheTopicToOthers)
{
    ClaimPolicy rule(0ms, 1.0);
    rule.recordOverload(Begin);
    cr_assert_not(rule.shouldClaim({true, true, 0, Begin, Begin}, Begin + 1s));
    cr_assert(rule.shouldClaim({true, true, 0, Begin, Begin}, Begin + 3s));
}

Test(queueIndex, theLongestPrefixOnTheHostWins)
{
    ClusterConfig config;
    config.queues["short"] = {.name = "short", .host = "a.example", .pathPrefix = "/q/"};
    config.queues["long"] = {.name = "long", .host = "a.example", .pathPrefix = "/q/deep/"};
    config.queues["other"] = {.name = "other", .host = "b.example", .pathPrefix = "/q/deep/er/"};
    cr_assert_eq(findQueue(config, "a.example", "/q/deep/1")->name, "long");
    cr_assert_eq(findQueue(config, "a.example:80", "/q/1")->name, "short");
    cr_assert_null(findQueue(config, "c.example", "/q/1"));
    cr_assert_null(findQueue(config, "a.example", "/x"));
}
