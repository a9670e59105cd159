#include <jobs/ownershippolicy.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against two running schedulers that can't reach each other and take ownership from each other every few
// seconds.
Test(ownershippolicy, backsOffAfterLosingOwnership)
{
    const TimePoint start;
    OwnershipPolicy policy({});
    policy.ownerSeen(start);
    policy.ownershipLost();
    policy.ownershipLost();
    policy.logRead(start + seconds(7));
    cr_assert(!policy.shouldClaim(start + seconds(7)));
    policy.logRead(start + seconds(9));
    cr_assert(policy.shouldClaim(start + seconds(9)));
    policy.heartbeatReceived(start + seconds(9));
    policy.logRead(start + seconds(12));
    cr_assert(policy.shouldClaim(start + seconds(12)));
}

// Guards against claims while the owner is active or the log is unreachable, and against a claim that is never made.
Test(ownershippolicy, claimsAfterOwnerTimeoutOnlyWithLog)
{
    const TimePoint start;
    OwnershipPolicy policy({});
    policy.ownerSeen(start);
    policy.logRead(start + seconds(1));
    cr_assert(!policy.shouldClaim(start + milliseconds(1999)));
    cr_assert(policy.shouldClaim(start + milliseconds(2500)));
    cr_assert(!policy.shouldClaim(start + seconds(5)), "the last read of the log is too old");
    policy.logRead(start + seconds(5));
    policy.ownerSeen(start + seconds(4));
    cr_assert(!policy.shouldClaim(start + seconds(5)));
    policy.logRead(start + seconds(7));
    cr_assert(policy.shouldClaim(start + seconds(7)));
    policy.claimProposed(start + seconds(7));
    cr_assert(!policy.shouldClaim(start + seconds(8)), "the claim is in flight");
}
