#include "dispatchsimulation.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Workers = 4;
constexpr std::size_t Tasks = 8;
// Longest time that a serving task may be without a run while its worker responds.
constexpr auto MaximumAbsence = 3s;

void submitServingJob(DispatchSimulation &simulation, int tasks = Tasks)
{
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("serving", 1, tasks, [](Wire::TaskStep &step) { step.longRunning = true; });
}

/// Suspends the owner for good, and lets another instance claim.
void replaceOwner(DispatchSimulation &simulation)
{
    simulation.pauseOwner(1h);
    simulation.claim();
}

/// Lets another instance claim while the owner can't reach the store, and continues for as long as its proof of the ownership lasts.
void replaceOwnerWithoutStore(DispatchSimulation &simulation, Duration before)
{
    simulation.partitionOwnerFromStore(1h);
    simulation.run(before);
    simulation.claim();
}

const char *firstViolation(const DispatchSimulation &simulation)
{
    return simulation.violations.empty() ? "" : simulation.violations.front().c_str();
}

std::size_t busyWorker(DispatchSimulation &simulation)
{
    std::size_t index = 0;
    while (simulation.worker(index).runCount() == 0) {
        ++index;
    }
    return index;
}

} // namespace

// Guards against tasks whose intents an owner has stored, and whose start it has not sent, that wait for the end of earlier leases
// although their workers respond.
Test(takeovers, intentsOfSeveralEarlierOwnersAreReplacedOnceTheirWorkersReport)
{
    for (Duration interval = 10ms; interval <= 300ms; interval += 10ms) {
        DispatchSimulation simulation(1, Workers);
        submitServingJob(simulation);
        simulation.run(interval);
        replaceOwner(simulation);
        simulation.run(interval);
        replaceOwner(simulation);
        simulation.run(MaximumAbsence);
        cr_expect_eq(simulation.openRuns(), Tasks, "%zu tasks have a run after owners of %ld ms", simulation.openRuns(), static_cast<long>(interval / 1ms));
        cr_expect(simulation.violations.empty());
    }
}

// Guards against a wait for earlier leases that begins anew with each takeover.
Test(takeovers, tasksOfASilentWorkerDoNotWaitAnewWithEachTakeover)
{
    constexpr auto MaximumAbsenceAfterFirstClaim = 10s;
    constexpr auto Interval = 4s;
    DispatchSimulation simulation(1, Workers);
    submitServingJob(simulation);
    simulation.run(4s);
    cr_assert_eq(simulation.openRuns(), Tasks);
    simulation.restartWorker(busyWorker(simulation), 1h);
    cr_assert_lt(simulation.openRuns(), Tasks);
    const TimePoint firstClaimAt = simulation.now;
    int owners = 0;
    while (simulation.openRuns() < Tasks && simulation.now < firstClaimAt + 60s) {
        if (owners < 3 && simulation.now >= firstClaimAt + owners * Interval) {
            replaceOwner(simulation);
            ++owners;
        }
        simulation.run(10ms);
    }
    cr_expect_eq(owners, 3, "the takeovers were not in time: %d", owners);
    const auto absence = std::chrono::duration_cast<std::chrono::milliseconds>(simulation.now - firstClaimAt);
    cr_expect_leq(
        absence.count(), std::chrono::milliseconds(MaximumAbsenceAfterFirstClaim).count(), "absent for %lld ms", static_cast<long long>(absence.count()));
    cr_expect(simulation.violations.empty());
}

// Guards against a lease that an owner grants to a worker of which its last record says that it has none.
Test(takeovers, aWorkerThatReturnsBetweenTheRecordAndTheTakeoverRunsNoTaskTwice)
{
    for (Duration returnsAfter = 400ms; returnsAfter <= 5600ms; returnsAfter += 400ms) {
        for (Duration lasts = 0ms; lasts <= 800ms; lasts += 40ms) {
            for (const bool isPaused : {false, true}) {
                DispatchSimulation simulation(1, Workers);
                submitServingJob(simulation);
                simulation.run(4s);
                SimulatedWorker &worker = simulation.worker(busyWorker(simulation));
                worker.unreachable = true;
                replaceOwner(simulation);
                simulation.run(returnsAfter);
                worker.unreachable = false;
                if (isPaused) {
                    simulation.run(lasts);
                    replaceOwner(simulation);
                } else {
                    replaceOwnerWithoutStore(simulation, lasts);
                }
                worker.unreachable = true;
                simulation.run(20s);
                const auto returnMs = static_cast<long>(returnsAfter / 1ms);
                const auto contactMs = static_cast<long>(lasts / 1ms);
                cr_expect(simulation.violations.empty(), "return after %ld ms for %ld ms: %s", returnMs, contactMs, firstViolation(simulation));
                cr_expect_eq(simulation.openRuns(), Tasks, "return after %ld ms for %ld ms", returnMs, contactMs);
            }
        }
    }
}

// Guards against the use of a record of an owner that is not the last one. The last one may have granted leases.
Test(takeovers, aWorkerThatReportsToAnOwnerOfAShortTermRunsNoTaskTwice)
{
    for (Duration term = 100ms; term <= 3s; term += 100ms) {
        DispatchSimulation simulation(1, Workers);
        submitServingJob(simulation);
        simulation.run(4s);
        SimulatedWorker &worker = simulation.worker(busyWorker(simulation));
        worker.unreachable = true;
        replaceOwner(simulation);
        simulation.run(3s);
        worker.unreachable = false;
        replaceOwner(simulation);
        simulation.run(term);
        worker.unreachable = true;
        replaceOwner(simulation);
        simulation.run(20s);
        const auto termMs = static_cast<long>(term / 1ms);
        cr_expect(simulation.violations.empty(), "term of %ld ms: %s", termMs, firstViolation(simulation));
        cr_expect_eq(simulation.openRuns(), Tasks, "term of %ld ms", termMs);
    }
}

// Guards against leases that are never renewed because a record that lists the worker stays the newest.
Test(takeovers, aListedWorkerThatReturnsKeepsItsRunsAndGetsOthers)
{
    DispatchSimulation simulation(1, Workers);
    submitServingJob(simulation, Tasks / 2);
    simulation.run(4s);
    const std::size_t index = busyWorker(simulation);
    SimulatedWorker &worker = simulation.worker(index);
    const std::size_t runs = worker.runCount();
    worker.unreachable = true;
    replaceOwner(simulation);
    simulation.run(3s);
    worker.unreachable = false;
    simulation.run(20s);
    cr_expect_eq(worker.runCount(), runs);
    cr_expect_eq(simulation.starts.size(), Tasks / 2, "a task was started again");
    simulation.submit("later", 1, 24, [](Wire::TaskStep &step) { step.longRunning = true; });
    simulation.run(3s);
    cr_expect_gt(worker.runCount(), runs);
    cr_expect(simulation.violations.empty());
}
