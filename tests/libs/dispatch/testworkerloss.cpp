#include "dispatchsimulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

// Longest time that a serving task may be without a run while there is capacity, less the time for its start.
constexpr auto MaximumAbsence = 3s;
constexpr std::size_t Tasks = 6;

// Longest time that a serving task may be without a run if nothing proves its end but its lease. Callers consider it lost after
// 9 s; the rest is a reserve.
constexpr std::chrono::milliseconds MaximumAbsenceUntilLeaseEnd = 7s;
// From the start command until the run begins, on a bad path.
constexpr std::chrono::milliseconds SlowDelivery = 800ms;
constexpr std::chrono::milliseconds LongestPermittedLease = 10s;
// From the end of an owner until another instance claims the topic.
constexpr std::chrono::milliseconds ClaimDelay = 2s;
constexpr std::chrono::milliseconds MaximumAbsenceAfterClaim = 10s;

DispatchLimits limitsWithLease(std::chrono::milliseconds maximumLease)
{
    DispatchLimits limits;
    limits.maximumLease = maximumLease;
    return limits;
}

SimulatedWorker::Run endlessRun(const TaskId &)
{
    return {0, TimePoint(1h), RunEndReason::Completed, 0};
}

void startServingJob(DispatchSimulation &simulation)
{
    simulation.plan = endlessRun;
    simulation.claim();
    simulation.submit("serving", 1, Tasks, [](Wire::TaskStep &step) { step.longRunning = true; });
    simulation.run(4s);
}

std::size_t busyWorker(DispatchSimulation &simulation)
{
    return simulation.worker(0).runCount() > 0 ? 0 : 1;
}

/// Advances the time until each task has a run, and returns how long that took.
std::chrono::milliseconds timeUntilAllRun(DispatchSimulation &simulation)
{
    const TimePoint begin = simulation.now;
    while (simulation.openRuns() < Tasks && simulation.now - begin < 60s) {
        simulation.run(10ms);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(simulation.now - begin);
}

/// Ends the runs of the worker without a trace right after a renewal of its lease, and returns how long its tasks have no run.
std::chrono::milliseconds absenceAfterSilentLoss(std::chrono::milliseconds maximumLease)
{
    DispatchSimulation simulation(1, 2, limitsWithLease(maximumLease));
    startServingJob(simulation);
    simulation.restartWorker(busyWorker(simulation), 60s);
    cr_assert_lt(simulation.openRuns(), Tasks);
    const std::chrono::milliseconds absence = timeUntilAllRun(simulation);
    cr_assert(simulation.violations.empty());
    return absence;
}

} // namespace

Test(workerLoss, runsOfACrashedWorkerAreReplacedBeforeTheirLeaseEnds)
{
    DispatchSimulation simulation(1, 2);
    startServingJob(simulation);
    cr_assert_eq(simulation.openRuns(), Tasks);
    simulation.crashWorker(busyWorker(simulation), 30s);
    cr_assert_lt(simulation.openRuns(), Tasks);
    simulation.run(MaximumAbsence);
    cr_assert_eq(simulation.openRuns(), Tasks, "%zu tasks have no run", Tasks - simulation.openRuns());
    cr_assert(simulation.violations.empty());
}

// Guards against second runs of tasks whose worker is cut off by a partition that answers with resets.
Test(workerLoss, runsOfAWorkerThatIsCutOffWithResetsAreNotReplacedWhileTheyRun)
{
    DispatchSimulation simulation(1, 2);
    startServingJob(simulation);
    const std::size_t cutOff = busyWorker(simulation);
    const std::size_t startsBefore = simulation.starts.size();
    simulation.cutOffWithResets(cutOff, 4s);
    simulation.run(3s);
    cr_assert_eq(simulation.starts.size(), startsBefore, "%zu starts elsewhere", simulation.starts.size() - startsBefore);
    simulation.run(10s);
    cr_assert_eq(simulation.openRuns(), Tasks);
    cr_assert(simulation.violations.empty(), "%s", simulation.violations.front().c_str());
}

Test(workerLoss, runsStoppedByALeavingWorkerAreReplacedBeforeTheirLeaseEnds)
{
    DispatchSimulation simulation(1, 2);
    startServingJob(simulation);
    const std::size_t leaving = busyWorker(simulation);
    simulation.drainWorker(leaving);
    while (simulation.worker(leaving).runCount() > 0) {
        simulation.run(10ms);
    }
    // The worker confirms the stops, but no later poll reaches it.
    simulation.worker(leaving).unreachable = true;
    simulation.unregisterWorker(leaving);
    simulation.run(MaximumAbsence);
    cr_assert_eq(simulation.openRuns(), Tasks, "%zu tasks have no run", Tasks - simulation.openRuns());
    cr_assert(simulation.violations.empty());
}

