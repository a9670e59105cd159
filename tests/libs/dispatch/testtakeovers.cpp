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

void submitServingJob(DispatchSimulation &simulation)
{
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("serving", 1, Tasks, [](Wire::TaskStep &step) { step.longRunning = true; });
}

/// Suspends the owner for good, and lets another instance claim.
void replaceOwner(DispatchSimulation &simulation)
{
    simulation.pauseOwner(1h);
    simulation.claim();
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
    for (int owner = 0; owner < 3; ++owner) {
        replaceOwner(simulation);
        simulation.run(Interval);
    }
    while (simulation.openRuns() < Tasks && simulation.now < firstClaimAt + 60s) {
        simulation.run(10ms);
    }
    const auto absence = std::chrono::duration_cast<std::chrono::milliseconds>(simulation.now - firstClaimAt);
    cr_expect_leq(
        absence.count(), std::chrono::milliseconds(MaximumAbsenceAfterFirstClaim).count(), "absent for %lld ms", static_cast<long long>(absence.count()));
    cr_expect(simulation.violations.empty());
}
