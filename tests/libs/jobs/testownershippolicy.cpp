#include <jobs/ownershippolicy.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against two live schedulers that don't hear each other and take ownership from each other every few seconds.
Test(ownershippolicy, backsOffWhenDisplaced)
{
    const TimePoint start;
    OwnershipPolicy policy({});
    policy.noteOwner(start);
    policy.noteDisplaced();
    policy.noteDisplaced();
    policy.noteLogRead(start + seconds(7));
    cr_assert(!policy.shouldClaim(start + seconds(7)));
    policy.noteLogRead(start + seconds(9));
    cr_assert(policy.shouldClaim(start + seconds(9)));
    policy.noteHeartbeat(start + seconds(9));
    policy.noteLogRead(start + seconds(12));
    cr_assert(policy.shouldClaim(start + seconds(12)));
}

// Guards against claims while the owner lives or the log is away, and against a claim that is never made.
Test(ownershippolicy, claimsOnlyAfterSilenceWithLog)
{
    const TimePoint start;
    OwnershipPolicy policy({});
    policy.noteOwner(start);
    policy.noteLogRead(start + seconds(1));
    cr_assert(!policy.shouldClaim(start + milliseconds(1999)));
    cr_assert(policy.shouldClaim(start + milliseconds(2500)));
    cr_assert(!policy.shouldClaim(start + seconds(5)), "the last read of the log is too old");
    policy.noteLogRead(start + seconds(5));
    policy.noteOwner(start + seconds(4));
    cr_assert(!policy.shouldClaim(start + seconds(5)));
    policy.noteLogRead(start + seconds(7));
    cr_assert(policy.shouldClaim(start + seconds(7)));
    policy.noteClaimProposed(start + seconds(7));
    cr_assert(!policy.shouldClaim(start + seconds(8)), "the claim is under way");
}
