#include "eventharness.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

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

/// Answers the last request for the list of live workers, as of now.
void listLiveWorkers(EventHarness &harness, const std::set<std::string> &workers)
{
    cr_assert_not(harness.all<ListLiveWorkers>().empty(), "the list was not requested");
    harness.dispatcher.liveWorkersListed(workers, harness.now, harness.now);
    harness.advance(20ms, false);
}

/// Advances until @p count start commands were sent.
void waitForStarts(EventHarness &harness, std::size_t count)
{
    for (int round = 0; round < 20 && harness.all<StartCommand>().size() < count; ++round) {
        harness.advance(20ms);
    }
    cr_assert_eq(harness.all<StartCommand>().size(), count);
}

/// Leaves the first copy of the start without a response, and lets the worker list the run. The second copy is in transit.
void sendTwoCopiesOfTheFirstStart(EventHarness &harness)
{
    const StartCommand start = harness.all<StartCommand>().front();
    const std::size_t count = harness.all<StartCommand>().size();
    harness.dispatcher.startAnswered(start, CommandUndetermined{"timeout"}, harness.now);
    waitForStarts(harness, count + 1);
    harness.runs = {{start.task, start.run, "", 0, 0}};
    harness.advance(200ms);
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
    harness.dispatcher.liveWorkersListed({"w"}, harness.now, harness.now);
    harness.advance(SeveralPolls, false);
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
    listLiveWorkers(harness, {});
    cr_assert(harness.all<RunEnded>().empty(), "the run counts as ended, but a command may start it again");
}

Test(workerProcessEnd, aRunWithOneConfirmedStartCommandEnds)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    refusePolls(harness);
    listLiveWorkers(harness, {});
    cr_assert_eq(harness.all<RunEnded>().size(), 1);
}

// Guards against runs that are started elsewhere while a network partition that resets connections hides their live worker.
Test(workerProcessEnd, refusedConnectionsAloneDoNotEndTheRunsOfAWorker)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    refusePolls(harness);
    cr_assert(harness.all<RunEnded>().empty(), "a refused connection counts as the end of the process");
    listLiveWorkers(harness, {"w"});
    harness.advance(SeveralPolls, false);
    cr_assert(harness.all<RunEnded>().empty(), "the run of a listed worker counts as ended");
}

// The list was read before the polls failed, so it tells nothing about the time after.
Test(workerProcessEnd, aListThatIsOlderThanTheRefusalDoesNotEndRuns)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    const TimePoint before = harness.now;
    refusePolls(harness);
    harness.dispatcher.liveWorkersListed({}, before, harness.now);
    harness.advance(20ms, false);
    cr_assert(harness.all<RunEnded>().empty());
}

Test(workerProcessEnd, aRunThatWasConfirmedAfterTheListWasReadDoesNotEnd)
{
    EventHarness harness(2);
    waitForStarts(harness, 2);
    const auto starts = harness.all<StartCommand>();
    harness.dispatcher.startAnswered(starts[0], CommandExecuted{harness.clock()}, harness.now);
    harness.runs = {{starts[0].task, starts[0].run, "", 0, 0}};
    harness.advance(200ms);
    refusePolls(harness);
    const TimePoint listedAt = harness.now;
    harness.now += 20ms;
    // The next process has confirmed the second start since then.
    harness.dispatcher.startAnswered(starts[1], CommandExecuted{harness.clock()}, harness.now);
    harness.dispatcher.liveWorkersListed({}, listedAt, harness.now);
    harness.advance(20ms, false);
    const auto ends = harness.all<RunEnded>();
    cr_assert_eq(ends.size(), 1, "%zu runs count as ended", ends.size());
    cr_assert_eq(ends.front().task.index, starts[0].task.index);
}

