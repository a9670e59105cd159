#include "colocatedfleet.h"

#include <dispatch/colocationpolicy.h>
#include <dispatch/idlecapacitypolicy.h>
#include <dispatch/servingforecast.h>
#include <dispatch/stepexecution.h>
#include <dispatch/workerstate.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr std::int64_t WorkerMilliCores = 64'000;
constexpr std::int64_t TaskMilliCores = 8000;
constexpr double UnknownEffect = 1.0 * TaskMilliCores / WorkerMilliCores; // of an image that was not observed yet

/// A worker with one serving run, and a policy that knows its image and nothing about other images.
struct ServingWorker
{
    ServingWorker()
    {
        RunProfile service;
        service.servingMilliCores = 13'000;
        service.reserved.milliCores = 13'000;
        colocation.setColocationTraits("service", ColocatedFleet::TailTargetMs, false, service);
        colocation.observe({{&service, "service", 5, 100}}, {}, Begin);
        state.info.capacity.milliCores = WorkerMilliCores;
        state.addRun({"service", 0, 0, 0}, service, Begin);
        image = service.image;
        profile.bestEffortMilliCores = TaskMilliCores;
        colocation.setColocationTraits("batch", 0, true, profile);
    }

    ServingForecast forecastWith(double headroom) const
    {
        ServingForecast forecast;
        forecast.at = Begin;
        forecast.add({image, headroom});
        return forecast;
    }

    std::optional<PlacementObstacle> obstacle(double headroom, bool isOverdue) const
    {
        return IdleCapacityPolicy(colocation).obstacle(state, forecastWith(headroom), {&profile, isOverdue});
    }

    ColocationPolicy colocation;
    WorkerState state;
    RunProfile profile; // of the best-effort task
    std::uint32_t image = 0; // of the serving run
};

bool isOverdue(const StepExecution &step, TimePoint now)
{
    return IdleCapacityPolicy::isOverdue(step, IdleCapacityPolicy::MaximumWait, now);
}

} // namespace

Test(idleCapacity, aTaskNeedsHeadroomForItsWholeEffect)
{
    const ServingWorker worker;
    cr_assert_not(worker.obstacle(UnknownEffect * 1.1, false));
    cr_assert(worker.obstacle(UnknownEffect * 0.9, false) == PlacementObstacle::Headroom);
}

/// Beliefs that are corrected only by observations of runs must not refuse a step for ever.
Test(idleCapacity, anOverdueTaskIsRefusedOnlyBesideAServingTaskOverItsTarget)
{
    ServingWorker worker;
    cr_assert_not(worker.obstacle(UnknownEffect * 0.5, true));
    cr_assert_not(worker.obstacle(-UnknownEffect, true));
    worker.state.bestEffortCommitted = 2 * WorkerMilliCores;
    cr_assert(worker.obstacle(UnknownEffect * 2, false) == PlacementObstacle::IdleProcessorTime);
    cr_assert_not(worker.obstacle(UnknownEffect * 2, true));
    worker.state.overTargetSince = Begin;
    cr_assert(worker.obstacle(UnknownEffect * 2, true) == PlacementObstacle::OverTarget);
}

Test(idleCapacity, anOverdueTaskGoesWhereMostHeadroomIsLeft)
{
    const ServingWorker worker;
    const IdleCapacityPolicy policy(worker.colocation);
    const IdleCapacityPolicy::Task task{&worker.profile, true};
    cr_assert_gt(policy.score(worker.state, worker.forecastWith(0.2), task), policy.score(worker.state, worker.forecastWith(0.1), task));
    cr_assert_gt(policy.score(worker.state, ServingForecast(), task), policy.score(worker.state, worker.forecastWith(0.2), task));
}

