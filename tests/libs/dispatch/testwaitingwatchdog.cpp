#include "dispatchsimulation.h"

#include <dispatch/waitingwatchdog.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto Tick = 20ms;
constexpr std::size_t MaximumReportsPerSecond = 2;

TaskId stepOf(const std::string &job)
{
    return {job, 0, 0, 0};
}

/// A watchdog that is shown the same steps in each round.
class Rounds
{
public:
    void run(Duration time)
    {
        for (const TimePoint until = now + time; now < until; now += Tick) {
            if (watchdog.isRoundDue(now)) {
                runRound();
            }
        }
    }

    WaitingWatchdog watchdog;
    TimePoint now{1000s};
    std::vector<TaskId> waiting;
    WaitingWatchdog::Room room = WaitingWatchdog::Room::Ample;
    std::optional<PlacementObstacle> obstacle = PlacementObstacle::Headroom;
    std::vector<TaskId> reported;
    std::size_t rounds = 0;

private:
    void runRound()
    {
        ++rounds;
        watchdog.beginRound(now);
        for (const TaskId &step : waiting) {
            watchdog.observe(step, room);
        }
        watchdog.endRound();
        for (const TaskId &step : watchdog.stepsToExamine()) {
            if (watchdog.shouldReport(step, obstacle)) {
                reported.push_back(step);
            }
        }
    }
};

/// A fleet of 6 workers with 8 cores each, whose tasks run until the end of the test. Nobody answers requests for advice.
class Fleet
{
public:
    Fleet()
    {
        simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
        simulation.claim();
        simulation.run(500ms);
    }

    /// Lets all further starts wait for advice.
    void requireAdvice() { simulation.config.queues["batch"].advice.emplace(); }

    void submit(const std::string &job, int tasks, std::int64_t milliCores, std::function<void(Wire::TaskStep &)> change = {})
    {
        simulation.submit(job, 1, tasks, [&](Wire::TaskStep &step) {
            step.milliCores = milliCores;
            step.memoryMb = 100;
            step.estimateMs = 600'000;
            if (change) {
                change(step);
            }
        });
    }

    DispatchSimulation simulation{1};
};

} // namespace

Test(waitingWatchdog, aStepThatWaitsBeyondTheBoundBesideFreeRoomIsReportedOnce)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.run(WaitingWatchdog::MaximumWait);
    cr_assert_eq(rounds.reported.size(), 0);
    cr_assert_eq(rounds.watchdog.overdueSteps(), 0);
    rounds.run(1s);
    cr_assert_eq(rounds.reported.size(), 1);
    rounds.run(8s);
    cr_assert_eq(rounds.reported.size(), 1);
    cr_assert_eq(rounds.watchdog.overdueSteps(), 1);
    cr_assert_eq(rounds.watchdog.takeNewlyOverdueSteps(), 1);
    cr_assert_eq(rounds.watchdog.takeNewlyOverdueSteps(), 0);
    cr_assert_geq(rounds.watchdog.longestTimeBesideRoom().count(), 11'000);
}

Test(waitingWatchdog, aStepIsReportedAgainAfterSomeTime)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.run(64s);
    cr_assert(rounds.reported.size() >= 5 && rounds.reported.size() <= 7, "%zu reports", rounds.reported.size());
}

Test(waitingWatchdog, aStepIsReportedAgainWhenItsObstacleChanges)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.run(4s);
    cr_assert_eq(rounds.reported.size(), 1);
    rounds.obstacle = PlacementObstacle::Quarantine;
    rounds.run(3s);
    cr_assert_eq(rounds.reported.size(), 2);
    rounds.obstacle.reset();
    rounds.run(3s);
    cr_assert_eq(rounds.reported.size(), 3);
}

Test(waitingWatchdog, aStepWithoutFreeRoomIsNotReported)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.room = WaitingWatchdog::Room::None;
    rounds.run(60s);
    cr_assert_eq(rounds.reported.size(), 0);
    cr_assert_eq(rounds.watchdog.overdueSteps(), 0);
}

