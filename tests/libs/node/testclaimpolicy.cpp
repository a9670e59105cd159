#include <node/claimpolicy.h>
#include <node/queuelookup.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

} // namespace

Test(claimPolicy, anActiveOwnerIsNotReplaced)
{
    const ClaimPolicy policy(100ms, 1.0);
    cr_assert_not(policy.shouldClaim({true, false, false, 0, 1s}, Begin + 1s));
    cr_assert(policy.shouldClaim({true, false, false, 0, 2s}, Begin + 2s));
}

Test(claimPolicy, aReleasedTopicIsClaimedSoon)
{
    const ClaimPolicy policy(100ms, 1.0);
    cr_assert(policy.shouldClaim({true, true, false, 0, 200ms}, Begin + 200ms));
}

Test(claimPolicy, instancesFarFromTheStoreClaimLater)
{
    ClaimPolicy policy(0ms, 1.0);
    policy.recordStoreLatency(45ms);
    cr_assert_not(policy.shouldClaim({true, true, false, 0, 200ms}, Begin + 200ms));
    cr_assert(policy.shouldClaim({true, true, false, 0, 300ms}, Begin + 300ms));
}

Test(claimPolicy, theFirstClaimNeedsNoOwnerTimeout)
{
    const ClaimPolicy policy(50ms, 1.0);
    cr_assert(policy.shouldClaim({false, false, false, 0, 60ms}, Begin + 60ms));
}

Test(claimPolicy, smallInstancesLeaveTheTopicToLargeOnes)
{
    const ClaimPolicy small(0ms, 0.1);
    const ClaimPolicy large(100ms, 0.5);
    cr_assert(large.shouldClaim({true, true, false, 0, 200ms}, Begin + 200ms));
    cr_assert_not(small.shouldClaim({true, true, false, 0, 200ms}, Begin + 200ms));
    cr_assert(small.shouldClaim({true, true, false, 0, 1s}, Begin + 1s));
}

Test(claimPolicy, instancesSmallerThanTheLastOwnerWaitMuchLonger)
{
    const ClaimPolicy small(0ms, 0.1);
    const ClaimPolicy equal(0ms, 0.5);
    cr_assert(equal.shouldClaim({true, true, false, 0.5, 100ms}, Begin + 100ms));
    cr_assert_not(small.shouldClaim({true, true, false, 0.5, 1s}, Begin + 1s));
    cr_assert(small.shouldClaim({true, true, false, 0.5, 2s}, Begin + 2s));
}

Test(claimPolicy, anOverloadedOwnerLeavesTheTopicToOthers)
{
    ClaimPolicy policy(0ms, 1.0);
    policy.recordOverload(Begin);
    cr_assert_not(policy.shouldClaim({true, true, false, 0, 1s}, Begin + 1s));
    cr_assert(policy.shouldClaim({true, true, false, 0, 3s}, Begin + 3s));
}

Test(queueLookup, theLongestPrefixOnTheHostWins)
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
