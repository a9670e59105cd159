#include "dispatchsimulation.h"

#include <dispatch/shorttaskplaces.h>
#include <dispatch/shorttaskreserve.h>
#include <dispatch/workerstate.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t WorkerMilliCores = 8000; // of the simulated workers

SimulatedWorker::Run runFor(std::chrono::milliseconds time)
{
    return {0, TimePoint(time), RunEndReason::Completed, 0};
}

void submitTasks(DispatchSimulation &simulation, const std::string &jobId, int count, std::int64_t milliCores)
{
    simulation.submit(jobId, 1, count, [milliCores](Wire::TaskStep &step) { step.milliCores = milliCores; });
}

void submitServing(DispatchSimulation &simulation, const std::string &jobId, int count, std::int64_t milliCores)
{
    simulation.submit(jobId, 1, count, [milliCores](Wire::TaskStep &step) {
        step.milliCores = milliCores;
        step.longRunning = true;
    });
}

std::size_t completedJobs(const DispatchSimulation &simulation, const std::string &prefix, int count)
{
    std::size_t completed = 0;
    for (int number = 0; number < count; ++number) {
        completed += simulation.isComplete(prefix + std::to_string(number)) ? 1 : 0;
    }
    return completed;
}

} // namespace

/// Small tasks took each piece of capacity as soon as it was free, so large tasks that came before them never started.
Test(largeTasks, startAlthoughSmallTasksWaitForTheSameRoom)
{
    DispatchSimulation simulation(1, 6);
    simulation.plan = [&](const TaskId &) { return runFor(std::chrono::milliseconds(600 + simulation.random(800))); };
    simulation.config.queues["batch"].deadlineFactor = 20;
    simulation.claim();
    simulation.run(500ms);
    constexpr int Rounds = 40;
    int large = 0;
    for (int round = 0; round < Rounds; ++round) {
        for (int number = 0; number < 4; ++number) {
            submitTasks(simulation, "small" + std::to_string(4 * round + number), 5, 2000);
        }
        if (round % 5 == 2) {
            submitTasks(simulation, "large" + std::to_string(large++), 1, 7000);
        }
        simulation.run(500ms);
    }
    const std::size_t completed = completedJobs(simulation, "large", large);
    const std::size_t completedSmall = completedJobs(simulation, "small", 4 * Rounds);
    // The share of the large jobs that is served is at least half of the share of all.
    cr_assert_geq(completed * 2 * 4 * Rounds,
                  completedSmall * static_cast<std::size_t>(large),
                  "%zu of %d large, %zu of %d small",
                  completed,
                  large,
                  completedSmall,
                  4 * Rounds);
    cr_assert(simulation.violations.empty());
}

/// A reservation must not keep workers free for long: what waits besides has the same right to them.
Test(largeTasks, reserveOnlyAPartOfTheWorkers)
{
    DispatchSimulation simulation(2, 6);
    simulation.plan = [&](const TaskId &) { return runFor(std::chrono::milliseconds(600 + simulation.random(800))); };
    simulation.config.queues["batch"].deadlineFactor = 20;
    simulation.claim();
    simulation.run(500ms);
    submitTasks(simulation, "running", 24, 2000);
    simulation.run(400ms);
    submitTasks(simulation, "large", 12, 7000);
    submitTasks(simulation, "small", 48, 2000);
    simulation.run(2s);
    const auto isSmall = [](const auto &start) { return start.first.job == "small"; };
    cr_assert_geq(std::ranges::count_if(simulation.starts, isSmall), 12);
    simulation.run(20s);
    cr_assert(simulation.isComplete("large"));
    cr_assert(simulation.isComplete("small"));
}

/// The reserve for short tasks was a sum over all workers, in pieces in which none of these tasks found room.
Test(largeTasks, theReserveCountsPlacesOfTheirSize)
{
    std::vector<WorkerState> states(10);
    std::vector<WorkerState *> workers;
    for (WorkerState &state : states) {
        state.info.workerPool = "hall";
        state.info.capacity.milliCores = WorkerMilliCores;
        state.servingCommitted = 7000;
        workers.push_back(&state);
    }
    states[0].servingCommitted = 0;
    states[1].servingCommitted = 1000;
    ShortTaskReserve reserve;
    reserve.recordDemand("hall", {10'000, 5000, 5000}, TimePoint(1000s));
    ShortTaskPlaces places(workers, "hall", reserve);
    cr_assert_eq(places.available(), 15'000 - reserve.milliCores("hall", 10 * WorkerMilliCores));
    cr_assert(places.allows(states[2], 1000), "no short task of that size fits there anyway");
    cr_assert(places.allows(states[0], 1000));
    cr_assert_not(places.allows(states[1], 3000), "the place would be lost: 4 cores are left");
    places.handleServingTask(states[0], 1000);
    cr_assert_eq(places.available(), 14'000 - reserve.milliCores("hall", 10 * WorkerMilliCores));
}

Test(largeTasks, theReserveForgetsSizesThatAreNotInDemand)
{
    ShortTaskReserve reserve;
    reserve.recordDemand("hall", {10'000, 36'000, 4000}, TimePoint(1000s));
    for (Duration passed = 0s; passed < 8s; passed += 1s) {
        reserve.recordDemand("hall", {10'000, 4000, 4000}, TimePoint(1000s + passed));
    }
    cr_assert_eq(reserve.placeSize("hall"), 36'000);
    for (Duration passed = 8s; passed < 40s; passed += 1s) {
        reserve.recordDemand("hall", {10'000, 4000, 4000}, TimePoint(1000s + passed));
    }
    cr_assert_eq(reserve.placeSize("hall"), 4000);
}

/// Serving tasks that fit beside others left no worker without serving tasks on which a large task had room.
Test(largeTasks, findAPlaceThatServingTasksLeave)
{
    DispatchSimulation simulation(3, 10);
    simulation.plan = [](const TaskId &task) {
        return task.job.starts_with("service") ? SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 5} : runFor(800ms);
    };
    simulation.claim();
    simulation.run(500ms);
    submitServing(simulation, "service0", 24, 2900); // two on a worker, 2.2 cores left on each of 10 workers is room for no large task
    submitTasks(simulation, "large0", 1, 7000);
    simulation.run(1500ms);
    cr_assert(simulation.isComplete("large0"));
    simulation.run(3s);
    const auto isServing = [](const auto &start) { return start.first.job == "service0"; };
    cr_assert_geq(std::ranges::count_if(simulation.starts, isServing), 20);
}
