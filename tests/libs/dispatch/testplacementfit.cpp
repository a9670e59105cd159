#include "colocatedfleet.h"
#include "dispatchfleet.h"

#include <dispatch/colocationpolicy.h>
#include <dispatch/workerranking.h>

#include <criterion/criterion.h>

#include <set>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t WorkerMilliCores = 32'000;
constexpr std::int64_t SmallTask = 1'000;
constexpr TimePoint Begin{1000s};

Wire::TaskStep stepOf(int tasks, std::int64_t milliCores)
{
    Wire::TaskStep step;
    step.taskCount = tasks;
    step.milliCores = milliCores;
    step.estimateMs = 60'000;
    return step;
}

WorkerState workerWith(const std::string &id, std::int64_t freeMilliCores)
{
    WorkerState worker;
    worker.info.id = id;
    worker.info.workerPool = "hall";
    worker.info.capacity.milliCores = freeMilliCores;
    worker.registered = true;
    worker.clock.emplace();
    worker.lastReportAt = Begin;
    return worker;
}

WorkerState *choose(std::vector<WorkerState *> workers, const Wire::TaskStep &step)
{
    const ColocationPolicy policy;
    const std::set<std::string> evacuated;
    const RunProfile profile = profileOf(step, 0);
    PlacementRequest request;
    request.step = &step;
    request.workerPool = "hall";
    request.profile = &profile;
    return WorkerRanking(std::move(workers), evacuated, policy, Begin).choose(request);
}

} // namespace

Test(placementFit, smallTasksLeaveThePlacesThatLargeTasksNeed)
{
    constexpr int Workers = 20;
    constexpr int EmptyWorkers = 4;
    constexpr int SmallTasks = 40;
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.submit(stepOf(Workers - EmptyWorkers, WorkerMilliCores - 4 * SmallTask));
    fleet.advance(500ms);
    fleet.submit(stepOf(SmallTasks, SmallTask));
    fleet.advance(500ms);
    fleet.submit(stepOf(EmptyWorkers, WorkerMilliCores));
    fleet.advance(500ms);
    cr_assert_eq(fleet.startsOf(SmallTask), SmallTasks);
    cr_assert_eq(fleet.startsOf(WorkerMilliCores), EmptyWorkers);
}

Test(placementFit, largeTasksFindPlacesWhileSmallOnesComeAndGo)
{
    constexpr int Workers = 20;
    constexpr int EmptyWorkers = 4;
    constexpr int SmallTasksPerRound = 10;
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.submit(stepOf(Workers - EmptyWorkers, WorkerMilliCores - 4 * SmallTask));
    fleet.advance(500ms);
    for (int round = 0; round < 20; ++round) {
        fleet.submit(stepOf(SmallTasksPerRound, SmallTask));
        fleet.advance(200ms);
        fleet.completeRuns(SmallTasksPerRound / 2, SmallTask);
        fleet.submit(stepOf(round % 5 == 0 ? 1 : 0, WorkerMilliCores));
        fleet.advance(200ms);
        fleet.completeRuns(SmallTasksPerRound / 2, SmallTask);
    }
    cr_assert_eq(fleet.startsOf(WorkerMilliCores), EmptyWorkers);
}

Test(placementFit, aWorkerWhoseRunFailedIsNotTheFirstChoiceAgain)
{
    WorkerState failing = workerWith("a", 4 * SmallTask);
    WorkerState sound = workerWith("b", WorkerMilliCores);
    const Wire::TaskStep step = stepOf(1, SmallTask);
    cr_assert_eq(choose({&failing, &sound}, step), &failing);
    failing.health.reportFailure({"j", 0, 0, 0}, Begin);
    cr_assert_eq(choose({&failing, &sound}, step), &sound);
    failing.health.reportSuccess({"j", 0, 0, 0});
    cr_assert_eq(choose({&failing, &sound}, step), &failing);
}

Test(placementFit, aWorkerWhoseRunFailedIsUsedWhenNoOtherHasRoom)
{
    WorkerState failing = workerWith("a", WorkerMilliCores);
    WorkerState sound = workerWith("b", 4 * SmallTask);
    failing.health.reportFailure({"j", 0, 0, 0}, Begin);
    cr_assert_eq(choose({&failing, &sound}, stepOf(1, WorkerMilliCores)), &failing);
}

Test(placementFit, theRackWithTheDataGoesBeforeTheBestFit)
{
    WorkerState tight = workerWith("a", 4 * SmallTask);
    WorkerState nearData = workerWith("b", WorkerMilliCores);
    nearData.info.rack = "rack";
    Wire::TaskStep step = stepOf(1, SmallTask);
    step.dataRack = "rack";
    cr_assert_eq(choose({&tight, &nearData}, step), &nearData);
}

/// A step that prefers one rack looked at no other one than that with the most free capacity, although no task fits on a worker there.
Test(placementFit, aStepForOneRackDoesNotWaitWhileAnotherRackHasRoom)
{
    constexpr int ServingWorkers = 5;
    constexpr std::int64_t MilliCores = 64'000;
    ColocatedFleet fleet(ServingWorkers + 1, MilliCores);
    for (int number = 0; number <= ServingWorkers; ++number) {
        fleet.changeWorker(number, number < ServingWorkers ? "a" : "b", number == ServingWorkers);
    }
    fleet.submitServing("service", ServingWorkers, 50'000, 0s);
    fleet.advance(10s);
    fleet.changeWorker(ServingWorkers, "b", false);
    fleet.advance(2s);
    fleet.submitCounted("anywhere", 2, 20'000, 1s, false);
    fleet.advance(10s);
    cr_expect(fleet.isComplete("anywhere"));
    fleet.submitCounted("oneRack", 2, 20'000, 1s, true);
    fleet.advance(30s);
    cr_expect(fleet.isComplete("oneRack"));
}
