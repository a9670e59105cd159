#include "eventharness.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto SeveralPolls = 1s; // less than a lease

void refusePolls(EventHarness &harness)
{
    harness.pollFailure = WorkerNotListening{"connection refused"};
    harness.advance(SeveralPolls, false);
}

} // namespace

Test(workerProcessEnd, aRefusalAtAnotherAddressDoesNotEndTheRunsOfALiveWorker)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    // The entry of the worker names a port where nothing listens; its process runs where it has reported from.
    WorkerInfo info = harness.worker();
    info.address = "127.0.0.1:2";
    harness.dispatcher.updateWorker(info);
    refusePolls(harness);
    cr_assert(harness.all<RunEnded>().empty(), "a run of a live worker counts as ended");
}

Test(workerProcessEnd, aRunWithAnUnansweredStartCommandWaitsForItsLease)
{
    EventHarness harness;
    while (harness.all<StartCommand>().empty()) {
        harness.advance(20ms);
    }
    // The first copy is not answered and may still be executed, by the next process as well; the second one is confirmed.
    harness.dispatcher.startAnswered(harness.all<StartCommand>().back(), CommandUndetermined{"timeout"}, harness.now);
    harness.advance(20ms);
    cr_assert_eq(harness.all<StartCommand>().size(), 2);
    harness.dispatcher.startAnswered(harness.all<StartCommand>().back(), CommandExecuted{harness.clock()}, harness.now);
    refusePolls(harness);
    cr_assert(harness.all<RunEnded>().empty(), "the run counts as ended, but a command may start it again");
}

Test(workerProcessEnd, aRunWithOneConfirmedStartCommandEnds)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    refusePolls(harness);
    cr_assert_eq(harness.all<RunEnded>().size(), 1);
}

Test(workerProcessEnd, aStopThatWasNotSentIsRepeatedWhilePollsFail)
{
    EventHarness harness(1, true);
    harness.startAllTasks();
    harness.advance(1s);
    WorkerInfo info = harness.worker();
    info.draining = true;
    harness.dispatcher.updateWorker(info);
    harness.advance(20ms);
    cr_assert_eq(harness.all<StopCommand>().size(), 1);
    // Without a confirmed stop, the run is known to have ended only when its lease has expired.
    harness.dispatcher.stopAnswered(harness.all<StopCommand>().back(), CommandNotSent{"no connection"}, harness.now);
    harness.advance(2s, false);
    cr_assert_geq(harness.all<StopCommand>().size(), 2, "the stop was not repeated");
}

Test(workerProcessEnd, aRunThatTheNextProcessReportsIsNotStartedAgain)
{
    EventHarness harness(2);
    harness.processStartedAt = 1s;
    harness.advance(100ms);
    harness.startAllTasks();
    harness.advance(100ms);
    // The process has restarted, and has executed the start of the second task before its first report.
    harness.processStartedAt = 2s;
    harness.runs.erase(harness.runs.begin());
    harness.advance(100ms);
    cr_assert_eq(harness.all<RunEnded>().size(), 1, "%zu runs count as ended", harness.all<RunEnded>().size());
    cr_assert_neq(harness.all<RunEnded>().front().task.index, harness.runs.front().task.index);
}

Test(workerProcessEnd, aRunConfirmedAfterTheFirstPollOfTheNextProcessIsStoppedFirst)
{
    EventHarness harness;
    harness.processStartedAt = 1s;
    harness.advance(100ms);
    while (harness.all<StartCommand>().empty()) {
        harness.advance(20ms);
    }
    const PollCommand poll = harness.all<PollCommand>().back();
    const TimePoint polledAt = harness.now;
    harness.now += 20ms;
    harness.dispatcher.startAnswered(harness.all<StartCommand>().back(), CommandExecuted{harness.clock()}, harness.now);
    WorkerReport report;
    report.clock = harness.clock();
    report.processStartedAt = 2s;
    harness.dispatcher.pollAnswered(poll, report, polledAt, harness.now);
    harness.advance(20ms);
    cr_assert(harness.all<RunEnded>().empty(), "the run may have been started by the next process");
    cr_assert_eq(harness.all<StopCommand>().size(), 1);
}

Test(workerProcessEnd, aRunThatTheNextProcessHasConfirmedIsNotEndedWhenAClockShowsTheRestart)
{
    EventHarness harness(2);
    harness.processStartedAt = 1s;
    while (harness.all<StartCommand>().size() < 2) {
        harness.advance(20ms);
    }
    // Both starts were executed by the next process; the later response arrives first.
    const auto starts = harness.all<StartCommand>();
    harness.dispatcher.startAnswered(starts[0], CommandExecuted{harness.clock() - 500ms}, harness.now);
    harness.dispatcher.startAnswered(starts[1], CommandExecuted{harness.clock() - 3000ms}, harness.now);
    harness.processStartedAt = 2s;
    harness.runs = {{starts[0].task, starts[0].run, "", 0, 0}, {starts[1].task, starts[1].run, "", 0, 0}};
    harness.advance(200ms);
    cr_assert_eq(harness.all<WorkerRestarted>().size(), 1);
    cr_assert(harness.all<RunEnded>().empty(), "a run of the next process counts as ended");
}
