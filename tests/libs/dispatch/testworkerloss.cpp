#include "dispatchsimulation.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

// Longest time that a serving task may be without a run while there is capacity, less the time for its start.
constexpr auto MaximumAbsence = 3s;
constexpr std::size_t Tasks = 6;

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
