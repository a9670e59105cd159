#include "dispatchfleet.h"
#include "plainranking.h"

#include <dispatch/colocationpolicy.h>
#include <dispatch/unschedulablerequests.h>
#include <dispatch/workerranking.h>

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 200;
constexpr std::int64_t WorkerMilliCores = 32'000;
constexpr int WaitingSteps = 100;
constexpr int Passes = 50;
// Until a start command is sent, when room becomes free. Shorter than the time after which all workers are searched in any case.
constexpr std::chrono::milliseconds StartTime{200};

Wire::TaskStep stepOf(int tasks, std::int64_t milliCores)
{
    Wire::TaskStep step;
    step.taskCount = tasks;
    step.milliCores = milliCores;
    step.estimateMs = 60'000;
    return step;
}

/// A fleet on which 2 cores are free on each worker.
DispatchFleet fullFleet()
{
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.submit(stepOf(Workers, WorkerMilliCores - 2'000));
    fleet.advance(1s);
    cr_assert_eq(fleet.openRuns(), Workers);
    return fleet;
}

void addWaitingSteps(DispatchFleet &fleet)
{
    for (int step = 0; step < WaitingSteps; ++step) {
        fleet.submit(stepOf(2, 20'000 + 97 * (step * 37 % WaitingSteps)));
    }
    fleet.advance(40ms);
}

} // namespace

Test(placementCost, stepsWithoutRoomAreNotSearchedForInEachPass)
{
    DispatchFleet fleet = fullFleet();
    addWaitingSteps(fleet);
    const PlacementWork before = fleet.placementWork();
    fleet.advance(Passes * DispatchFleet::TickInterval);
    const PlacementWork after = fleet.placementWork();
    cr_assert_eq(after.passes - before.passes, Passes);
    cr_assert_lt(after.examinedWorkers - before.examinedWorkers, static_cast<std::uint64_t>(Passes) * Workers, "less than one search a pass");
}

Test(placementCost, theEndOfARunLeadsToASearchOnItsWorkerOnly)
{
    DispatchFleet fleet = fullFleet();
    fleet.submit(stepOf(Passes, 1'000));
    fleet.advance(1s);
    addWaitingSteps(fleet);
    const PlacementWork before = fleet.placementWork();
    for (int pass = 0; pass < Passes; ++pass) {
        fleet.completeRuns(1, 1'000);
        fleet.advance(DispatchFleet::TickInterval);
    }
    cr_assert_lt(fleet.placementWork().examinedWorkers - before.examinedWorkers, static_cast<std::uint64_t>(Passes) * Workers);
}

Test(placementCost, aWaitingStepStartsAsSoonAsARunEnds)
{
    DispatchFleet fleet = fullFleet();
    addWaitingSteps(fleet);
    const std::size_t before = fleet.starts();
    fleet.completeRuns(1, WorkerMilliCores);
    fleet.advance(StartTime);
    cr_assert_eq(fleet.starts(), before + 1);
}

Test(placementCost, aWaitingStepStartsAsSoonAsAWorkerRegisters)
{
    DispatchFleet fleet = fullFleet();
    addWaitingSteps(fleet);
    const std::size_t before = fleet.starts();
    fleet.addWorker(WorkerMilliCores);
    fleet.advance(StartTime);
    cr_assert_eq(fleet.starts(), before + 1);
}

Test(placementCost, aWaitingStepStartsAsSoonAsTheCapacityOfAWorkerGrows)
{
    DispatchFleet fleet = fullFleet();
    addWaitingSteps(fleet);
    const std::size_t before = fleet.starts();
    fleet.setCapacity(7, 2 * WorkerMilliCores);
    fleet.advance(StartTime);
    cr_assert_eq(fleet.starts(), before + 1);
}

Test(placementCost, aWaitingStepStartsAsSoonAsAWorkerEndsItsDrain)
{
    DispatchFleet fleet = fullFleet();
    fleet.addWorker(WorkerMilliCores);
    fleet.setDraining(Workers, true);
    addWaitingSteps(fleet);
    const std::size_t before = fleet.starts();
    fleet.setDraining(Workers, false);
    fleet.advance(StartTime);
    cr_assert_eq(fleet.starts(), before + 1);
}

Test(placementCost, theChoiceOfAWorkerExaminesFewWorkers)
{
    constexpr int Jobs = 20;
    constexpr int TasksPerJob = 5;
    DispatchFleet fleet = fullFleet();
    const PlacementWork before = fleet.placementWork();
    for (int job = 0; job < Jobs; ++job) {
        fleet.submit(stepOf(TasksPerJob, 1'000));
    }
    fleet.advance(StartTime);
    cr_assert_eq(fleet.startsOf(1'000), Jobs * TasksPerJob);
    cr_assert_lt(fleet.placementWork().examinedWorkers - before.examinedWorkers, 2U * Jobs * TasksPerJob);
}

Test(placementCost, jobsWithoutPendingTasksAreNotVisited)
{
    constexpr int RunningJobs = 100;
    DispatchFleet fleet = fullFleet();
    for (int job = 0; job < RunningJobs; ++job) {
        fleet.submit(stepOf(2, 1'000), 20);
    }
    fleet.submit(stepOf(1, 20'000));
    fleet.advance(StartTime);
    const PlacementWork before = fleet.placementWork();
    fleet.advance(Passes * DispatchFleet::TickInterval);
    cr_assert_eq(fleet.placementWork().visitedJobs - before.visitedJobs, Passes, "only the job that waits");
}

Test(placementCost, aStepStartsWhenTheEarlierOneIsDone)
{
    DispatchFleet fleet = fullFleet();
    fleet.submit(stepOf(1, 1'000), 3);
    fleet.advance(StartTime);
    cr_assert_eq(fleet.startsOf(1'000), 1);
    fleet.completeRuns(1, 1'000);
    fleet.advance(StartTime);
    cr_assert_eq(fleet.startsOf(1'000), 4);
}

namespace {

/// Workers that change at random, and the requests that are remembered as unschedulable.
class RandomWorkers
{
public:
    explicit RandomWorkers(std::uint32_t seed)
        : m_random(seed)
    {
        for (int number = 0; number < 12; ++number) {
            WorkerState &worker = m_workers.emplace_back();
            worker.info.id = "w" + std::to_string(number);
            worker.info.rack = "rack-" + std::to_string(number / 3);
            worker.info.workerPool = number % 3 == 0 ? "hall" : "yard";
            worker.info.capacity.milliCores = 16'000;
            worker.info.capacity.memoryBytes = 16 * BytesPerMegabyte;
            worker.info.labels = number % 4 == 0 ? std::vector<std::string>{"fast"} : std::vector<std::string>();
            worker.registered = true;
            worker.clock.emplace();
            m_all.push_back(&worker);
        }
    }

    /// Changes some workers and compares what is remembered with a search on all workers. Returns how many searches were saved.
    int pass()
    {
        m_now += 20ms;
        for (int change = chance(4); change > 0; --change) {
            changeWorker(m_workers[static_cast<std::size_t>(chance(static_cast<int>(m_workers.size())))]);
        }
        for (WorkerState &worker : m_workers) {
            worker.lastReportAt = m_now;
        }
        WorkerRanking ranking(m_all, m_evacuated, m_policy, m_now);
        m_unschedulable.beginPass(ranking, m_now);
        int saved = 0;
        for (int request = 0; request < 10; ++request) {
            saved += placeRequest(ranking) ? 1 : 0;
        }
        return saved;
    }

private:
    int chance(int maximum) { return static_cast<int>(m_random() % static_cast<std::uint32_t>(maximum)); }

    void changeWorker(WorkerState &worker)
    {
        const int kind = chance(12);
        if (kind == 0) {
            worker.info.draining = !worker.info.draining;
        } else if (kind == 1) {
            worker.failedPolls = worker.failedPolls == 0 ? 1 : 0;
        } else if (kind == 2) {
            worker.health.reportRejection(m_now);
        } else if (kind == 3 && !worker.runs.empty()) {
            worker.health.reportFailure(worker.runs.begin()->first, m_now);
        } else if (kind == 4 && !worker.runs.empty()) {
            worker.health.reportSuccess(worker.runs.begin()->first);
        } else if (!worker.runs.empty()) {
            worker.removeRun(worker.runs.begin()->first);
        }
    }

    bool placeRequest(WorkerRanking &ranking)
    {
        Wire::TaskStep step = stepOf(1, 1'000 + 1'000 * chance(16));
        step.memoryMb = chance(8);
        step.longRunning = chance(3) == 0;
        step.tailTargetMs = step.longRunning ? 10 : 0;
        step.label = chance(4) == 0 ? "fast" : "";
        step.dataRack = chance(3) == 0 ? "rack-1" : "";
        step.perWorker = chance(4) == 0 ? 1 : 0;
        RunProfile profile = profileOf(step, 0);
        m_policy.setColocationTraits(chance(2) == 0 ? "first" : "second", step.tailTargetMs, false, profile);
        const std::map<std::string, int> tasksByWorker{{"w1", 1}, {"w3", 1}};
        const std::map<std::string, std::string> tickets{{"w0", "t"}, {"w1", "t"}, {"w2", "t"}};
        PlacementRequest request;
        request.step = &step;
        request.workerPool = chance(2) == 0 ? "hall" : "yard";
        request.profile = &profile;
        request.stepTasksByWorker = &tasksByWorker;
        request.tickets = chance(5) == 0 ? &tickets : nullptr;
        request.rack = chance(5) == 0 ? "rack-2" : "";
        return placeAsOnAllWorkers(ranking, request);
    }

    /// Returns true if the search was saved.
    bool placeAsOnAllWorkers(WorkerRanking &ranking, const PlacementRequest &request)
    {
        WorkerState *expected = plainChoice(m_all, ranking, request, m_now);
        WorkerState *chosen = ranking.choose(request);
        cr_assert_eq(chosen == nullptr, expected == nullptr);
        if (chosen != nullptr) {
            cr_assert_eq(plainScore(*chosen, request, m_now), plainScore(*expected, request, m_now));
        }
        if (m_unschedulable.contains(request)) {
            cr_assert_null(chosen, "%s has room", chosen->info.id.c_str());
            return true;
        }
        if (chosen != nullptr) {
            chosen->addRun({"j", 0, 0, m_runs++}, *request.profile, m_now);
            ranking.capacityChanged(*chosen);
        } else if (!ranking.hasRoom(request)) {
            m_unschedulable.record(request, m_now);
        }
        return false;
    }

    std::mt19937 m_random;
    std::deque<WorkerState> m_workers;
    std::vector<WorkerState *> m_all;
    std::set<std::string> m_evacuated;
    ColocationPolicy m_policy;
    UnschedulableRequests m_unschedulable;
    TimePoint m_now{1000s};
    int m_runs = 0;
};

} // namespace

Test(placementCost, eachTaskGetsAWorkerAsASearchOfAllWorkersFindsIt)
{
    int saved = 0;
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        RandomWorkers workers(seed);
        for (int pass = 0; pass < 200; ++pass) {
            saved += workers.pass();
        }
    }
    cr_assert_gt(saved, 10'000);
}

// Guards against an owner that spends more on the choice of a worker than on all else that a start needs, once many steps wait.
Test(placementCost, aStepOfOneBestEffortTaskExaminesAPartOfALargeFleet)
{
    constexpr int ManyWorkers = 1000;
    constexpr int Steps = 300;
    DispatchFleet fleet(ManyWorkers, WorkerMilliCores);
    fleet.advance(1s);
    Wire::TaskStep step = stepOf(1, 1000);
    step.fillsIdle = true;
    const std::uint64_t before = fleet.placementWork().examinedWorkers;
    for (int index = 0; index < Steps; ++index) {
        fleet.submit(step);
    }
    fleet.advance(1s);
    cr_assert_eq(fleet.starts(), Steps);
    const std::uint64_t examined = (fleet.placementWork().examinedWorkers - before) / Steps;
    cr_assert_leq(examined, ManyWorkers / 4, "%lu workers examined for a start", static_cast<unsigned long>(examined));
}

// Guards against a best-effort task that waits because the workers that were examined have no room.
Test(placementCost, aBestEffortTaskFindsTheOnlyWorkerWithIdleTime)
{
    constexpr int ManyWorkers = 400;
    DispatchFleet fleet(ManyWorkers, WorkerMilliCores);
    fleet.submit(stepOf(ManyWorkers - 1, WorkerMilliCores));
    fleet.advance(1s);
    Wire::TaskStep step = stepOf(1, 4000);
    step.fillsIdle = true;
    for (int index = 1; index <= 8; ++index) {
        fleet.submit(step);
        fleet.advance(100ms);
        cr_expect_eq(fleet.starts(), ManyWorkers - 1 + index);
    }
}

// Guards against best-effort tasks that all go to the workers which are examined first.
Test(placementCost, bestEffortTasksOfManyPassesAreSpreadOverALargeFleet)
{
    constexpr int ManyWorkers = 1000;
    constexpr int Steps = 400;
    DispatchFleet fleet(ManyWorkers, WorkerMilliCores);
    fleet.advance(1s);
    Wire::TaskStep step = stepOf(1, 1000);
    step.fillsIdle = true;
    for (int index = 0; index < Steps; ++index) {
        fleet.submit(step);
        fleet.advance(DispatchFleet::TickInterval);
    }
    cr_assert_eq(fleet.openRuns(), Steps);
    cr_assert_geq(fleet.workersWithRuns(), Steps / 2, "%zu workers have runs", fleet.workersWithRuns());
}