// Guards against a report as soon as room appears, before the owner could use it.
Test(waitingWatchdog, theBoundCountsFromWhenRoomIsFree)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.room = WaitingWatchdog::Room::None;
    rounds.run(10s);
    rounds.room = WaitingWatchdog::Room::Ample;
    rounds.run(2500ms);
    cr_assert_eq(rounds.reported.size(), 0);
    rounds.run(2s);
    cr_assert_eq(rounds.reported.size(), 1);
    cr_assert_geq(rounds.watchdog.waitingTime(stepOf("j")).count(), 13'000);
    cr_assert_leq(rounds.watchdog.timeBesideRoom(stepOf("j")).count(), 4500);
}

Test(waitingWatchdog, aStepThatStartsMeanwhileIsForgotten)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.run(2500ms);
    rounds.waiting = {};
    rounds.run(WaitingWatchdog::LookInterval + 500ms);
    rounds.waiting = {stepOf("j")};
    rounds.run(2500ms);
    cr_assert_eq(rounds.reported.size(), 0);
    rounds.run(2s);
    cr_assert_eq(rounds.reported.size(), 1);
    rounds.waiting = {};
    rounds.run(1s);
    cr_assert_eq(rounds.watchdog.overdueSteps(), 0);
    cr_assert_eq(rounds.watchdog.longestTimeBesideRoom().count(), 0);
}

// Guards against jobs that the platform counts as lost and no line names: each short run ended the wait, and the platform saw none of the runs.
Test(waitingWatchdog, aRunBetweenTwoLooksDoesNotEndTheWait)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.run(2500ms);
    rounds.waiting = {};
    rounds.run(1s);
    cr_assert_eq(rounds.watchdog.overdueSteps(), 0);
    rounds.waiting = {stepOf("j")};
    rounds.run(2500ms);
    cr_assert_eq(rounds.reported.size(), 1);
    cr_assert_geq(rounds.watchdog.waitingTime(stepOf("j")).count(), 5000);
    cr_assert_leq(rounds.watchdog.timeBesideRoom(stepOf("j")).count(), 2500);
}

// A run that is there at one of three looks ends the wait, also if it is short.
Test(waitingWatchdog, aRunAtEachThirdLookEndsTheWait)
{
    Rounds rounds;
    for (int run = 0; run < 10; ++run) {
        rounds.waiting = {stepOf("j")};
        rounds.run(1s);
        rounds.waiting = {};
        rounds.run(2s);
    }
    cr_assert_eq(rounds.reported.size(), 0);
}

// Guards against reports on what an owner has not seen while its process was suspended.
Test(waitingWatchdog, aPauseOfTheOwnerIsNoWaitBesideRoom)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.run(2s);
    rounds.now += 20s;
    rounds.run(2s);
    cr_assert_eq(rounds.reported.size(), 0);
}

Test(waitingWatchdog, theNumberOfReportsIsBoundedAndTheRestIsCounted)
{
    constexpr std::size_t Steps = 200;
    constexpr std::size_t Seconds = 20;
    Rounds rounds;
    for (std::size_t step = 0; step < Steps; ++step) {
        rounds.waiting.push_back(stepOf("j" + std::to_string(step)));
    }
    rounds.run(WaitingWatchdog::MaximumWait + std::chrono::seconds(Seconds));
    cr_assert_leq(rounds.reported.size(), MaximumReportsPerSecond * Seconds);
    cr_assert_geq(rounds.reported.size(), MaximumReportsPerSecond * (Seconds - 1));
    std::sort(rounds.reported.begin(), rounds.reported.end());
    cr_assert(std::ranges::adjacent_find(rounds.reported) == rounds.reported.end(), "a step is reported again before others are");
    cr_assert_eq(rounds.watchdog.overdueSteps(), Steps);
    cr_assert_eq(rounds.watchdog.takeNewlyOverdueSteps(), Steps);
    cr_assert_eq(rounds.watchdog.unreportedSteps(), Steps - rounds.reported.size());
}

