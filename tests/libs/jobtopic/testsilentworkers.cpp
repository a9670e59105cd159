#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <limits>

using namespace Hyssop;

namespace {

constexpr std::size_t MostBytesPerWorker = 24; // every instance reads each record

Wire::SilentWorkers silentWorkers(std::size_t count)
{
    Wire::SilentWorkers silent;
    silent.term = 12;
    for (std::size_t index = 0; index < count; ++index) {
        Wire::SilentWorker &worker = silent.workers.emplace_back();
        worker.worker = "i-" + std::to_string(1'000'000'000 + index);
        worker.leaseMs = 9200;
    }
    return silent;
}

} // namespace

Test(silentWorkers, aRecordIsReadAsWritten)
{
    JobTable table;
    const std::string bytes = encode(silentWorkers(256));
    cr_assert_lt(bytes.size(), 256 * MostBytesPerWorker, "%zu bytes", bytes.size());
    cr_assert_eq(table.apply({5, silentWorkersKey(), bytes}).kind, JobKeyKind::SilentWorkers);
    cr_assert(table.silentWorkers() == silentWorkers(256));
    cr_assert_eq(table.silentWorkersOffset(), 5);
    cr_assert_eq(table.malformedRecords(), 0);
}

Test(silentWorkers, anOlderRecordDoesNotReplaceANewerOne)
{
    JobTable table;
    table.apply({5, silentWorkersKey(), encode(silentWorkers(1))});
    table.apply({3, silentWorkersKey(), encode(silentWorkers(2))});
    cr_assert_eq(table.silentWorkers()->workers.size(), 1);
}

// Guards against the use of a record that a later one replaces, which can't be read: the later one permits a lease.
Test(silentWorkers, aRecordThatCannotBeReadReplacesTheOneBefore)
{
    Wire::SilentWorkers negative = silentWorkers(1);
    negative.workers[0].leaseMs = -1;
    Wire::SilentWorkers endless = silentWorkers(1);
    endless.workers[0].leaseMs = std::numeric_limits<std::int64_t>::max();
    Wire::SilentWorkers early = silentWorkers(1);
    early.term = -1;
    for (const std::string &odd : {std::string("odd"), encode(negative), encode(endless), encode(early), encode(silentWorkers(1001))}) {
        JobTable table;
        table.apply({5, silentWorkersKey(), encode(silentWorkers(1))});
        table.apply({6, silentWorkersKey(), odd});
        cr_expect_not(table.silentWorkers());
        cr_expect_eq(table.malformedRecords(), 1);
    }
    JobTable table;
    table.apply({5, silentWorkersKey(), encode(silentWorkers(1))});
    table.apply({6, silentWorkersKey(), std::nullopt});
    cr_expect_not(table.silentWorkers());
}
