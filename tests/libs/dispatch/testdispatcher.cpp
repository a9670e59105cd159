#include "dispatchsimulation.h"

#include <dispatch/claimtimes.h>

#include <criterion/criterion.h>

#include <algorithm>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

void assertNoViolation(const DispatchSimulation &simulation)
{
    cr_assert(simulation.violations.empty(), "%s", simulation.violations.empty() ? "" : simulation.violations.front().c_str());
}

} // namespace

Test(dispatcher, runsAJobOfDependentSteps)
{
    DispatchSimulation simulation(1);
    simulation.claim();
    simulation.run(500ms);
    simulation.submit("job", 3, 4);
    simulation.run(10s);
    cr_assert(simulation.isComplete("job"));
    cr_assert_eq(simulation.starts.size(), 12);
    assertNoViolation(simulation);
}

Test(dispatcher, aFailedTaskIsRetriedUpToItsLimit)
{
    DispatchSimulation simulation(2);
    simulation.faults.failedRuns = 1;
    simulation.claim();
    simulation.submit("job", 1, 1);
    simulation.run(40s);
    cr_assert_eq(simulation.phaseOf("job"), Wire::JobPhase::Failed);
    cr_assert_eq(simulation.starts.size(), 3);
    assertNoViolation(simulation);
}

Test(dispatcher, cancellationEndsEveryRun)
{
    DispatchSimulation simulation(3);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 12);
    simulation.run(2s);
    cr_assert_eq(simulation.openRuns(), 12);
    simulation.cancel("job");
    simulation.run(1s);
    cr_assert_eq(simulation.openRuns(), 0);
    cr_assert_eq(simulation.phaseOf("job"), Wire::JobPhase::Cancelled);
}

Test(dispatcher, aNewOwnerAdoptsRunningTasks)
{
    DispatchSimulation simulation(4);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(4s), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 10);
    simulation.run(2s);
    simulation.claim();
    simulation.run(8s);
    cr_assert(simulation.isComplete("job"));
    cr_assert_eq(simulation.starts.size(), 10, "every run was adopted, %zu starts", simulation.starts.size());
    assertNoViolation(simulation);
}

Test(dispatcher, noRunIsLostWhileANewOwnerLoadsTheWorkers)
{
    DispatchSimulation simulation(4);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(6s), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 10);
    simulation.run(2s);
    simulation.workerLoadTime = 2s;
    simulation.claim();
    simulation.run(10s);
    cr_assert(simulation.isComplete("job"));
    cr_assert_eq(simulation.starts.size(), 10, "every run was adopted, %zu starts", simulation.starts.size());
    assertNoViolation(simulation);
}

Test(dispatcher, noTaskRunsTwiceWhileANewOwnerLoadsTheWorkersForLongerThanALease)
{
    DispatchSimulation simulation(6, 2);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 4);
    simulation.run(2s);
    simulation.workerLoadTime = 20s;
    simulation.claim();
    simulation.run(40s);
    assertNoViolation(simulation);
    cr_assert_eq(simulation.openRuns(), 4);
}

Test(dispatcher, aJobCancelledWhileANewOwnerLoadsTheWorkersIsStopped)
{
    DispatchSimulation simulation(4);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 4);
    simulation.run(2s);
    simulation.workerLoadTime = 2s;
    simulation.claim();
    simulation.run(500ms);
    simulation.cancel("job");
    simulation.run(5s);
    cr_assert_eq(simulation.phaseOf("job"), Wire::JobPhase::Cancelled);
    std::size_t runs = 0;
    for (std::size_t index = 0; index < 6; ++index) {
        runs += simulation.worker(index).runCount();
    }
    cr_assert_eq(runs, 0, "%zu runs", runs);
    assertNoViolation(simulation);
}

Test(dispatcher, aRunOnAnUnreachableWorkerIsReplacedOnlyAfterItsLease)
{
    DispatchSimulation simulation(5, 2);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 4);
    simulation.run(2s);
    simulation.worker(0).unreachable = true;
    simulation.run(30s);
    assertNoViolation(simulation);
    cr_assert_eq(simulation.openRuns(), 4);
    cr_assert_eq(simulation.worker(1).runCount(), 4);
}

Test(dispatcher, aNewOwnerWaitsForLeasesOfUnreachableWorkers)
{
    DispatchSimulation simulation(6, 2);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 4);
    simulation.run(2s);
    simulation.worker(0).unreachable = true;
    simulation.claim();
    simulation.run(40s);
    assertNoViolation(simulation);
    cr_assert_eq(simulation.worker(1).runCount(), 4);
}

Test(dispatcher, noStartWithoutRecentProofOfOwnership)
{
    DispatchSimulation simulation(7);
    simulation.claim();
    simulation.run(1s);
    simulation.partitionOwnerFromStore(20s);
    simulation.run(4s);
    simulation.submit("job", 1, 4);
    simulation.run(10s);
    cr_assert(simulation.starts.empty());
    simulation.run(20s);
    cr_assert(simulation.isComplete("job"));
}

