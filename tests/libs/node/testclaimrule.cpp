#include <node/claimrule.h>
#include <node/queueindex.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

} // namespace

Test(claimRule, aLiveOwnerIsLeftAlone)
{
    const ClaimRule rule(100ms);
    cr_assert_not(rule.shouldClaim({true, false, Begin, Begin}, Begin + 1s));
    cr_assert(rule.shouldClaim({true, false, Begin, Begin}, Begin + 2s));
}

Test(claimRule, aReleasedTopicIsClaimedSoon)
{
    const ClaimRule rule(100ms);
    cr_assert(rule.shouldClaim({true, true, Begin, Begin}, Begin + 200ms));
}

Test(claimRule, instancesFarFromTheStoreClaimLater)
{
    ClaimRule rule(0ms);
    rule.noteStoreLatency(45ms);
    cr_assert_not(rule.shouldClaim({true, true, Begin, Begin}, Begin + 200ms));
    cr_assert(rule.shouldClaim({true, true, Begin, Begin}, Begin + 300ms));
}

Test(claimRule, theFirstClaimNeedsNoSilence)
{
    const ClaimRule rule(50ms);
    cr_assert(rule.shouldClaim({false, false, {}, Begin}, Begin + 60ms));
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