// An address that answers for another worker shows that the process has ended, but not what became of a start command without a response.
Test(workerProcessEnd, anAddressThatBelongsToAnotherWorkerEndsOnlyRunsWithoutAnOutstandingStart)
{
    EventHarness harness(2);
    waitForStarts(harness, 2);
    sendTwoCopiesOfTheFirstStart(harness);
    const auto starts = harness.all<StartCommand>();
    harness.dispatcher.startAnswered(starts[1], CommandExecuted{harness.clock()}, harness.now);
    harness.runs.push_back({starts[1].task, starts[1].run, "", 0, 0});
    harness.advance(200ms);
    harness.pollFailure = CommandRejected{RejectionReason::WrongWorker, "other worker"};
    harness.advance(SeveralPolls, false);
    const auto ends = harness.all<RunEnded>();
    cr_assert_eq(ends.size(), 1, "%zu runs count as ended", ends.size());
    cr_assert_eq(ends.front().task.index, starts[1].task.index);
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

Test(workerProcessEnd, aRunWhoseRowCannotBeDecodedIsNotStartedAgain)
{
    EventHarness harness(2);
    harness.startAllTasks();
    harness.advance(1s);
    harness.runs.pop_back();
    harness.malformedRuns = 1;
    harness.advance(1s);
    cr_assert(harness.all<RunEnded>().empty(), "the row that cannot be decoded may be the missing run");
    harness.malformedRuns = 0;
    harness.advance(1s);
    cr_assert_eq(harness.all<RunEnded>().size(), 1);
}

Test(workerProcessEnd, aStopIsRepeatedWhileARowOfTheReportCannotBeDecoded)
{
    EventHarness harness(1, true);
    harness.startAllTasks();
    harness.advance(1s);
    WorkerInfo info = harness.worker();
    info.draining = true;
    harness.dispatcher.updateWorker(info);
    harness.advance(20ms);
    harness.dispatcher.stopAnswered(harness.all<StopCommand>().back(), CommandNotSent{"no connection"}, harness.now);
    harness.runs.clear();
    harness.malformedRuns = 1;
    harness.advance(2s);
    cr_assert_gt(harness.all<StopCommand>().size(), 1, "the stop was not repeated");
}

Test(workerProcessEnd, aRunThatTheNextProcessHasConfirmedIsNotEndedWhenAClockShowsTheRestart)
{
    EventHarness harness(2);
    harness.processStartedAt = 1s;
    waitForStarts(harness, 2);
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

Test(workerProcessEnd, aStoppedRunWhoseStartIsInTransitIsNotEndedBeforeTheStartIsAnswered)
{
    EventHarness harness;
    harness.processStartedAt = 1s;
    waitForStarts(harness, 1);
    harness.processStartedAt = 2s;
    harness.advance(200ms);
    cr_assert_eq(harness.all<StopCommand>().size(), 1);
    harness.dispatcher.stopAnswered(harness.all<StopCommand>().front(), CommandExecuted{harness.clock()}, harness.now);
    harness.advance(400ms);
    // Yet another process, which does not know of the stop, may execute the start.
    cr_assert(harness.all<RunEnded>().empty(), "the run counts as ended, but its start may still be executed");
    harness.dispatcher.startAnswered(harness.all<StartCommand>().front(), CommandRejected{RejectionReason::Superseded, "old"}, harness.now);
    harness.advance(400ms);
    cr_assert_eq(harness.all<RunEnded>().size(), 1, "the run is not ended after the response");
}

Test(workerProcessEnd, aRunWithACopyOfItsStartInTransitIsNotEndedByARestart)
{
    EventHarness harness;
    harness.processStartedAt = 1s;
    waitForStarts(harness, 1);
    sendTwoCopiesOfTheFirstStart(harness);
    harness.processStartedAt = 2s;
    harness.runs.clear();
    harness.advance(200ms);
    cr_assert(harness.all<RunEnded>().empty(), "the run counts as ended, but the next process may start it");
    cr_assert_eq(harness.all<StopCommand>().size(), 1);
}

Test(workerProcessEnd, aRunWithTwoCopiesOfItsStartIsNotEndedWhenAClockShowsTheRestart)
{
    EventHarness harness(2);
    harness.processStartedAt = 1s;
    waitForStarts(harness, 2);
    sendTwoCopiesOfTheFirstStart(harness);
    const auto starts = harness.all<StartCommand>();
    // The next process has executed the second copy, and then the start of the other run.
    harness.dispatcher.startAnswered(starts.back(), CommandExecuted{harness.clock() - 4s}, harness.now);
    harness.dispatcher.startAnswered(starts[1], CommandExecuted{harness.clock() - 4s}, harness.now);
    harness.advance(20ms);
    cr_assert_eq(harness.all<WorkerRestarted>().size(), 1);
    cr_assert(harness.all<RunEnded>().empty(), "the run counts as ended, but the next process may have started it");
}

Test(workerProcessEnd, aLateReportOfThePreviousProcessIsNotTakenForAnotherRestart)
{
    EventHarness harness(2);
    harness.processStartedAt = 1s;
    waitForStarts(harness, 2);
    const auto starts = harness.all<StartCommand>();
    harness.dispatcher.startAnswered(starts[0], CommandExecuted{harness.clock()}, harness.now);
    harness.runs = {{starts[0].task, starts[0].run, "", 0, 0}};
    harness.advance(200ms);
    const PollCommand poll = harness.all<PollCommand>().back();
    const TimePoint polledAt = harness.now;
    WorkerReport report;
    report.clock = harness.clock();
    report.processStartedAt = harness.processStartedAt;
    report.runs = harness.runs;
    // The response to the poll is late: the next process has answered a start already.
    harness.now += 20ms;
    harness.dispatcher.startAnswered(starts[1], CommandExecuted{harness.clock() - 3s}, harness.now);
    harness.dispatcher.pollAnswered(poll, report, polledAt, harness.now);
    harness.processStartedAt = 2s;
    harness.runs.clear();
    harness.advance(200ms);
    cr_assert_eq(harness.all<WorkerRestarted>().size(), 1, "%zu restarts are assumed", harness.all<WorkerRestarted>().size());
    const auto stops = harness.all<StopCommand>();
    const bool stopsAsOrphan = std::ranges::any_of(stops, [](const StopCommand &stop) { return stop.reason == StopReason::Orphaned; });
    cr_assert_not(stopsAsOrphan, "the runs of the previous process count as present");
}

Test(workerProcessEnd, aRestartOfAWorkerThatReportsNoStartTimeIsFoundByItsClock)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    const TaskId task = harness.runs.front().task;
    harness.runs.clear();
    harness.ends = {{1, {"other", 0, 0, 0}, 1, RunEndReason::Stopped, ""}};
    harness.advance(1s);
    // The next process numbers its ends from 1 again.
    harness.clockBegin = harness.now;
    harness.ends = {{1, task, 2, RunEndReason::Completed, ""}};
    harness.advance(1s);
    cr_assert_eq(harness.all<WorkerRestarted>().size(), 1);
    cr_assert_eq(harness.all<JobEnded>().size(), 1, "the end that the next process reports was ignored");
}

Test(workerProcessEnd, endsOfThePreviousProcessThatAreStoredLateAreNotAcknowledgedToTheNext)
{
    EventHarness harness(2);
    harness.startAllTasks();
    harness.advance(1s);
    harness.ends = {{7, harness.runs.front().task, 1, RunEndReason::Completed, ""}};
    harness.runs.erase(harness.runs.begin());
    // The worker, which reports no start time, restarts before the batch with the end becomes durable. It has the other run again.
    bool isRestarted = false;
    harness.beforeRecordsStored = [&] {
        if (harness.all<RunEnded>().empty() || isRestarted) {
            return;
        }
        isRestarted = true;
        harness.clockBegin = harness.now - 1s;
        harness.ends.clear();
        WorkerReport report;
        report.clock = harness.clock();
        report.runs = harness.runs;
        harness.dispatcher.pollAnswered(harness.all<PollCommand>().back(), report, harness.now, harness.now);
    };
    harness.advance(1s);
    cr_assert(isRestarted);
    const std::vector<PollCommand> polls = harness.all<PollCommand>();
    const bool acknowledges = std::ranges::any_of(polls, [](const PollCommand &poll) { return poll.acknowledgedSequence > 0; });
    cr_assert_not(acknowledges, "an end of the previous process was acknowledged to the next one");
}
