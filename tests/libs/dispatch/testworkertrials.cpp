#include "dispatchsimulation.h"

#include <criterion/criterion.h>

#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Workers = 4;
constexpr int BatchJobs = 6;
constexpr int BatchTasks = 4;

SimulatedWorker::Run servingRun()
{
    return {0, TimePoint(1h), RunEndReason::Completed, 1};
}

/// Starts a serving job with a task on each worker, and then lets all workers fail the batch tasks that they start.
void failBatchTasksBesideServingTasks(DispatchSimulation &simulation)
{
    simulation.config.queues.at("batch").maximumFailures = 100;
    simulation.plan = [](const TaskId &task) {
        return task.job == "serving" ? servingRun() : SimulatedWorker::Run{0, TimePoint(50ms), RunEndReason::Failed, 0};
    };
    simulation.claim();
    simulation.submit("serving", 1, Workers, [](Wire::TaskStep &step) {
        step.longRunning = true;
        step.perWorker = 1;
    });
    simulation.run(2s);
    cr_assert_eq(simulation.openRuns(), Workers);
    for (int job = 0; job < BatchJobs; ++job) {
        simulation.submit("batch" + std::to_string(job), 1, BatchTasks);
    }
    simulation.run(6500ms);
}

} // namespace

// Guards against accepted work that waits for good on idle workers which have failed before and have a task that lasts.
Test(workerTrials, workersWithServingTasksGetWorkAgainAfterTheyHaveFailed)
{
    DispatchSimulation simulation(1, Workers);
    failBatchTasksBesideServingTasks(simulation);
    simulation.plan = [](const TaskId &task) {
        return task.job == "serving" ? servingRun() : SimulatedWorker::Run{0, TimePoint(500ms), RunEndReason::Completed, 0};
    };
    simulation.run(20s);
    for (int job = 0; job < BatchJobs; ++job) {
        cr_expect(simulation.isComplete("batch" + std::to_string(job)), "batch%d waits", job);
    }
}

// A worker that goes on failing must not get many tasks, whose attempts would be used up.
Test(workerTrials, workersThatGoOnFailingGetFewTasks)
{
    DispatchSimulation simulation(1, Workers);
    failBatchTasksBesideServingTasks(simulation);
    const std::size_t startsBefore = simulation.starts.size();
    simulation.run(24s);
    // One probe after each quarantine of 6 s, and one that was due before.
    cr_assert_leq(simulation.starts.size() - startsBefore, 5 * Workers, "%zu starts", simulation.starts.size() - startsBefore);
}
