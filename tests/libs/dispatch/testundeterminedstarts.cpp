#include "eventharness.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaximumStarts = 3;
constexpr auto Tick = 20ms;

/// Advances until the only task has a start command, which is not answered.
StartCommand waitForStart(EventHarness &harness)
{
    while (harness.all<StartCommand>().empty()) {
        harness.advance(Tick);
    }
    return harness.all<StartCommand>().front();
}

/// Lets the worker list the run of @p start in its next reports.
void execute(EventHarness &harness, const StartCommand &start)
{
    harness.runs.push_back({start.task, start.run, "", 0, 0});
}

/// Lets the responses to the start commands from the newest on be lost, until there were @p starts.
void loseResponses(EventHarness &harness, std::size_t starts)
{
    const auto loseNewest = [&] { harness.dispatcher.startAnswered(harness.all<StartCommand>().back(), CommandUndetermined{"timeout"}, harness.now); };
    while (harness.all<StartCommand>().size() < starts) {
        loseNewest();
        harness.advance(Tick);
    }
    loseNewest();
}

} // namespace

// Guards against the stop of a serving run that has begun, because the responses to its start and to a poll were late.
Test(undeterminedStarts, aRunOnAWorkerWhosePollHasFailedIsNotStopped)
{
    EventHarness harness(1, true);
    const StartCommand start = waitForStart(harness);
    execute(harness, start);
    harness.advance(100ms, false);
    harness.dispatcher.startAnswered(start, CommandUndetermined{"timeout"}, harness.now);
    harness.advance(2s);
    cr_expect(harness.all<StopCommand>().empty(), "%zu stops", harness.all<StopCommand>().size());
    cr_expect(harness.all<RunEnded>().empty());
    cr_expect_eq(harness.all<StartCommand>().size(), 1);
}

// Guards against the same while the owner reads the registrations late and therefore starts nothing.
Test(undeterminedStarts, aRunThatBeganBeforeStartsWereWithheldIsNotStopped)
{
    EventHarness harness(1, true);
    const StartCommand start = waitForStart(harness);
    execute(harness, start);
    harness.readsWorkers = false;
    harness.advance(3s, false);
    harness.dispatcher.startAnswered(start, CommandUndetermined{"timeout"}, harness.now);
    harness.advance(1s);
    cr_expect(harness.all<StopCommand>().empty(), "%zu stops", harness.all<StopCommand>().size());
    cr_expect(harness.all<RunEnded>().empty());
}

// Guards against the stop of a run that a worker has begun, and whose starts have no response.
Test(undeterminedStarts, aRunThatIsListedAfterTheLastAttemptContinues)
{
    EventHarness harness(1, true);
    const StartCommand start = waitForStart(harness);
    loseResponses(harness, MaximumStarts);
    execute(harness, start);
    harness.advance(2s);
    cr_expect(harness.all<StopCommand>().empty(), "%zu stops", harness.all<StopCommand>().size());
    cr_expect(harness.all<RunEnded>().empty());
}

// Guards against the stop of a serving run that has begun, because a repetition of its start found no connection over the owner's full link.
Test(undeterminedStarts, aRunThatBeganBeforeARepetitionWasNotSentIsNotStopped)
{
    EventHarness harness(1, true);
    const StartCommand start = waitForStart(harness);
    harness.dispatcher.startAnswered(start, CommandUndetermined{"timeout"}, harness.now);
    harness.advance(Tick);
    cr_assert_eq(harness.all<StartCommand>().size(), 2, "%zu starts", harness.all<StartCommand>().size());
    execute(harness, start);
    harness.dispatcher.startAnswered(harness.all<StartCommand>().back(), CommandNotSent{"connection timeout"}, harness.now);
    harness.advance(1s);
    cr_expect(harness.all<StopCommand>().empty(), "%zu stops", harness.all<StopCommand>().size());
    cr_expect(harness.all<RunEnded>().empty());
    cr_expect_eq(harness.all<StartCommand>().size(), 2);
}

// Guards against a task that waits for a start command which was never executed.
Test(undeterminedStarts, aStartThatIsNotListedIsRepeatedAndFinallyStopped)
{
    EventHarness harness(1, true);
    StartCommand start = waitForStart(harness);
    harness.advance(100ms, false);
    harness.dispatcher.startAnswered(start, CommandUndetermined{"timeout"}, harness.now);
    harness.advance(1s);
    cr_assert_eq(harness.all<StartCommand>().size(), 2, "%zu starts", harness.all<StartCommand>().size());
    loseResponses(harness, MaximumStarts);
    harness.advance(100ms);
    cr_assert_eq(harness.all<StopCommand>().size(), 1);
    cr_expect_eq(harness.all<StopCommand>()[0].reason, StopReason::StartUndetermined);
}

// Guards against a task without a run beyond the lease of a worker that does not report any more.
Test(undeterminedStarts, aRunOnASilentWorkerEndsWithItsLease)
{
    EventHarness harness(1, true);
    const StartCommand start = waitForStart(harness);
    harness.advance(100ms, false);
    harness.dispatcher.startAnswered(start, CommandUndetermined{"timeout"}, harness.now);
    harness.advance(7s, false);
    const auto ends = harness.all<RunEnded>();
    cr_assert_eq(ends.size(), 1);
    cr_expect(ends[0].evidence == RunEndEvidence::LeaseExpired);
}
