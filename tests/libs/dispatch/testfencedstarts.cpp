#include "dispatchsimulation.h"
#include "eventharness.h"
#include "scriptedfleet.h"

#include <dispatch/workerhealth.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaximumStarts = 3; // of a run
constexpr std::uint32_t Seeds = 100;
constexpr int Jobs = 20;
constexpr int ServingInterval = 4; // one job in so many is a serving one
const std::string ServingPrefix = "serving";
constexpr std::size_t Workers = 6;
constexpr auto Tick = 20ms;
constexpr auto StopTime = 1000ms; // more than a stop takes on a slow clock
constexpr std::chrono::milliseconds ProcessStart{1};
constexpr std::chrono::milliseconds NextProcessStart{2};

/// Lets the responses to all start commands be lost, until the starts of all tasks have been sent as often as permitted.
void loseAllStarts(EventHarness &harness, std::size_t tasks = 1)
{
    std::size_t lost = 0;
    while (lost < MaximumStarts * tasks) {
        harness.advance(Tick);
        const auto starts = harness.all<StartCommand>();
        for (; lost < std::min(starts.size(), MaximumStarts * tasks); ++lost) {
            harness.dispatcher.startAnswered(starts[lost], CommandUndetermined{"timeout"}, harness.now);
        }
    }
}

/// Confirms the newest stop command.
void confirmStop(EventHarness &harness)
{
    cr_assert_not(harness.all<StopCommand>().empty());
    harness.dispatcher.stopAnswered(harness.all<StopCommand>().back(), CommandExecuted{harness.clock()}, harness.now);
}

/// Loses responses of workers and executes commands late while workers restart, also under another owner.
void runLossyScenario(std::uint32_t seed)
{
    DispatchSimulation simulation(seed, Workers);
    simulation.faults = {0.3, 0.3, 0.03, 0};
    const auto plan = simulation.plan;
    simulation.plan = [plan](const TaskId &task) {
        const bool isServing = task.job.starts_with(ServingPrefix);
        return isServing ? SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0} : plan(task);
    };
    std::vector<std::string> ids;
    simulation.claim();
    for (int job = 0; job < Jobs; ++job) {
        const bool isServing = job % ServingInterval == 0;
        const std::string id = (isServing ? ServingPrefix : "job") + std::to_string(job);
        simulation.submit(
            id, 1 + (isServing ? 0 : simulation.random(3)), 1 + simulation.random(4), [&](Wire::TaskStep &step) { step.longRunning = isServing; });
        ids.push_back(id);
        simulation.run(std::chrono::milliseconds(simulation.random(2000)));
        const auto worker = static_cast<std::size_t>(simulation.random(Workers));
        switch (simulation.random(5)) {
        case 0:
            simulation.restartWorker(worker, std::chrono::milliseconds(simulation.random(3000)));
            break;
        case 1:
            simulation.replaceProcess(worker);
            break;
        case 2:
            simulation.cancel(ids[static_cast<std::size_t>(simulation.random(job + 1))]);
            break;
        case 3:
            simulation.claim();
            break;
        default:
            break;
        }
    }
    simulation.faults = {};
    simulation.run(60s);
    cr_assert(simulation.violations.empty(), "seed %u: %s", seed, simulation.violations.empty() ? "" : simulation.violations.front().c_str());
    cr_assert(simulation.lostWaits().empty(), "seed %u: %s", seed, simulation.lostWaits().empty() ? "" : simulation.lostWaits().front().c_str());
}

} // namespace

// Guards against a task that waits for the response to a stop, although its run can't begin any more.
Test(fencedStarts, aRunThatCannotBeginEndsWithoutAStop)
{
    EventHarness harness(1, true);
    harness.processStartedAt = ProcessStart;
    loseAllStarts(harness);
    harness.advance(100ms);
    const auto ends = harness.all<RunEnded>();
    cr_assert_eq(ends.size(), 1, "%zu ends, %zu stops", ends.size(), harness.all<StopCommand>().size());
    cr_expect(ends[0].evidence == RunEndEvidence::FencedOff);
    cr_expect(harness.all<StopCommand>().empty());
}