Test(idleCapacity, aStepIsOverdueOnceNoTaskHasRunForTheMaximumWait)
{
    StepExecution step;
    step.addTasks(2);
    cr_assert_not(isOverdue(step, Begin));
    step.updateWaiting(Begin);
    step.updateWaiting(Begin + 1s);
    cr_assert_not(isOverdue(step, Begin + IdleCapacityPolicy::MaximumWait - 1ms));
    cr_assert(isOverdue(step, Begin + IdleCapacityPolicy::MaximumWait));
    step.setPhase(step.tasks[0], TaskPhase::Assigned);
    cr_assert_not(isOverdue(step, Begin + 1min));
    step.updateWaiting(Begin + 1min);
    cr_assert_not(isOverdue(step, Begin + 2min), "a task runs");
    step.setPhase(step.tasks[0], TaskPhase::Done);
    step.updateWaiting(Begin + 2min);
    cr_assert_not(isOverdue(step, Begin + 2min + 1s));
    cr_assert(isOverdue(step, Begin + 2min + IdleCapacityPolicy::MaximumWait));
}

// The platform counts a job as lost of which nothing runs for 3 s while less than half of the pool is in use.
Test(idleCapacity, stepsWaitLessWhileMostOfThePoolIsFree)
{
    cr_assert_lt(IdleCapacityPolicy::maximumWait(49, 100), 3s);
    cr_assert_gt(IdleCapacityPolicy::maximumWait(50, 100), IdleCapacityPolicy::maximumWait(49, 100));
}

