#include "libs/dispatch/dispatchfleet.h"

#include "hyssop_types.h"

#include <cstdio>
#include <exception>
#include <initializer_list>
#include <random>

using namespace Hyssop;
using Hyssop::Testing::DispatchFleet;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 1100;
constexpr std::int64_t WorkerMilliCores = 75'000;
constexpr int ServingJobs = 250;
constexpr int TasksPerServingJob = 24;
constexpr int BatchJobs = 1750;
constexpr int RunningTasksPerBatchJob = 4;
constexpr int BlockedTasksPerBatchJob = 26;
constexpr int TasksPerWaitingJob = 10;
constexpr int CompletedRunsPerTick = 50;
constexpr std::chrono::milliseconds PreparationTime = 4s;
constexpr int MeasuredTicks = 250;

Wire::TaskStep stepOf(int tasks, std::int64_t milliCores)
{
    Wire::TaskStep step;
    step.taskCount = tasks;
    step.milliCores = milliCores;
    step.memoryMb = 1000;
    step.estimateMs = 60'000;
    step.image = "bench-image";
    return step;
}

Wire::TaskStep servingStepOf(int tasks, std::int64_t milliCores)
{
    Wire::TaskStep step = stepOf(tasks, milliCores);
    step.longRunning = true;
    step.estimateMs = 0;
    return step;
}

void fill(DispatchFleet &fleet)
{
    for (int job = 0; job < BatchJobs; ++job) {
        fleet.submit(stepOf(RunningTasksPerBatchJob, 1000), BlockedTasksPerBatchJob);
    }
    for (int job = 0; job < ServingJobs; ++job) {
        fleet.submit(servingStepOf(TasksPerServingJob, 11'000));
    }
}

/// Submits jobs whose tasks find no room: of ten, eight have reserved tasks, one has serving tasks and one best-effort tasks.
void addWaitingTasks(DispatchFleet &fleet, int count)
{
    std::mt19937 random(1);
    for (int job = 0; job < count / TasksPerWaitingJob; ++job) {
        const std::int64_t milliCores = 16'000 + static_cast<std::int64_t>(random() % 21) * 1000;
        Wire::TaskStep step = job % 10 == 0 ? servingStepOf(TasksPerWaitingJob, milliCores) : stepOf(TasksPerWaitingJob, milliCores);
        if (job % 10 == 1) {
            step.fillsIdle = true;
            step.milliCores += 60'000;
        }
        fleet.submit(step);
    }
}

/// Prints the processor time of a tick with @p waiting tasks that find no room, while @p completedRuns runs a tick end and as many
/// tasks arrive.
void measure(int waiting, int completedRuns)
{
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fill(fleet);
    fleet.advance(PreparationTime);
    addWaitingTasks(fleet, waiting);
    fleet.advance(DispatchFleet::TickInterval);
    const std::size_t startsBefore = fleet.starts();
    const PlacementWork workBefore = fleet.placementWork();
    const std::chrono::nanoseconds timeBefore = fleet.advanceTime();
    for (int tick = 0; tick < MeasuredTicks; ++tick) {
        if (completedRuns > 0) {
            fleet.completeRuns(completedRuns);
            fleet.submit(stepOf(completedRuns / 2, 1000));
            fleet.submit(stepOf(completedRuns - completedRuns / 2, 1000));
        }
        fleet.advance(DispatchFleet::TickInterval);
    }
    const std::uint64_t examinedWorkers = fleet.placementWork().examinedWorkers - workBefore.examinedWorkers;
    std::printf("%d,%d,%zu,%zu,%llu,%.3f\n",
                waiting,
                completedRuns,
                fleet.openRuns(),
                fleet.starts() - startsBefore,
                static_cast<unsigned long long>(examinedWorkers / MeasuredTicks),
                std::chrono::duration<double, std::milli>(fleet.advanceTime() - timeBefore).count() / MeasuredTicks);
    std::fflush(stdout);
}

} // namespace

int main()
{
    try {
        std::puts("waiting_tasks,completed_runs_per_tick,open_runs,starts,examined_workers_per_tick,ms_per_tick");
        for (const int completedRuns : {0, CompletedRunsPerTick}) {
            for (const int waiting : {0, 300, 3000}) {
                measure(waiting, completedRuns);
            }
        }
        return 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "bench-placementcost: %s\n", error.what());
        return 1;
    }
}
