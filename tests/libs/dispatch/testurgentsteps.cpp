#include "dispatchfleet.h"

#include <dispatch/commandwindow.h>

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 200;
constexpr std::int64_t WorkerMilliCores = 64'000;
constexpr std::int64_t UrgentMilliCores = 12'000;
constexpr std::int64_t SmallMilliCores = 500;
constexpr std::int64_t BestEffortMilliCores = 7'000;
constexpr std::size_t UrgentTasks = 12;
constexpr int BestEffortTasks = 40;
constexpr Duration StartTime = 6 * DispatchFleet::TickInterval; // of which the batch with the intents takes two ticks, and the start one
// The platform permits that nothing of a job runs for this long while less than half of a pool is in use.
constexpr Duration MaximumWait = 3s;

Wire::TaskStep urgentStep(std::int64_t milliCores = UrgentMilliCores)
{
    Wire::TaskStep step;
    step.milliCores = milliCores;
    step.taskCount = UrgentTasks;
    step.estimateMs = 1000;
    return step;
}

Wire::TaskStep bestEffortStep(int tasks = BestEffortTasks)
{
    Wire::TaskStep step;
    step.milliCores = BestEffortMilliCores;
    step.taskCount = tasks;
    step.estimateMs = 1700;
    step.fillsIdle = true;
    return step;
}

/// Lets more best-effort tasks wait than the command window admits in the next ticks.
void submitBacklog(DispatchFleet &fleet)
{
    for (int job = 0; job < 300; ++job) {
        fleet.submit(bestEffortStep());
    }
}

} // namespace

// Guards against urgent steps that are late and wait for the command window behind all best-effort steps that are on time.
Test(urgentSteps, aLateStepDoesNotWaitBehindBestEffortSteps)
{
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.advance(1s);
    submitBacklog(fleet);
    fleet.advance(DispatchFleet::TickInterval);
    fleet.submit(urgentStep(), 0, 1500ms); // it may take 2 s, of which 1 s is left for the run: late
    fleet.advance(StartTime);
    cr_expect_eq(fleet.startsOf(UrgentMilliCores), UrgentTasks, "%zu of %zu tasks", fleet.startsOf(UrgentMilliCores), UrgentTasks);
}

// Guards against the same for all but the first task of a step that is on time.
Test(urgentSteps, allTasksOfAStepStartBeforeBestEffortSteps)
{
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.advance(1s);
    submitBacklog(fleet);
    fleet.advance(DispatchFleet::TickInterval);
    fleet.submit(urgentStep());
    fleet.advance(StartTime);
    cr_expect_eq(fleet.startsOf(UrgentMilliCores), UrgentTasks, "%zu of %zu tasks", fleet.startsOf(UrgentMilliCores), UrgentTasks);
}

// Guards against a best-effort step without a run because urgent steps use up the command window.
Test(urgentSteps, anOverdueStepHasARunAlthoughUrgentStepsFillTheWindow)
{
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.limitProcessor({60ms, 100us, 0ms, 0ms}, 200ms);
    fleet.advance(1s);
    fleet.submit(bestEffortStep(1));
    const TimePoint begin = fleet.now();
    // More urgent tasks arrive than the owner starts, and those that run need a small part of the capacity.
    while (fleet.startsOf(BestEffortMilliCores) == 0 && fleet.now() - begin < MaximumWait) {
        for (int job = 0; job < 10; ++job) {
            fleet.submit(urgentStep(SmallMilliCores));
        }
        fleet.advance(DispatchFleet::TickInterval);
    }
    cr_expect_eq(fleet.startsOf(BestEffortMilliCores), 1U, "%zu urgent starts", fleet.startsOf(SmallMilliCores));
}

// Guards against worthless jobs that come before work that is worth something.
Test(urgentSteps, anExpiredStepDoesNotComeBeforeOthers)
{
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.advance(1s);
    submitBacklog(fleet);
    fleet.advance(DispatchFleet::TickInterval);
    fleet.submit(urgentStep(), 0, 10s);
    fleet.advance(StartTime);
    cr_expect_leq(fleet.startsOf(UrgentMilliCores), 1U); // each step gets a run before any gets its second
}

// Guards against ticks that wait for the placement of best-effort tasks while the owner has more to do than time.
Test(urgentSteps, anUrgentTickStartsUrgentTasksOnly)
{
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.advance(1s);
    fleet.setScope(TickScope::Urgent);
    submitBacklog(fleet);
    fleet.submit(urgentStep());
    const std::uint64_t visitedBefore = fleet.placementWork().visitedJobs;
    fleet.advance(StartTime);
    cr_expect_eq(fleet.startsOf(UrgentMilliCores), UrgentTasks);
    cr_expect_eq(fleet.startsOf(BestEffortMilliCores), 0U);
    cr_expect_leq(fleet.placementWork().visitedJobs - visitedBefore, static_cast<std::uint64_t>(StartTime / DispatchFleet::TickInterval)); // one a tick
    fleet.setScope(TickScope::All);
    fleet.advance(StartTime);
    cr_expect_gt(fleet.startsOf(BestEffortMilliCores), 0U);
}

// Guards against best-effort tasks whose intents are never stored because batches with urgent ones come in between.
Test(urgentSteps, urgentBatchesLeaveRoomForTheOthers)
{
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.advance(1s);
    submitBacklog(fleet);
    for (int tick = 0; tick < 30; ++tick) {
        fleet.submit(urgentStep(SmallMilliCores));
        fleet.setScope(tick % 10 == 0 ? TickScope::All : TickScope::Urgent);
        fleet.advance(DispatchFleet::TickInterval);
    }
    cr_expect_geq(fleet.startsOf(BestEffortMilliCores), 2 * CommandWindow::InitialSize);
}

// Guards against urgent steps that wait for the longest time between two polls of a late owner at the end of each earlier step.
Test(urgentSteps, aLateOwnerPollsWhenAnUrgentRunIsExpectedToEnd)
{
    constexpr std::chrono::milliseconds Tick{125};
    constexpr std::chrono::milliseconds RunTime{1000};
    constexpr int Jobs = 8;
    // A tick each until the end is reported, until the intents of the next step are durable, and until its starts are sent.
    constexpr Duration MaximumTime = RunTime + 3 * Tick;
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.limitProcessor({Tick, 0ms, 0ms, 0ms}, RunTime);
    fleet.advance(5s);
    Duration total{0};
    for (int job = 0; job < Jobs; ++job) {
        const std::size_t before = fleet.startsOf(UrgentMilliCores);
        fleet.submit(urgentStep(), static_cast<int>(UrgentTasks));
        while (fleet.startsOf(UrgentMilliCores) < before + UrgentTasks) {
            fleet.advance(Tick);
        }
        const TimePoint begin = fleet.now();
        while (fleet.startsOf(UrgentMilliCores) < before + 2 * UrgentTasks && fleet.now() < begin + 5s) {
            fleet.advance(Tick);
        }
        total += fleet.now() - begin;
    }
    cr_expect_leq(total / Jobs, MaximumTime, "%ld ms", static_cast<long>(total / Jobs / 1ms));
}
