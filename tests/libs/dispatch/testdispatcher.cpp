#include "dispatchworld.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

void assertNoViolation(const DispatchWorld &world)
{
    cr_assert(world.violations.empty(), "%s", world.violations.empty() ? "" : world.violations.front().c_str());
}

} // namespace

Test(dispatcher, runsAJobOfDependentSteps)
{
    DispatchWorld world(1);
    world.claim();
    world.run(500ms);
    world.submit("job", 3, 4);
    world.run(10s);
    cr_assert(world.isComplete("job"));
    cr_assert_eq(world.starts.size(), 12);
    assertNoViolation(world);
}

Test(dispatcher, aFailedTaskIsRepeatedUntilItsLimit)
{
    DispatchWorld world(2);
    world.faults.failedRuns = 1;
    world.claim();
    world.submit("job", 1, 1);
    world.run(40s);
    cr_assert_eq(world.phaseOf("job"), Wire::JobPhase::Failed);
    cr_assert_eq(world.starts.size(), 3);
    assertNoViolation(world);
}

Test(dispatcher, cancellationEndsEveryRun)
{
    DispatchWorld world(3);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    world.claim();
    world.submit("job", 1, 12);
    world.run(2s);
    cr_assert_eq(world.openRuns(), 12);
    world.cancel("job");
    world.run(1s);
    cr_assert_eq(world.openRuns(), 0);
    cr_assert_eq(world.phaseOf("job"), Wire::JobPhase::Cancelled);
}

Test(dispatcher, aNewOwnerAdoptsWhatRuns)
{
    DispatchWorld world(4);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(4s), RunEndReason::Completed, 0}; };
    world.claim();
    world.submit("job", 1, 10);
    world.run(2s);
    world.claim();
    world.run(8s);
    cr_assert(world.isComplete("job"));
    cr_assert_eq(world.starts.size(), 10, "every run was adopted, %zu starts", world.starts.size());
    assertNoViolation(world);
}

Test(dispatcher, aRunOnACutOffWorkerStartsElsewhereOnlyAfterItsLease)
{
    DispatchWorld world(5, 2);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    world.claim();
    world.submit("job", 1, 4);
    world.run(2s);
    world.worker(0).cutOff = true;
    world.run(30s);
    assertNoViolation(world);
    cr_assert_eq(world.openRuns(), 4);
    cr_assert_eq(world.worker(1).runCount(), 4);
}

Test(dispatcher, aNewOwnerWaitsForRunsThatItCannotReach)
{
    DispatchWorld world(6, 2);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    world.claim();
    world.submit("job", 1, 4);
    world.run(2s);
    world.worker(0).cutOff = true;
    world.claim();
    world.run(40s);
    assertNoViolation(world);
    cr_assert_eq(world.worker(1).runCount(), 4);
}

Test(dispatcher, noStartWithoutRecentProofOfOwnership)
{
    DispatchWorld world(7);
    world.claim();
    world.run(1s);
    world.cutOwnerFromStore(20s);
    world.run(4s);
    world.submit("job", 1, 4);
    world.run(10s);
    cr_assert(world.starts.empty());
    world.run(20s);
    cr_assert(world.isComplete("job"));
}

Test(dispatcher, noStartWhileTheTopicIsReadTooSlowly)
{
    const TimePoint begin{1000s};
    JobTable table;
    Dispatcher dispatcher{DispatchLimits()};
    DispatchWorld world(15);
    dispatcher.begin(1, table, begin);
    dispatcher.confirmOwnership(begin + 10s); // an append was answered, but a cancellation may be unread
    cr_assert_geq(dispatcher.readAge(begin + 10s).count(), Duration(10s).count());
    world.claim();
    world.cutOwnerFromStore(10s);
    world.run(4s);
    world.submit("job", 1, 1);
    world.run(3s);
    cr_assert(world.starts.empty());
}

Test(dispatcher, noStartInAnEvacuatedFailureDomain)
{
    DispatchWorld world(8);
    world.claim();
    world.evacuated.insert("a");
    world.run(1s);
    world.submit("job", 2, 12);
    world.run(20s);
    cr_assert(world.isComplete("job"));
    for (const auto &[task, worker] : world.starts) {
        cr_assert_neq(worker, "w0");
        cr_assert_neq(worker, "w2");
    }
}