// Guards against a second run beside one that a start command begins after the report: the worker did not know the new token yet.
Test(fencedStarts, aReportOnAPollWithAnOlderTokenProvesNothing)
{
    EventHarness harness(1, true);
    harness.processStartedAt = ProcessStart;
    harness.advance(200ms);
    harness.holdsPolls = true;
    loseAllStarts(harness);
    harness.holdsPolls = false;
    harness.advance(Tick);
    cr_expect(harness.all<RunEnded>().empty(), "ended by the report on an earlier poll");
    harness.advance(2 * Tick);
    cr_expect_eq(harness.all<RunEnded>().size(), 1);
}

// Guards against the same on a worker that has restarted: the next process may execute a late start before it learns of the token.
Test(fencedStarts, aReportOfTheNextProcessProvesNothing)
{
    EventHarness harness(1, true);
    harness.processStartedAt = ProcessStart;
    loseAllStarts(harness);
    harness.processStartedAt = NextProcessStart;
    harness.clockBegin = harness.now;
    harness.advance(300ms);
    cr_expect(harness.all<RunEnded>().empty());
    cr_expect_geq(harness.all<StopCommand>().size(), 1);
}

// Guards against the same on a worker whose list of runs can't be read in full.
Test(fencedStarts, aReportThatMayMissARunProvesNothing)
{
    EventHarness harness(1, true);
    harness.processStartedAt = ProcessStart;
    harness.malformedRuns = 1;
    loseAllStarts(harness);
    harness.advance(300ms);
    cr_expect(harness.all<RunEnded>().empty());
    cr_expect_geq(harness.all<StopCommand>().size(), 1);
}

// Guards against a run that has begun and ended and whose end is ignored, because its starts had no response.
Test(fencedStarts, aListedEndOfTheRunCounts)
{
    EventHarness harness(1, true);
    harness.processStartedAt = ProcessStart;
    loseAllStarts(harness);
    const StartCommand start = harness.all<StartCommand>().front();
    harness.ends.push_back({1, start.task, start.run, RunEndReason::Failed, ""});
    harness.advance(100ms);
    const auto ends = harness.all<RunEnded>();
    cr_assert_eq(ends.size(), 1);
    cr_expect(ends[0].evidence == RunEndEvidence::Report);
    cr_expect(ends[0].endReason == RunEndReason::Failed);
}

// Guards against a token that rises for each run, which rejects all starts in transit to the worker each time.
Test(fencedStarts, theTokenRisesOnceForAllRunsThatWait)
{
    constexpr int Tasks = 8;
    EventHarness harness(Tasks, true);
    harness.processStartedAt = ProcessStart;
    loseAllStarts(harness, Tasks);
    harness.advance(60ms);
    std::set<std::int64_t> tokens;
    for (const PollCommand &poll : harness.all<PollCommand>()) {
        tokens.insert(poll.fencingToken);
    }
    cr_expect_eq(tokens.size(), 2, "%zu tokens", tokens.size());
    cr_expect_eq(harness.all<RunEnded>().size(), Tasks);
}

// Guards against a serving task that waits for a late report of a worker that has confirmed the stop.
Test(fencedStarts, aStoppedServingRunEndsAfterTheTimeOfAStopWithoutAReport)
{
    EventHarness harness(1, true);
    harness.startAllTasks();
    harness.advance(200ms);
    harness.holdsPolls = true;
    WorkerInfo draining = harness.worker();
    draining.draining = true;
    harness.dispatcher.updateWorker(draining);
    harness.advance(Tick);
    confirmStop(harness);
    harness.advance(500ms);
    cr_expect(harness.all<RunEnded>().empty(), "the run may still be stopping");
    harness.advance(StopTime - 500ms);
    const auto ends = harness.all<RunEnded>();
    cr_assert_eq(ends.size(), 1);
    cr_expect(ends[0].evidence == RunEndEvidence::StopConfirmed);
}

