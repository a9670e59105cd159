#include "dispatchsimulation.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Seeds = 200;
constexpr std::uint32_t ManySeeds = 3000;
constexpr std::uint32_t TakeoverSeeds = 200;
constexpr std::uint32_t LateOwnerSeeds = 100;
constexpr int Jobs = 30;
constexpr std::chrono::milliseconds WorkerLoadTimeStep{100}; // up to 20 s with all seeds

using CrashWorker = void (DispatchSimulation::*)(std::size_t index, Duration downTime);

/// Injects a random fault; faults may overlap and repeat.
void injectFault(DispatchSimulation &simulation, CrashWorker crash)
{
    switch (simulation.random(7)) {
    case 0:
        simulation.claim();
        break;
    case 1:
        simulation.pauseOwner(std::chrono::milliseconds(500 + simulation.random(12000)));
        simulation.claim();
        break;
    case 2:
        simulation.partitionOwnerFromStore(std::chrono::milliseconds(500 + simulation.random(9000)));
        break;
    case 3:
        simulation.partitionOwnerFromStore(std::chrono::milliseconds(500 + simulation.random(20000)));
        simulation.claim();
        break;
    case 4:
        (simulation.*crash)(static_cast<std::size_t>(simulation.random(6)), std::chrono::milliseconds(1500 + simulation.random(4000)));
        break;
    case 5:
        simulation.worker(static_cast<std::size_t>(simulation.random(6))).unreachable = true;
        break;
    default:
        for (std::size_t index = 0; index < 6; ++index) {
            simulation.worker(index).unreachable = false;
        }
    }
}

/// Describes the steps that waited too long beside free room.
std::string describeOverdueSteps(const DispatchSimulation &simulation)
{
    std::string text;
    for (const OverdueStep &overdue : simulation.overdueSteps) {
        text += overdue.step.toString() + " waited " + std::to_string(overdue.besideRoom.count()) + " ms beside room for " + std::to_string(overdue.places)
            + " tasks, " + std::to_string(overdue.assignedTasks) + " are assigned, " + std::to_string(overdue.waiting.suitableWorkers)
            + " workers are suitable\n";
    }
    return text;
}

void expectNoOverdueSteps(const std::string &overdueSteps, std::uint32_t seed)
{
    cr_assert(overdueSteps.empty(), "seed %u: %s", seed, overdueSteps.c_str());
}

/// Checks that the simulation saw a run of all accepted work in time, whatever the dispatcher believed.
void expectNoLostWaits(const DispatchSimulation &simulation, std::uint32_t seed)
{
    std::string text;
    for (const std::string &wait : simulation.lostWaits()) {
        text += "\n" + wait;
    }
    cr_expect(text.empty(), "seed %u:%s", seed, text.c_str());
}

struct LateOwner
{
    OwnerStalls stalls;
    std::size_t maximumResponses = 0; // in a tick
};

/// Returns the steps that waited too long beside free room.
std::string runScenario(std::uint32_t seed, CrashWorker crash, Duration workerLoadTime = Duration::zero(), const LateOwner &lateOwner = {})
{
    DispatchSimulation simulation(seed);
    simulation.ownerStalls = lateOwner.stalls;
    simulation.maximumResponses = lateOwner.maximumResponses;
    simulation.workerLoadTime = workerLoadTime;
    simulation.faults = {0.03, 0.03, 0.03};
    simulation.claim();
    for (int job = 0; job < Jobs; ++job) {
        simulation.submit("job" + std::to_string(job), 1 + simulation.random(3), 1 + simulation.random(5));
        simulation.run(std::chrono::milliseconds(simulation.random(1500)));
        if (simulation.random(4) == 0) {
            injectFault(simulation, crash);
        }
        if (simulation.random(10) == 0) {
            simulation.cancel("job" + std::to_string(simulation.random(job + 1)));
        }
    }
    simulation.faults = {};
    for (std::size_t index = 0; index < 6; ++index) {
        simulation.worker(index).unreachable = false;
    }
    simulation.run(60s);
    cr_assert(simulation.violations.empty(), "seed %u: %s", seed, simulation.violations.empty() ? "" : simulation.violations.front().c_str());
    for (int job = 0; job < Jobs; ++job) {
        const auto phase = simulation.phaseOf("job" + std::to_string(job));
        const bool ended = phase != Wire::JobPhase::Pending && phase != Wire::JobPhase::Running;
        cr_assert(ended, "seed %u: job%d has not ended", seed, job);
    }
    cr_assert_eq(simulation.openRuns(), 0, "seed %u: a run is left", seed);
    expectNoLostWaits(simulation, seed);
    return describeOverdueSteps(simulation);
}

