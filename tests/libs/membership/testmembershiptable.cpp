#include <membership/membershiptable.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

static Wire::Heartbeat heartbeat(const std::string &instance, std::int64_t incarnation = 1, std::int64_t term = -1, bool owner = false)
{
    Wire::Heartbeat heartbeat;
    heartbeat.instance = instance;
    heartbeat.incarnation = incarnation;
    heartbeat.domain = "east-a";
    heartbeat.role = "scheduler";
    heartbeat.term = term;
    heartbeat.owner = owner;
    return heartbeat;
}

static const TimePoint Start{1h};

// Guards against wrong timeouts: another instance takes over only after they have expired.
Test(membershiptable, unresponsiveMembersBecomeSuspectAndDead)
{
    MembershipTable table;
    cr_assert(table.state("a", "scheduler", Start) == MemberState::Unknown);
    table.recordHeartbeat(heartbeat("a"), Start);
    cr_assert(table.state("a", "scheduler", Start + 1999ms) == MemberState::Alive);
    cr_assert(table.state("a", "scheduler", Start + 2s) == MemberState::Suspect);
    cr_assert_eq(table.heartbeats(Start + 4999ms).size(), 1);
    cr_assert(table.state("a", "scheduler", Start + 5s) == MemberState::Dead);
    cr_assert(table.heartbeats(Start + 5s).empty());
    cr_assert(table.state("a", "gateway", Start) == MemberState::Unknown);
    table.recordHeartbeat(heartbeat("a"), Start + 6s);
    cr_assert(table.state("a", "scheduler", Start + 6s) == MemberState::Alive);
}

// Guards against a delayed heartbeat of a process that has been restarted since.
Test(membershiptable, ignoresOlderIncarnations)
{
    MembershipTable table;
    cr_assert(table.recordHeartbeat(heartbeat("a", 5), Start));
    cr_assert_not(table.recordHeartbeat(heartbeat("a", 4, 9, true), Start + 3s));
    cr_assert(table.state("a", "scheduler", Start + 3s) == MemberState::Suspect);
    cr_assert_not(table.timeSinceOwnerHeartbeat("east-a", Start + 3s));
    cr_assert(table.recordHeartbeat(heartbeat("a", 6), Start + 3s));
}

// Guards against heartbeats of a previous owner that hide a failure of the current one.
Test(membershiptable, timeSinceOwnerHeartbeatFollowsTheHighestTerm)
{
    MembershipTable table;
    cr_assert_not(table.timeSinceOwnerHeartbeat("east-a", Start));
    table.recordHeartbeat(heartbeat("a", 1, 7, true), Start);
    table.recordHeartbeat(heartbeat("b", 1, 9, true), Start + 1s);
    table.recordHeartbeat(heartbeat("a", 1, 7, true), Start + 2s);
    table.recordHeartbeat(heartbeat("c", 1, 9, false), Start + 2s);
    cr_assert(table.timeSinceOwnerHeartbeat("east-a", Start + 3s) == 2s);
    cr_assert_not(table.timeSinceOwnerHeartbeat("east-b", Start));
    table.recordHeartbeat(heartbeat("b", 1, 9, true), Start + 4s);
    cr_assert(table.timeSinceOwnerHeartbeat("east-a", Start + 4s) == 0s);
}

// Guards against memory use that grows with every replaced instance.
Test(membershiptable, removesMembersThatStayDead)
{
    MembershipTable table;
    table.recordHeartbeat(heartbeat("a", 5), Start);
    table.recordHeartbeat(heartbeat("b"), Start + 11min);
    cr_assert(table.state("a", "scheduler", Start + 11min) == MemberState::Unknown);
}