// Guards against a run that counts as stopped although a start without a response may begin it in the next process of the worker.
Test(fencedStarts, aStoppedServingRunWithOutstandingStartsAwaitsAReport)
{
    EventHarness harness(1, true); // its worker does not tell when its process has started, so the run is stopped
    loseAllStarts(harness);
    harness.advance(2 * Tick);
    harness.holdsPolls = true;
    confirmStop(harness);
    harness.advance(StopTime);
    cr_expect_eq(harness.all<RunEnded>().size(), 0);
    harness.holdsPolls = false;
    harness.advance(1s);
    cr_expect_eq(harness.all<RunEnded>().size(), 1);
}

// Guards against a task that is not a serving one and runs again, although its run has completed before the stop.
Test(fencedStarts, aStoppedRunThatMayHaveCompletedAwaitsAReport)
{
    EventHarness harness(1, false);
    harness.startAllTasks();
    harness.advance(200ms);
    harness.makesProgress = false;
    while (harness.all<StopCommand>().empty()) {
        harness.advance(Tick);
    }
    harness.holdsPolls = true;
    confirmStop(harness);
    harness.advance(2 * StopTime);
    cr_expect(harness.all<RunEnded>().empty());
}

// Guards against ends that are not acknowledged for seconds, because the response to a start is lost whose run is listed.
Test(fencedStarts, aReportThatListsTheRunAnswersItsStart)
{
    EventHarness harness(2);
    harness.processStartedAt = ProcessStart;
    while (harness.all<StartCommand>().size() < 2) {
        harness.advance(Tick);
    }
    const auto starts = harness.all<StartCommand>();
    harness.dispatcher.startAnswered(starts[0], CommandExecuted{harness.clock()}, harness.now);
    harness.runs = {{starts[0].task, 1, "", 0, 0}, {starts[1].task, 1, "", 0, 0}};
    harness.advance(800ms);
    harness.dispatcher.startAnswered(starts[1], CommandUndetermined{"timeout"}, harness.now);
    harness.runs.erase(harness.runs.begin());
    harness.ends.push_back({1, starts[0].task, starts[0].run, RunEndReason::Completed, ""});
    harness.advance(1s);
    cr_expect(harness.all<StopCommand>().empty());
    const auto startsOf = [&](const TaskId &task) { return std::ranges::count(harness.all<StartCommand>(), task, &StartCommand::task); };
    cr_expect_eq(startsOf(starts[1].task), 1);
    cr_expect(std::ranges::any_of(harness.all<PollCommand>(), [](const PollCommand &poll) { return poll.acknowledgedSequence == 1; }), "not acknowledged");
}

// Guards against tasks that return to a worker that leaves starts unanswered, beside an idle one.
Test(fencedStarts, tasksPreferOtherWorkersAfterAnUnansweredStart)
{
    for (const bool fillsIdle : {false, true}) {
        for (const std::size_t mute : {0U, 1U}) {
            ScriptedFleet fleet(2);
            fleet.worker(mute).ignoresOrders = true;
            fleet.advance(1s);
            Wire::TaskStep step;
            step.milliCores = 8000;
            step.taskCount = 1;
            step.estimateMs = 2000;
            step.image = "batch";
            step.fillsIdle = fillsIdle;
            fleet.submit("job", step);
            const Duration waited = fleet.advanceUntil([&] { return fleet.runOf("job") != nullptr; }, 60s);
            const auto milliseconds = static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(waited).count());
            cr_expect_leq(waited, 4s, "w%zu is mute: it has waited for %ld ms", mute, milliseconds);
        }
    }
}

// Guards against a worker that gets no task at all because a response was lost.
Test(fencedStarts, aWorkerWithAnUnansweredStartIsNotRefused)
{
    const TimePoint now{1000s};
    WorkerHealth health;
    health.reportUnansweredStart(now);
    cr_expect(health.acceptsTask(now));
    cr_expect(health.hasMissedStartsLately(now + 1s));
    health.reportAcceptedStart();
    cr_expect_not(health.hasMissedStartsLately(now + 1s));
}

// Guards against concurrent runs of a task and starts of cancelled tasks, while the proof that a run can't begin meets restarts of workers.
Test(fencedStarts, lostResponsesAndLateCommandsAcrossRestartsCauseNoDuplicateRuns)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        runLossyScenario(seed);
    }
}