/// Replaces the processes of workers while messages are slow, so that these reach another process than they were sent to.
void runSlowScenario(std::uint32_t seed)
{
    DispatchSimulation simulation(seed);
    simulation.faults = {0, 0, 0, 0.3};
    simulation.claim();
    for (int job = 0; job < Jobs; ++job) {
        simulation.submit("job" + std::to_string(job), 1 + simulation.random(3), 1 + simulation.random(8));
        simulation.run(std::chrono::milliseconds(simulation.random(400)));
        simulation.replaceProcess(static_cast<std::size_t>(simulation.random(6)));
    }
    simulation.faults = {};
    simulation.run(60s);
    cr_assert(simulation.violations.empty(), "seed %u: %s", seed, simulation.violations.empty() ? "" : simulation.violations.front().c_str());
    for (int job = 0; job < Jobs; ++job) {
        cr_assert(simulation.isComplete("job" + std::to_string(job)), "seed %u: job%d has not completed", seed, job);
    }
    cr_assert_eq(simulation.openRuns(), 0, "seed %u: a run is left", seed);
    expectNoLostWaits(simulation, seed);
    expectNoOverdueSteps(describeOverdueSteps(simulation), seed);
}

constexpr int ServingJobs = 4;
constexpr int ServingWidth = 4;
constexpr int ServingRounds = 30;

/// Lets a worker announce that it leaves; later it can't be reached, its registration lapses, and it may return.
void injectDeparture(DispatchSimulation &simulation)
{
    const auto index = static_cast<std::size_t>(simulation.random(6));
    simulation.drainWorker(index);
    simulation.run(std::chrono::milliseconds(simulation.random(400)));
    simulation.worker(index).unreachable = true;
    simulation.run(std::chrono::milliseconds(simulation.random(3000)));
    simulation.unregisterWorker(index);
    simulation.run(std::chrono::milliseconds(simulation.random(3000)));
    simulation.worker(index).unreachable = false;
    simulation.registerWorker(index);
}

/// Removes the machine of a worker, and adds it again later. The owner may change in between.
void injectRemoval(DispatchSimulation &simulation)
{
    const auto index = static_cast<std::size_t>(simulation.random(6));
    simulation.removeMachine(index);
    simulation.run(std::chrono::milliseconds(simulation.random(2000)));
    if (simulation.random(2) == 0) {
        simulation.claim();
    }
    simulation.run(std::chrono::milliseconds(simulation.random(5000)));
    simulation.addMachine(index);
}

void runServingScenario(std::uint32_t seed)
{
    DispatchSimulation simulation(seed);
    simulation.faults = {0.03, 0.03, 0};
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    for (int job = 0; job < ServingJobs; ++job) {
        simulation.submit("serving" + std::to_string(job), 1, ServingWidth, [](Wire::TaskStep &step) { step.longRunning = true; });
    }
    for (int round = 0; round < ServingRounds; ++round) {
        simulation.run(std::chrono::milliseconds(simulation.random(1500)));
        const int kind = simulation.random(3);
        if (kind == 0) {
            injectDeparture(simulation);
        } else if (kind == 1) {
            injectRemoval(simulation);
        } else {
            injectFault(simulation, simulation.random(2) == 0 ? &DispatchSimulation::crashWorker : &DispatchSimulation::restartWorker);
        }
    }
    simulation.faults = {};
    for (std::size_t index = 0; index < 6; ++index) {
        simulation.worker(index).unreachable = false;
        simulation.registerWorker(index);
    }
    simulation.run(60s);
    cr_assert(simulation.violations.empty(), "seed %u: %s", seed, simulation.violations.empty() ? "" : simulation.violations.front().c_str());
    cr_assert_eq(simulation.openRuns(), ServingJobs * ServingWidth, "seed %u: %zu tasks run", seed, simulation.openRuns());
    expectNoLostWaits(simulation, seed);
    expectNoOverdueSteps(describeOverdueSteps(simulation), seed);
}

constexpr int Takeovers = 25;