Test(dispatcher, noStartWhileReadingTheTopicLagsBehind)
{
    const TimePoint begin{1000s};
    JobTable table;
    Dispatcher dispatcher{DispatchLimits()};
    DispatchSimulation simulation(15);
    dispatcher.beginTerm(1, table, {begin, begin});
    dispatcher.confirmOwnership(begin + 10s); // an append was answered, but a cancellation may be unread
    cr_assert_geq(dispatcher.readLag(begin + 10s).count(), Duration(10s).count());
    simulation.claim();
    simulation.partitionOwnerFromStore(10s);
    simulation.run(4s);
    simulation.submit("job", 1, 1);
    simulation.run(3s);
    cr_assert(simulation.starts.empty());
}

Test(dispatcher, noStartInAnEvacuatedFailureDomain)
{
    DispatchSimulation simulation(8);
    simulation.claim();
    simulation.evacuated.insert("a");
    simulation.run(1s);
    simulation.submit("job", 2, 12);
    simulation.run(20s);
    cr_assert(simulation.isComplete("job"));
    for (const auto &[task, worker] : simulation.starts) {
        cr_assert_neq(worker, "w0");
        cr_assert_neq(worker, "w2");
    }
}

Test(dispatcher, aTaskLargerThanEveryWorkerDoesNotBlockOthers)
{
    DispatchSimulation simulation(9);
    simulation.claim();
    simulation.submit("large", 1, 1, [](Wire::TaskStep &step) { step.milliCores = 1'000'000; });
    simulation.submit("job", 2, 4);
    simulation.run(10s);
    cr_assert(simulation.isComplete("job"));
    cr_assert_eq(simulation.phaseOf("large"), Wire::JobPhase::Pending);
}

Test(dispatcher, doesNotOvercommitWorkers)
{
    DispatchSimulation simulation(10, 2);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 20, [](Wire::TaskStep &step) { step.milliCores = 3000; });
    simulation.run(5s);
    cr_assert_eq(simulation.worker(0).runCount(), 2);
    cr_assert_eq(simulation.worker(1).runCount(), 2);
}

Test(dispatcher, atMostTheAllowedTasksOfAStepOnOneWorker)
{
    DispatchSimulation simulation(11);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("job", 1, 20, [](Wire::TaskStep &step) { step.perWorker = 2; });
    simulation.run(5s);
    for (std::size_t index = 0; index < 6; ++index) {
        cr_assert_eq(simulation.worker(index).runCount(), 2);
    }
}

Test(dispatcher, aGangStartsTogetherOrNotAtAll)
{
    DispatchSimulation simulation(12, 2);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1s), RunEndReason::Completed, 0}; };
    simulation.claim();
    const auto gang = [](Wire::TaskStep &step) {
        step.gang = true;
        step.milliCores = 4000;
    };
    simulation.submit("tooWide", 1, 5, gang);
    simulation.submit("fits", 1, 4, gang);
    simulation.run(6s);
    cr_assert(simulation.isComplete("fits"));
    cr_assert(std::ranges::none_of(simulation.starts, [](const auto &start) { return start.first.job == "tooWide"; }));
}

Test(dispatcher, servingTasksAreRestartedHoweverTheyEnd)
{
    DispatchSimulation simulation(13);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(2s), RunEndReason::Failed, 5}; };
    simulation.claim();
    simulation.submit("service", 1, 2, [](Wire::TaskStep &step) { step.longRunning = true; });
    simulation.run(30s);
    cr_assert_geq(simulation.starts.size(), 10);
    cr_assert_eq(simulation.phaseOf("service"), Wire::JobPhase::Running);
}

/// Callers consider a serving task lost if it is pending for 3 s while a worker has enough free capacity.
Test(dispatcher, theReserveForShortTasksDelaysServingTasksOnlyBriefly)
{
    DispatchSimulation simulation(16, 2);
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 5}; };
    simulation.claim();
    simulation.run(1s);
    simulation.submit("service", 1, 15, [](Wire::TaskStep &step) {
        step.longRunning = true;
        step.milliCores = 1000;
    });
    simulation.run(1s);
    cr_assert_lt(simulation.openRuns(), 15, "some capacity is left to short tasks at first");
    simulation.run(1700ms);
    cr_assert_eq(simulation.openRuns(), 15);
}

/// A job counts as pending until a worker has confirmed a run of it.
Test(dispatcher, aJobWithoutAConfirmedRunIsPending)
{
    DispatchSimulation simulation(17, 2);
    simulation.claim();
    simulation.run(1s);
    simulation.worker(0).unreachable = true;
    simulation.worker(1).unreachable = true;
    simulation.submit("job", 1, 1);
    simulation.run(500ms);
    cr_assert_eq(simulation.phaseOf("job"), Wire::JobPhase::Pending);
    simulation.worker(0).unreachable = false;
    simulation.worker(1).unreachable = false;
    simulation.run(20s);
    cr_assert(simulation.isComplete("job"));
}

Test(dispatcher, delayedAndLostCommandsCauseNoDuplicateRuns)
{
    DispatchSimulation simulation(14);
    simulation.faults = {0.1, 0.1, 0};
    simulation.claim();
    for (int job = 0; job < 20; ++job) {
        simulation.submit("job" + std::to_string(job), 2, 3);
        simulation.run(500ms);
    }
    simulation.run(40s);
    assertNoViolation(simulation);
    for (int job = 0; job < 20; ++job) {
        cr_assert(simulation.isComplete("job" + std::to_string(job)), "job%d", job);
    }
}
