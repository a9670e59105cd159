#include <jobs/jobentry.h>

#include <criterion/criterion.h>

#include <limits>

using namespace Hyssop;

// Guards against a snapshot record whose time overflows and makes an ended job expire at once or never.
Test(jobEntry, anOddTimeOfASnapshotDoesNotOverflow)
{
    Wire::JobSnapshot snapshot;
    snapshot.state = "finished";
    snapshot.changedAtMs = 1'700'000'000'000;
    cr_assert_eq(snapshotOf(entryOf(snapshot)).changedAtMs, snapshot.changedAtMs);
    snapshot.changedAtMs = std::numeric_limits<std::int64_t>::max();
    cr_expect_gt(entryOf(snapshot).changedAt.time_since_epoch().count(), 4'000'000'000'000'000'000);
    snapshot.changedAtMs = std::numeric_limits<std::int64_t>::max() / 1'000'000 + 1;
    cr_expect_gt(entryOf(snapshot).changedAt.time_since_epoch().count(), 0);
    snapshot.changedAtMs = std::numeric_limits<std::int64_t>::min();
    cr_expect_eq(entryOf(snapshot).changedAt.time_since_epoch().count(), 0);
}