/// Cuts workers off for some seconds, also across several terms, some of them short, and replaces owners that are paused, cut off from
/// the store, or neither. A worker that is cut off continues to run its tasks while it has a lease.
void runTakeoverScenario(std::uint32_t seed)
{
    DispatchSimulation simulation(seed);
    simulation.faults = {0.03, 0.03, 0, 0.1};
    simulation.workerLoadTime = std::chrono::milliseconds(seed % 2 == 0 ? 0 : simulation.random(800));
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    for (int job = 0; job < ServingJobs; ++job) {
        simulation.submit("serving" + std::to_string(job), 1, ServingWidth, [](Wire::TaskStep &step) { step.longRunning = true; });
    }
    simulation.run(3s);
    const auto changeWorkers = [&](int of) {
        for (std::size_t index = 0; index < 6; ++index) {
            SimulatedWorker &worker = simulation.worker(index);
            if (simulation.random(of) == 0) {
                worker.unreachable = !worker.unreachable;
            }
        }
    };
    for (int takeover = 0; takeover < Takeovers; ++takeover) {
        changeWorkers(6);
        simulation.run(std::chrono::milliseconds(simulation.random(simulation.random(2) == 0 ? 1500 : 6000)));
        const int kind = simulation.random(4);
        if (kind == 0) {
            simulation.pauseOwner(std::chrono::milliseconds(500 + simulation.random(12000)));
        } else if (kind == 1) {
            simulation.partitionOwnerFromStore(std::chrono::milliseconds(500 + simulation.random(12000)));
        }
        changeWorkers(4);
        simulation.run(std::chrono::milliseconds(simulation.random(3000)));
        if (kind != 3) {
            changeWorkers(8);
            simulation.claim();
        }
    }
    simulation.faults = {};
    for (std::size_t index = 0; index < 6; ++index) {
        simulation.worker(index).unreachable = false;
    }
    simulation.claim();
    simulation.run(60s);
    cr_assert(simulation.violations.empty(), "seed %u: %s", seed, simulation.violations.empty() ? "" : simulation.violations.front().c_str());
    cr_assert_eq(simulation.openRuns(), ServingJobs * ServingWidth, "seed %u: %zu tasks run", seed, simulation.openRuns());
    expectNoLostWaits(simulation, seed);
}

} // namespace

Test(dispatchFaults, workersCutOffAcrossTakeoversCauseNoLostOrDuplicateRuns)
{
    for (std::uint32_t seed = 1; seed <= TakeoverSeeds; ++seed) {
        runTakeoverScenario(seed);
    }
}

Test(dispatchFaults, randomFaultsCauseNoLostOrDuplicateRuns)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        expectNoOverdueSteps(runScenario(seed, &DispatchSimulation::restartWorker), seed);
    }
}

Test(dispatchFaults, crashesWithRefusedConnectionsCauseNoLostOrDuplicateRuns)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        runScenario(seed, &DispatchSimulation::crashWorker);
    }
}

// Guards against steps that wait without a run although there is room and nobody is told.
Test(dispatchFaults, crashesWithRefusedConnectionsLeaveNoStepWaitingBesideRoom)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        expectNoOverdueSteps(runScenario(seed, &DispatchSimulation::crashWorker), seed);
    }
}

Test(dispatchFaults, slowMessagesAcrossRestartsCauseNoLostOrDuplicateRuns)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        runSlowScenario(seed);
    }
}

Test(dispatchFaults, slowMessagesAcrossRestartsWithManySeedsCauseNoLostOrDuplicateRuns)
{
    for (std::uint32_t seed = Seeds + 1; seed <= ManySeeds; ++seed) {
        runSlowScenario(seed);
    }
}

Test(dispatchFaults, servingTasksOfDepartingWorkersRunExactlyOnce)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        runServingScenario(seed);
    }
}

Test(dispatchFaults, randomFaultsCauseNoLostOrDuplicateRunsIfOwnersLearnOfTheWorkersLate)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        expectNoOverdueSteps(runScenario(seed, &DispatchSimulation::restartWorker, seed * WorkerLoadTimeStep), seed);
    }
}

// Guards against owners with a third of the processor time that leave work without a run or start it twice.
Test(dispatchFaults, randomFaultsCauseNoLostOrDuplicateRunsIfTheOwnerStalls)
{
    for (std::uint32_t seed = 1; seed <= LateOwnerSeeds; ++seed) {
        expectNoOverdueSteps(runScenario(seed, &DispatchSimulation::restartWorker, Duration::zero(), {{300ms, 200ms}, 0}), seed);
    }
}

// Guards against owners that handle the responses of 6 workers one by one, later than they arrive.
Test(dispatchFaults, randomFaultsCauseNoLostOrDuplicateRunsIfTheOwnerHandlesFewResponses)
{
    for (std::uint32_t seed = 1; seed <= LateOwnerSeeds; ++seed) {
        expectNoOverdueSteps(runScenario(seed, &DispatchSimulation::restartWorker, Duration::zero(), {{}, 1}), seed);
    }
}