// Guards against a search in each placement pass, of which there are 50 a second.
Test(waitingWatchdog, aRoundIsDueAFewTimesASecond)
{
    Rounds rounds;
    rounds.run(10s);
    cr_assert_leq(rounds.rounds, 40);
    cr_assert_geq(rounds.rounds, 5);
}

Test(waitingWatchdog, theReportTellsWhatWaitsAndWhatIsFree)
{
    Fleet fleet;
    fleet.requireAdvice();
    fleet.submit("j", 3, 2000);
    fleet.simulation.run(8s);
    const std::vector<OverdueStep> &reports = fleet.simulation.overdueSteps;
    cr_assert_eq(reports.size(), 1, "%zu reports", reports.size());
    const OverdueStep &report = reports.front();
    cr_assert_eq(report.step.job, "j");
    cr_assert(report.waiting.kind == TaskKind::Reserved);
    cr_assert_eq(report.waiting.tasks, 3);
    cr_assert_eq(report.waiting.milliCores, 2000);
    cr_assert_eq(report.waiting.memoryBytes, 100 * BytesPerMegabyte);
    cr_assert(report.waitingTime >= 3s && report.waitingTime <= 4s);
    cr_assert(report.waiting.sinceRelease > 3s && report.waiting.sinceRelease <= 4500ms);
    cr_assert_eq(report.places, 24);
    cr_assert_eq(report.milliCores, 48'000);
    cr_assert_eq(report.freeMilliCores, 48'000);
    cr_assert_eq(report.unusedMilliCores, 48'000);
    cr_assert_eq(report.idleMilliCores, 48'000);
    cr_assert(report.workersReadAge && *report.workersReadAge <= 100ms);
    cr_assert(report.jobsReadAge <= 100ms);
    cr_assert(report.oldestReportAge <= 1s);
}

// Guards against workers that count as suitable although the advice service has not allowed them yet.
Test(waitingWatchdog, aStepWithoutAdviceNamesTheAdvice)
{
    Fleet fleet;
    fleet.requireAdvice();
    fleet.submit("j", 3, 2000);
    fleet.simulation.run(8s);
    cr_assert_eq(fleet.simulation.overdueSteps.size(), 1);
    const WaitingTasks &waiting = fleet.simulation.overdueSteps.front().waiting;
    cr_assert_eq(waiting.suitableWorkers, 0, "%zu suitable workers", waiting.suitableWorkers);
    cr_assert_eq(waiting.workers.size(), 1);
    cr_assert_eq(waiting.workers.at(PlacementObstacle::Advice), 6);
}

Test(waitingWatchdog, aBestEffortStepThatWaitsIsReportedLikeOthers)
{
    Fleet fleet;
    fleet.requireAdvice();
    fleet.submit("j", 1, 2000, [](Wire::TaskStep &step) { step.fillsIdle = true; });
    fleet.simulation.run(8s);
    cr_assert_eq(fleet.simulation.overdueSteps.size(), 1);
    cr_assert(fleet.simulation.overdueSteps.front().waiting.kind == TaskKind::BestEffort);
}

Test(waitingWatchdog, aStepWithARunningTaskIsNotReported)
{
    Fleet fleet;
    fleet.submit("j", 2, 1000, [](Wire::TaskStep &step) { step.perWorker = 1; });
    fleet.simulation.run(1s);
    cr_assert_eq(fleet.simulation.openRuns(), 2);
    fleet.requireAdvice();
    fleet.simulation.removeMachine(static_cast<std::size_t>(fleet.simulation.starts.front().second.back() - '0'));
    fleet.simulation.run(20s);
    cr_assert_eq(fleet.simulation.openRuns(), 1, "%zu open runs", fleet.simulation.openRuns());
    cr_assert_eq(fleet.simulation.overdueSteps.size(), 0);
}

// The platform judges each serving task, whether others of its job run or not.
Test(waitingWatchdog, aServingStepIsReportedIfOneOfItsTasksWaits)
{
    Fleet fleet;
    fleet.submit("j", 6, 1000, [](Wire::TaskStep &step) {
        step.longRunning = true;
        step.perWorker = 2;
    });
    fleet.simulation.run(1s);
    cr_assert_eq(fleet.simulation.openRuns(), 6);
    fleet.requireAdvice();
    const std::string drained = fleet.simulation.starts.front().second;
    fleet.simulation.drainWorker(static_cast<std::size_t>(drained.back() - '0'));
    fleet.simulation.run(10s);
    cr_assert_lt(fleet.simulation.openRuns(), 6);
    cr_assert_eq(fleet.simulation.overdueSteps.size(), 1, "%zu reports", fleet.simulation.overdueSteps.size());
    cr_assert(fleet.simulation.overdueSteps.front().waiting.kind == TaskKind::Serving);
}

// A step that may have one task on each worker has no room beside them.
Test(waitingWatchdog, roomBeyondTheLimitPerWorkerIsNotFree)
{
    Fleet fleet;
    fleet.submit("j", 8, 1000, [](Wire::TaskStep &step) {
        step.longRunning = true;
        step.perWorker = 1;
    });
    fleet.simulation.run(20s);
    cr_assert_eq(fleet.simulation.openRuns(), 6);
    cr_assert_eq(fleet.simulation.overdueSteps.size(), 0);
}

Test(waitingWatchdog, roomForOneTaskIsNotEnough)
{
    Fleet fleet;
    fleet.submit("all", 5, 7000, [](Wire::TaskStep &step) { step.longRunning = true; });
    fleet.simulation.run(1s);
    fleet.requireAdvice();
    fleet.submit("j", 1, 5000, [](Wire::TaskStep &step) { step.longRunning = true; });
    fleet.simulation.run(20s);
    cr_assert_eq(fleet.simulation.overdueSteps.size(), 0);
}

Test(waitingWatchdog, aStepInABusyPoolIsReportedAfterALongerWait)
{
    Rounds rounds;
    rounds.waiting = {stepOf("j")};
    rounds.room = WaitingWatchdog::Room::InBusyPool;
    rounds.run(WaitingWatchdog::MaximumWaitInBusyPool);
    cr_assert_eq(rounds.reported.size(), 0);
    rounds.run(1s);
    cr_assert_eq(rounds.reported.size(), 1);
}

// While half of the capacity is in use, the platform permits that a task waits, unless it serves.
Test(waitingWatchdog, aServingStepInABusyPoolIsReportedAtOnce)
{
    Fleet fleet;
    fleet.submit("half", 6, 4500);
    fleet.simulation.run(1s);
    cr_assert_eq(fleet.simulation.openRuns(), 6);
    fleet.requireAdvice();
    fleet.submit("short", 1, 1000);
    fleet.submit("filling", 1, 1000, [](Wire::TaskStep &step) { step.fillsIdle = true; });
    fleet.submit("serving", 1, 1000, [](Wire::TaskStep &step) { step.longRunning = true; });
    fleet.simulation.run(8s);
    cr_assert_eq(fleet.simulation.overdueSteps.size(), 1);
    cr_assert_eq(fleet.simulation.overdueSteps.front().step.job, "serving");
}

Test(waitingWatchdog, aStepWhoseTurnHasNotComeIsNotReported)
{
    Fleet fleet;
    fleet.simulation.submit("j", 2, 1);
    fleet.simulation.run(20s);
    cr_assert_eq(fleet.simulation.openRuns(), 1);
    cr_assert_eq(fleet.simulation.overdueSteps.size(), 0);
}
