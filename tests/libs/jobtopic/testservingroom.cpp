#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <cstdint>
#include <limits>

using namespace Hyssop;

namespace {

constexpr std::size_t MostRecordBytes = 100; // every instance reads each record of the room
constexpr std::size_t MostSubmissions = 4096;

Wire::ServingRoom room(std::int64_t readUpTo, std::int64_t milliCores = 7'000'000)
{
    Wire::ServingRoom value;
    value.term = 12;
    value.readUpTo = readUpTo;
    value.pools.resize(2);
    value.pools[0].workerPool = "hall";
    value.pools[0].milliCores = milliCores;
    value.pools[1].workerPool = "yard";
    value.pools[1].milliCores = -5;
    return value;
}

KeyedRecord servingSubmission(std::int64_t offset, const std::string &jobId)
{
    Wire::StepJob job;
    job.queue = "web";
    job.steps.resize(2);
    job.steps[0].taskCount = 24;
    job.steps[0].milliCores = 13'000;
    job.steps[0].longRunning = true;
    job.steps[1].milliCores = 1'000;
    return {offset, submissionKey(jobId), encode(job)};
}

} // namespace

Test(servingRoom, aPublishedRoomIsReadAsWritten)
{
    JobTable table;
    const std::string bytes = encode(room(123'456'789));
    cr_assert_lt(bytes.size() + servingRoomKey().size(), MostRecordBytes, "%zu bytes", bytes.size());
    cr_assert_eq(table.apply({5, servingRoomKey(), bytes}).kind, JobKeyKind::ServingRoom);
    cr_assert(table.servingRoom() == room(123'456'789));
    cr_assert_eq(table.malformedRecords(), 0);
}

Test(servingRoom, anOlderRoomDoesNotReplaceANewerOne)
{
    JobTable table;
    table.apply({5, servingRoomKey(), encode(room(5, 100))});
    table.apply({3, servingRoomKey(), encode(room(3, 900))});
    cr_assert_eq(table.servingRoom()->pools[0].milliCores, 100);
}

Test(servingRoom, aRemovedRoomIsUnknown)
{
    JobTable table;
    table.apply({5, servingRoomKey(), encode(room(5))});
    table.apply({6, servingRoomKey(), std::nullopt});
    cr_assert_not(table.servingRoom().has_value());
}

/// A job that the owner has subtracted must not be subtracted again, and one that it had not read must be.
Test(servingRoom, onlySubmissionsAfterTheRoomWasComputedCount)
{
    JobTable table;
    table.apply(servingSubmission(0, "before"));
    table.apply(servingSubmission(7, "between")); // read by the owner after the room was computed
    table.apply({8, servingRoomKey(), encode(room(7))});
    table.apply(servingSubmission(9, "after"));
    cr_assert_eq(table.servingSubmissionsSinceRoom().size(), 2);
    cr_assert_eq(table.servingSubmissionsSinceRoom().at(7).milliCores, 24 * 13'000);
    cr_assert_eq(table.servingSubmissionsSinceRoom().at(9).queue, "web");
}

/// An instance that starts loads the records in the order of their keys.
Test(servingRoom, submissionsThatAreLoadedAfterTheRoomAreNotCountedAgain)
{
    JobTable table;
    table.apply({8, servingRoomKey(), encode(room(7))});
    table.apply(servingSubmission(0, "before"));
    table.apply(servingSubmission(9, "after"));
    cr_assert_eq(table.servingSubmissionsSinceRoom().size(), 1);
}

Test(servingRoom, aResentSubmissionIsCountedOnce)
{
    JobTable table;
    table.apply(servingSubmission(0, "a"));
    table.apply(servingSubmission(1, "a"));
    cr_assert_eq(table.servingSubmissionsSinceRoom().size(), 1);
}

Test(servingRoom, withoutPublishedRoomTheListOfSubmissionsStaysBounded)
{
    JobTable table;
    for (std::size_t number = 0; number < MostSubmissions + 10; ++number) {
        table.apply(servingSubmission(static_cast<std::int64_t>(number), std::to_string(number)));
    }
    cr_assert_eq(table.servingSubmissionsSinceRoom().size(), MostSubmissions);
    cr_assert_eq(table.servingSubmissionsSinceRoom().begin()->first, 10, "the newest ones are kept");
}

Test(servingRoom, aRoomOutOfRangeIsIgnored)
{
    JobTable table;
    table.apply({0, servingRoomKey(), encode(room(0))});
    std::int64_t offset = 0;
    for (const std::int64_t milliCores : {std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max()}) {
        table.apply({++offset, servingRoomKey(), encode(room(0, milliCores))});
        cr_expect_eq(table.servingRoom()->pools[0].milliCores, 7'000'000);
    }
    table.apply({++offset, servingRoomKey(), encode(room(-1))});
    Wire::ServingRoom many = room(0);
    many.pools.resize(5000);
    table.apply({++offset, servingRoomKey(), encode(many)});
    table.apply({++offset, servingRoomKey(), "odd"});
    cr_assert_eq(table.malformedRecords(), 5);
    cr_assert(table.servingRoom() == room(0));
}