Test(workerLoss, runsOfAWorkerThatLeftBeforeATakeoverAreReplacedBeforeTheirLeaseEnds)
{
    DispatchSimulation simulation(1, 2);
    startServingJob(simulation);
    simulation.removeMachine(busyWorker(simulation));
    simulation.claim();
    simulation.run(MaximumAbsence);
    cr_assert_eq(simulation.openRuns(), Tasks, "%zu tasks have no run", Tasks - simulation.openRuns());
    cr_assert(simulation.violations.empty());
}

Test(workerLoss, runsOfAnUnregisteredWorkerThatStillExistsAreNotReplacedBeforeTheirLeaseEnds)
{
    DispatchSimulation simulation(1, 2);
    startServingJob(simulation);
    const std::size_t isolated = busyWorker(simulation);
    const std::size_t startsBefore = simulation.starts.size();
    simulation.worker(isolated).unreachable = true;
    simulation.unregisterWorker(isolated);
    simulation.run(MaximumAbsence);
    cr_assert_eq(simulation.starts.size(), startsBefore);
    simulation.run(30s);
    cr_assert_eq(simulation.openRuns(), Tasks);
    cr_assert(simulation.violations.empty());
}

Test(workerLoss, runsOfASilentWorkerAreReplacedInTimeHoweverLongTheLeasesMayBe)
{
    for (const std::chrono::milliseconds maximumLease : {std::chrono::milliseconds(6s), LongestPermittedLease}) {
        const std::chrono::milliseconds absence = absenceAfterSilentLoss(maximumLease) + SlowDelivery;
        cr_expect_leq(absence.count(),
                      MaximumAbsenceUntilLeaseEnd.count(),
                      "absent for %lld ms where leases may last %lld ms",
                      static_cast<long long>(absence.count()),
                      static_cast<long long>(maximumLease.count()));
    }
}

Test(workerLoss, runsOfASilentWorkerAreReplacedInTimeAfterATakeoverHoweverLongTheLeasesMayBe)
{
    for (const std::chrono::milliseconds maximumLease : {std::chrono::milliseconds(6s), LongestPermittedLease}) {
        DispatchSimulation simulation(1, 2, limitsWithLease(maximumLease));
        startServingJob(simulation);
        simulation.restartWorker(busyWorker(simulation), 60s);
        simulation.pauseOwner(60s);
        simulation.run(ClaimDelay);
        simulation.claim();
        const std::chrono::milliseconds absence = timeUntilAllRun(simulation);
        cr_expect_leq(absence.count(),
                      MaximumAbsenceAfterClaim.count(),
                      "absent for %lld ms after the claim where leases may last %lld ms",
                      static_cast<long long>(absence.count()),
                      static_cast<long long>(maximumLease.count()));
        cr_expect(simulation.violations.empty());
    }
}

// Guards against tasks of a lost worker that wait longer, because each start command that is sent to it until its silence is noticed
// lengthens the lease of all its runs.
Test(workerLoss, startsOnASilentWorkerDoNotDelayTheReplacementOfItsRuns)
{
    DispatchSimulation simulation(1, 2, limitsWithLease(LongestPermittedLease));
    startServingJob(simulation);
    simulation.plan = [](const TaskId &task) { return task.job == "serving" ? endlessRun(task) : SimulatedWorker::Run{0, TimePoint(300ms)}; };
    const auto servingRuns = [&] {
        std::size_t count = 0;
        for (const std::size_t index : {0U, 1U}) {
            count +=
                static_cast<std::size_t>(std::ranges::count_if(simulation.worker(index).runs(), [](const auto &run) { return run.first.job == "serving"; }));
        }
        return count;
    };
    simulation.restartWorker(busyWorker(simulation), 60s);
    const TimePoint lostAt = simulation.now;
    for (int job = 0; servingRuns() < Tasks && simulation.now - lostAt < 60s; ++job) {
        simulation.submit("short" + std::to_string(job), 1, 1);
        simulation.run(100ms);
    }
    const auto absence = std::chrono::duration_cast<std::chrono::milliseconds>(simulation.now - lostAt) + SlowDelivery;
    cr_expect_leq(absence.count(), MaximumAbsenceUntilLeaseEnd.count(), "absent for %lld ms", static_cast<long long>(absence.count()));
    cr_expect(simulation.violations.empty());
}