/// Best-effort tasks that interfere with all serving tasks waited without end, as the peak of the serving load left no headroom for their
/// whole effect on any worker.
Test(idleCapacity, interferingWorkRunsBesideServingTasksOnAllWorkers)
{
    constexpr int Workers = 8;
    constexpr int Jobs = 8;
    ColocatedFleet fleet(Workers, WorkerMilliCores);
    for (int number = 0; number < Workers; ++number) {
        fleet.submitServing("service" + std::to_string(number), 4, 13'000, number * ColocatedFleet::LoadPeriod / Workers);
    }
    fleet.advance(10s);
    for (int number = 0; number < Jobs; ++number) {
        fleet.submitBestEffort("light" + std::to_string(number), 4, TaskMilliCores, "light", 0.2, 2500ms);
        fleet.submitBestEffort("heavy" + std::to_string(number), 2, TaskMilliCores, "heavy", 3.0, 2500ms);
        fleet.advance(4s);
    }
    fleet.advance(20s);
    for (int number = 0; number < Jobs; ++number) {
        const std::string id = "heavy" + std::to_string(number);
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.waitingTime(id)).count();
        cr_expect_leq(waited, 10'000, "%s has waited for %ld ms", id.c_str(), static_cast<long>(waited));
        cr_expect(fleet.isComplete(id), "%s", id.c_str());
        cr_expect(fleet.isComplete("light" + std::to_string(number)));
    }
    // The platform permits 4 s.
    cr_expect_leq(fleet.longestTimeOverTarget(), 3s);
}

/// Each rejected start ended the wait of the step, so it was never overdue and was offered to the same worker for ever.
Test(idleCapacity, rejectedStartsDoNotEndTheWait)
{
    for (const bool rejects : {false, true}) {
        constexpr int ServingWorkers = 4;
        ColocatedFleet fleet(ServingWorkers + 1, WorkerMilliCores);
        fleet.changeWorker(ServingWorkers, "", true);
        for (int number = 0; number < ServingWorkers; ++number) {
            fleet.submitServing("service" + std::to_string(number), ServingWorkers, 13'000, number * ColocatedFleet::LoadPeriod / ServingWorkers);
        }
        fleet.advance(10s);
        fleet.submitBestEffort("earlier", 2, TaskMilliCores, "heavy", 3.0, 2500ms);
        fleet.advance(30s);
        cr_assert(fleet.isComplete("earlier"), "the effect is known");
        if (rejects) {
            fleet.changeWorker(ServingWorkers, "", false);
            fleet.rejectStarts(ServingWorkers);
        }
        fleet.submitBestEffort("heavy", 1, TaskMilliCores, "heavy", 3.0, 2500ms);
        fleet.advance(60s);
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.waitingTime("heavy")).count();
        cr_expect_leq(waited, 10'000, "%d: it has waited for %ld ms", rejects ? 1 : 0, static_cast<long>(waited));
    }
}

/// A run that is slowed down counts with its effect at full speed, so two such runs close their worker to all overdue steps.
Test(idleCapacity, slowedRunsLeaveHeadroomForOverdueSteps)
{
    constexpr int Workers = 4;
    constexpr int Jobs = 12;
    ColocatedFleet fleet(Workers, WorkerMilliCores);
    for (int number = 0; number < Workers; ++number) {
        fleet.submitServing("service" + std::to_string(number), Workers, 13'000, 0s);
    }
    fleet.advance(10s);
    for (int number = 0; number < Jobs; ++number) {
        fleet.submitBestEffort("heavy" + std::to_string(number), 1, TaskMilliCores, "heavy", 3.0, 20s);
    }
    fleet.advance(30s);
    for (int number = 0; number < Jobs; ++number) {
        const std::string id = "heavy" + std::to_string(number);
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.waitingTime(id)).count();
        cr_expect_leq(waited, 15'000, "%s has waited for %ld ms", id.c_str(), static_cast<long>(waited));
    }
}

/// A run keeps the targets at the lowest speed, but the start needs headroom for a higher one. So a second job of the same kind waits for ever,
/// while the first one ran because its effect was not known.
Test(idleCapacity, anOverdueTaskStartsWhereTheLowestSpeedFits)
{
    constexpr int Workers = 4;
    ColocatedFleet fleet(Workers, WorkerMilliCores);
    for (int number = 0; number < Workers; ++number) {
        fleet.submitServing("service" + std::to_string(number), Workers, 13'000, number * ColocatedFleet::LoadPeriod / Workers);
    }
    fleet.advance(10s);
    for (const char *id : {"first", "second"}) {
        fleet.submitBestEffort(id, 1, 2 * TaskMilliCores, "batch", 2.5, 2500ms);
        fleet.advance(60s);
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.waitingTime(id)).count();
        cr_expect_leq(waited, 15'000, "%s has waited for %ld ms", id, static_cast<long>(waited));
        cr_expect(fleet.isComplete(id), "%s", id);
    }
    cr_expect_leq(fleet.longestTimeOverTarget(), 3s);
}

/// Small tasks that come later and are on time take the headroom first, so an overdue step waits for as long as they arrive.
Test(idleCapacity, laterTasksDoNotTakeTheHeadroomOfAnOverdueStep)
{
    for (const bool hasLaterTasks : {false, true}) {
        constexpr int Workers = 4;
        ColocatedFleet fleet(Workers, WorkerMilliCores);
        for (int number = 0; number < Workers; ++number) {
            fleet.submitServing("service" + std::to_string(number), Workers, 13'000, number * ColocatedFleet::LoadPeriod / Workers);
        }
        fleet.advance(10s);
        fleet.submitBestEffort("earlier", 2, TaskMilliCores, "heavy", 3.0, 2500ms);
        fleet.submitBestEffort("earlierSmall", 2, 2000, "small", 0.8, 2500ms);
        fleet.advance(30s);
        cr_assert(fleet.isComplete("earlier") && fleet.isComplete("earlierSmall"), "the effects are known");
        fleet.submitBestEffort("heavy", 1, TaskMilliCores, "heavy", 3.0, 2500ms);
        for (int second = 0; second < 60; ++second) {
            if (hasLaterTasks) {
                fleet.submitBestEffort("small" + std::to_string(second), 16, 2000, "small", 0.8, 2500ms);
            }
            fleet.advance(1s);
        }
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.waitingTime("heavy")).count();
        cr_expect_leq(waited, 15'000, "%d: it has waited for %ld ms", hasLaterTasks ? 1 : 0, static_cast<long>(waited));
    }
}

/// A paused run has no load, so its effect is not observed. One that was learned too high or has fallen since kept the run paused, and all later
/// tasks of the image waiting, for ever.
Test(idleCapacity, anEffectThatHasFallenIsLearnedAgain)
{
    constexpr int Workers = 4;
    ColocatedFleet fleet(Workers, WorkerMilliCores);
    for (int number = 0; number < Workers; ++number) {
        fleet.submitServing("service" + std::to_string(number), Workers, 13'000, number * ColocatedFleet::LoadPeriod / Workers);
    }
    fleet.advance(10s);
    fleet.submitBestEffort("paused", 1, 2 * TaskMilliCores, "batch", 4.0, 2500ms);
    fleet.advance(30s);
    cr_assert_leq(fleet.waitingTime("paused"), 10s);
    cr_assert_not(fleet.isComplete("paused"), "the targets do not permit the lowest speed");
    fleet.changeEffect("paused", 0.1);
    fleet.submitBestEffort("later", 1, 2 * TaskMilliCores, "batch", 0.1, 2500ms);
    fleet.advance(60s);
    cr_expect(fleet.isComplete("paused"));
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.waitingTime("later")).count();
    cr_expect_leq(waited, 15'000, "it has waited for %ld ms", static_cast<long>(waited));
}

namespace {

// The platform counts a job as lost of which nothing runs for this long while less than half of the pool is in use.
constexpr auto MaximumTimeWithoutRun = 3s;

/// A fleet on which each worker has two serving runs whose loads peak half a period apart, so there is never a trough for all of them. The lowest
/// speed of two interfering runs keeps the targets on each worker.
class OverloadedFleet : public ColocatedFleet
{
public:
    static constexpr int Workers = 12;
    static constexpr double InterferingEffect = 1.6;

    OverloadedFleet()
        : ColocatedFleet(Workers, WorkerMilliCores)
    {
        submitServing("serving", Workers, 13'000, 0s);
        submitServing("servingLater", Workers, 13'000, LoadPeriod / 2);
        advance(10s);
    }

    /// Expects that none of the jobs was without a run for longer than permitted, nor might have been found lost.
    void expectRuns(const std::vector<std::string> &jobs) const
    {
        cr_assert_lt(reservedShare(), 0.5, "the platform sets a bound only then");
        Duration longest{0};
        int lost = 0;
        for (const std::string &id : jobs) {
            longest = std::max(longest, longestTimeWithoutRun(id));
            lost += mightBeFoundLost(id) ? 1 : 0;
        }
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(longest).count();
        cr_expect_leq(longest, Duration(MaximumTimeWithoutRun), "a job had no run for %ld ms", static_cast<long>(milliseconds));
        cr_expect_eq(lost, 0, "%d of %zu jobs had no run at three looks", lost, jobs.size());
    }
};

} // namespace

/// Steps of several tasks that interfere with all serving tasks arrived faster than they completed. Each short run began the wait of its step anew, so
/// after the arrivals the steps were without a run again and again.
Test(idleCapacity, aBacklogOfInterferingStepsKeepsOneRunOfEach)
{
    OverloadedFleet fleet;
    std::vector<std::string> jobs;
    for (int number = 0; number < 2 * OverloadedFleet::Workers; ++number) {
        jobs.push_back("heavy" + std::to_string(number));
        fleet.submitBestEffort(jobs.back(), 16, TaskMilliCores, "heavy", OverloadedFleet::InterferingEffect, 800ms);
        fleet.advance(500ms);
    }
    fleet.advance(MaximumTimeWithoutRun);
    fleet.forgetTimesWithoutRun();
    fleet.advance(20s);
    fleet.expectRuns(jobs);
}

/// A run that is paused beside a peak is stopped after 0.7 s, to continue on another worker. Its step had no run until it was overdue again.
Test(idleCapacity, runsThatArePausedAndMovedLeaveNoStepWithoutARun)
{
    OverloadedFleet fleet;
    std::vector<std::string> jobs;
    for (int number = 0; number < OverloadedFleet::Workers; ++number) {
        jobs.push_back("heavy" + std::to_string(number));
        fleet.submitCheckpointable(jobs.back(), 2, TaskMilliCores, "heavy", 2 * OverloadedFleet::InterferingEffect, 10s);
        fleet.advance(500ms);
    }
    fleet.advance(MaximumTimeWithoutRun);
    fleet.forgetTimesWithoutRun();
    fleet.advance(30s);
    cr_expect_gt(fleet.stoppedRuns(), 0);
    fleet.expectRuns(jobs);
}