Test(dispatcher, aTaskBeyondEveryWorkerDoesNotBlockOthers)
{
    DispatchWorld world(9);
    world.claim();
    world.submit("large", 1, 1, [](Wire::TaskStep &step) { step.milliCores = 1'000'000; });
    world.submit("job", 2, 4);
    world.run(10s);
    cr_assert(world.isComplete("job"));
    cr_assert_eq(world.phaseOf("large"), Wire::JobPhase::Pending);
}

Test(dispatcher, commitsNoWorkerBeyondItsCapacity)
{
    DispatchWorld world(10, 2);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    world.claim();
    world.submit("job", 1, 20, [](Wire::TaskStep &step) { step.milliCores = 3000; });
    world.run(5s);
    cr_assert_eq(world.worker(0).runCount(), 2);
    cr_assert_eq(world.worker(1).runCount(), 2);
}

Test(dispatcher, atMostTheAllowedTasksOfAStepOnOneWorker)
{
    DispatchWorld world(11);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    world.claim();
    world.submit("job", 1, 20, [](Wire::TaskStep &step) { step.perWorker = 2; });
    world.run(5s);
    for (std::size_t index = 0; index < 6; ++index) {
        cr_assert_eq(world.worker(index).runCount(), 2);
    }
}

Test(dispatcher, aGangStartsTogetherOrNotAtAll)
{
    DispatchWorld world(12, 2);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1s), RunEndReason::Completed, 0}; };
    world.claim();
    const auto gang = [](Wire::TaskStep &step) {
        step.gang = true;
        step.milliCores = 4000;
    };
    world.submit("tooWide", 1, 5, gang);
    world.submit("fits", 1, 4, gang);
    world.run(6s);
    cr_assert(world.isComplete("fits"));
    cr_assert(std::ranges::none_of(world.starts, [](const auto &start) { return start.first.job == "tooWide"; }));
}

Test(dispatcher, servingTasksAreRestartedHoweverTheyEnd)
{
    DispatchWorld world(13);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(2s), RunEndReason::Failed, 5}; };
    world.claim();
    world.submit("service", 1, 2, [](Wire::TaskStep &step) { step.longRunning = true; });
    world.run(30s);
    cr_assert_geq(world.starts.size(), 10);
    cr_assert_eq(world.phaseOf("service"), Wire::JobPhase::Running);
}

/// Callers see it as lost if a serving task waits for 3 s while a worker has room for it.
Test(dispatcher, theReserveForShortTasksHoldsNoServingTaskBackForLong)
{
    DispatchWorld world(16, 2);
    world.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 5}; };
    world.claim();
    world.run(1s);
    world.submit("service", 1, 15, [](Wire::TaskStep &step) {
        step.longRunning = true;
        step.milliCores = 1000;
    });
    world.run(1s);
    cr_assert_lt(world.openRuns(), 15, "some room is left to short tasks at first");
    world.run(1700ms);
    cr_assert_eq(world.openRuns(), 15);
}

/// Callers count a job as waiting until a worker has begun one of its tasks.
Test(dispatcher, aJobWhoseStartNoWorkerConfirmsStillWaits)
{
    DispatchWorld world(17, 2);
    world.claim();
    world.run(1s);
    world.worker(0).cutOff = true;
    world.worker(1).cutOff = true;
    world.submit("job", 1, 1);
    world.run(500ms);
    cr_assert_eq(world.phaseOf("job"), Wire::JobPhase::Pending);
    world.worker(0).cutOff = false;
    world.worker(1).cutOff = false;
    world.run(20s);
    cr_assert(world.isComplete("job"));
}

Test(dispatcher, lateAndLostOrdersDoubleNothing)
{
    DispatchWorld world(14);
    world.faults = {0.1, 0.1, 0};
    world.claim();
    for (int job = 0; job < 20; ++job) {
        world.submit("job" + std::to_string(job), 2, 3);
        world.run(500ms);
    }
    world.run(40s);
    assertNoViolation(world);
    for (int job = 0; job < 20; ++job) {
        cr_assert(world.isComplete("job" + std::to_string(job)), "job%d", job);
    }
}
