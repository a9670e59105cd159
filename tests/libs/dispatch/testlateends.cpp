#include "eventharness.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto UntilLeaseHasExpired = 7s;

/// Starts the only task, and lets the worker be unreachable. The run ends meanwhile, which the worker lists in its next report.
void endRunUnseen(EventHarness &harness, RunEndReason endReason, Duration unreachableFor)
{
    harness.startAllTasks();
    harness.advance(1s);
    harness.advance(unreachableFor, false);
    harness.ends = {{1, harness.runs.front().task, 1, endReason, ""}};
    harness.runs.clear();
}

} // namespace

// Guards against second runs of tasks that have completed on a worker which the owner could not reach for longer than its lease.
Test(lateEnds, aRunOnAWorkerThatLivesIsNotReplacedBeforeItsReportMayCome)
{
    EventHarness harness;
    endRunUnseen(harness, RunEndReason::Completed, UntilLeaseHasExpired);
    cr_assert(harness.all<RunEnded>().empty(), "the run counts as lost, but it may have completed");
    harness.advance(1s);
    cr_assert_eq(harness.all<JobEnded>().size(), 1);
    cr_assert_eq(harness.all<StartCommand>().size(), 1);
}

Test(lateEnds, aRunOnAWorkerThatIsNotRegisteredIsReplacedWhenItsLeaseHasExpired)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    harness.dispatcher.removeWorker("w");
    harness.advance(UntilLeaseHasExpired, false);
    cr_assert_eq(harness.all<RunEnded>().size(), 1);
}

Test(lateEnds, aServingRunIsReplacedWhenItsLeaseHasExpired)
{
    EventHarness harness(1, true);
    harness.startAllTasks();
    harness.advance(1s);
    harness.advance(UntilLeaseHasExpired, false);
    cr_assert_eq(harness.all<RunEnded>().size(), 1);
}

Test(lateEnds, theWaitForAReportIsLimited)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    harness.advance(13s, false);
    cr_assert_eq(harness.all<RunEnded>().size(), 1);
}

// The next run has a worker, but its intent is not durable yet.
Test(lateEnds, anEndOfALostRunWithdrawsTheNextOneThatHasNotStarted)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    harness.advance(13s, false);
    const TaskId task = harness.runs.front().task;
    harness.runs.clear();
    bool isReported = false;
    harness.beforeRecordsStored = [&] {
        if (isReported) {
            return;
        }
        isReported = true;
        WorkerReport report;
        report.clock = harness.clock();
        report.ends = {{1, task, 1, RunEndReason::Completed, ""}};
        harness.dispatcher.pollAnswered(
            harness.all<PollCommand>().empty() ? PollCommand{} : harness.all<PollCommand>().back(), report, harness.now, harness.now);
    };
    harness.advance(1s);
    cr_assert(isReported);
    cr_assert_eq(harness.all<StartCommand>().size(), 1, "the task was started again");
    cr_assert_eq(harness.all<JobEnded>().size(), 1);
}

Test(lateEnds, aFailureOfALostRunCounts)
{
    EventHarness harness;
    endRunUnseen(harness, RunEndReason::Failed, 13s);
    cr_assert_eq(harness.all<RunEnded>().size(), 1);
    harness.advance(1s);
    const auto ends = harness.all<JobEnded>();
    cr_assert_eq(ends.size(), 1, "the failure was acknowledged and not counted");
    cr_assert_eq(ends.front().phase, "failed");
    cr_assert_eq(harness.all<StartCommand>().size(), 1);
}

Test(lateEnds, anEndAfterTheNextStartIsIgnoredAndLogged)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    const TaskId task = harness.runs.front().task;
    harness.advance(13s, false);
    harness.runs.clear();
    harness.advance(1s);
    cr_assert_eq(harness.all<StartCommand>().size(), 2);
    harness.ends = {{1, task, 1, RunEndReason::Completed, ""}};
    harness.advance(1s);
    cr_assert(harness.all<JobEnded>().empty());
    const auto ignored = harness.all<LateEndIgnored>();
    cr_assert_eq(ignored.size(), 1);
    cr_assert_eq(ignored.front().newestRun, 2);
}
