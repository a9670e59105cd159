#include "singleworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <dispatch/servingroom.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr WallTime Wall{1'000'000h};
constexpr std::int64_t Capacity = 100'000;
constexpr std::int64_t Reserve = 8'000; // for short tasks without demand

Wire::StepJob servingJob(int tasks, std::int64_t milliCores)
{
    Wire::StepJob job;
    job.queue = "batch";
    job.steps.resize(1);
    job.steps[0].taskCount = tasks;
    job.steps[0].milliCores = milliCores;
    job.steps[0].longRunning = true;
    return job;
}

struct Fixture
{
    explicit Fixture(const Wire::StepJob &job)
    {
        Testing::beginWithSingleWorker(dispatcher, job, Capacity, {Begin, Begin});
        dispatcher.confirmRead(Begin);
    }

    void submit(const std::string &jobId, const Wire::StepJob &job)
    {
        table.apply({1, submissionKey(jobId), encode(job)});
        dispatcher.jobChanged(jobId, table.find(jobId), Begin, Wall);
    }

    std::int64_t room()
    {
        const std::vector<ServingRoom> rooms = dispatcher.servingRoom();
        cr_assert_eq(rooms.size(), 1);
        cr_assert_eq(rooms[0].workerPool, "hall");
        cr_assert_eq(rooms[0].capacity, Capacity);
        return rooms[0].milliCores;
    }

    JobTable table;
    Dispatcher dispatcher{DispatchLimits()};
};

} // namespace

/// A serving job that is accepted and not placed yet will take its capacity.
Test(servingRoom, acceptedServingJobsTakeRoomBeforeTheyArePlaced)
{
    Fixture fixture(servingJob(4, 5'000));
    fixture.dispatcher.confirmWorkersRead(Begin);
    cr_assert_eq(fixture.room(), Capacity - Reserve - 20'000);
    fixture.dispatcher.advance(Begin, Wall);
    cr_assert_eq(fixture.room(), Capacity - Reserve - 20'000);
    fixture.submit("second", servingJob(2, 40'000));
    cr_assert_eq(fixture.room(), Capacity - Reserve - 100'000, "less than none");
}

Test(servingRoom, aCancelledServingJobReturnsItsRoom)
{
    Fixture fixture(servingJob(4, 5'000));
    fixture.dispatcher.confirmWorkersRead(Begin);
    fixture.table.apply({0, submissionKey("j"), encode(servingJob(4, 5'000))});
    fixture.table.apply({1, cancellationKey("j"), "1"});
    fixture.dispatcher.jobChanged("j", fixture.table.find("j"), Begin, Wall);
    cr_assert_eq(fixture.room(), Capacity - Reserve);
}

/// Capacity is not taken from best-effort tasks; what short tasks need is the reserve.
Test(servingRoom, otherTasksTakeRoomOnlyThroughTheReserve)
{
    Wire::StepJob job = servingJob(4, 5'000);
    job.steps[0].fillsIdle = true;
    Fixture fixture(job);
    fixture.dispatcher.confirmWorkersRead(Begin);
    cr_assert_eq(fixture.room(), Capacity - Reserve);
    job.steps[0].fillsIdle = false;
    job.steps[0].longRunning = false;
    fixture.submit("short", job);
    cr_assert_eq(fixture.room(), Capacity - Reserve);
    fixture.dispatcher.advance(Begin, Wall);
    cr_assert_lt(fixture.room(), Capacity - Reserve, "the reserve follows the demand");
    cr_assert_geq(fixture.room(), Capacity * 3 / 4);
}

/// A new owner that does not know all workers yet would publish too little room.
Test(servingRoom, noRoomIsKnownBeforeTheWorkersAre)
{
    Fixture fixture(servingJob(4, 5'000));
    cr_assert(fixture.dispatcher.servingRoom().empty());
}

Test(servingRoom, aDrainingWorkerOffersNoRoom)
{
    Fixture fixture(servingJob(4, 5'000));
    fixture.dispatcher.confirmWorkersRead(Begin);
    WorkerInfo worker;
    worker.id = "w";
    worker.workerPool = "hall";
    worker.address = "127.0.0.1:1";
    worker.capacity.milliCores = Capacity;
    worker.draining = true;
    fixture.dispatcher.updateWorker(worker);
    cr_assert(fixture.dispatcher.servingRoom().empty());
}
