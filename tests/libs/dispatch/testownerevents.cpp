#include "eventharness.h"

#include <dispatch/dispatchsummary.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

Test(ownerEvents, workersOfTheFirstListingAreNotReportedAsNew)
{
    EventHarness harness;
    harness.advance(5s);
    cr_assert(harness.all<WorkerRegistered>().empty());
}

Test(ownerEvents, aRegistrationIsReportedOnce)
{
    EventHarness harness;
    harness.advance(3s);
    WorkerInfo info = harness.worker();
    info.id = "new";
    info.failureDomain = "east";
    harness.dispatcher.updateWorker(info);
    harness.advance(20ms);
    harness.dispatcher.updateWorker(info);
    harness.advance(1s);
    const auto events = harness.all<WorkerRegistered>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].worker, "new");
    cr_assert_eq(events[0].address, info.address);
    cr_assert_eq(events[0].failureDomain, "east");
}

Test(ownerEvents, theBeginningOfADrainIsReportedOnce)
{
    EventHarness harness(2);
    harness.startAllTasks();
    WorkerInfo info = harness.worker();
    info.draining = true;
    info.drainRemaining = 7s;
    harness.dispatcher.updateWorker(info);
    harness.advance(20ms);
    info.drainRemaining = 6s;
    harness.dispatcher.updateWorker(info);
    harness.advance(1s);
    const auto events = harness.all<WorkerDraining>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].worker, "w");
    cr_assert(events[0].remaining == 7s);
    cr_assert_eq(events[0].openRuns, 2);
}

Test(ownerEvents, aWithdrawnWorkerIsReportedWithItsRuns)
{
    EventHarness harness(2);
    harness.startAllTasks();
    harness.advance(1s);
    harness.advance(500ms, false);
    harness.dispatcher.removeWorker("w");
    harness.advance(1s, false);
    const auto events = harness.all<WorkerUnregistered>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].worker, "w");
    cr_assert_eq(events[0].openRuns, 2);
    cr_assert_geq(events[0].failedPolls, 2);
    cr_assert(events[0].sinceReport >= 500ms && events[0].sinceReport <= 600ms);
}

Test(ownerEvents, onlyTheFirstFailedPollIsReported)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    harness.advance(1s, false);
    const auto events = harness.all<WorkerUnreachable>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].worker, "w");
    cr_assert_eq(events[0].reason, "no response");
    cr_assert_eq(events[0].openRuns, 1);
    cr_assert(events[0].sinceReport <= 40ms);
    cr_assert(events[0].untilLeaseEnd > 5s && events[0].untilLeaseEnd < 15s);
}

Test(ownerEvents, theReasonOfARejectedPollIsReported)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(100ms);
    harness.pollFailure = CommandRejected{RejectionReason::WrongWorker, "a different worker"};
    harness.advance(1s, false);
    const auto events = harness.all<WorkerUnreachable>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].reason, "a different worker");
    const auto ends = harness.all<RunEnded>();
    cr_assert_eq(ends.size(), 1, "no run of this worker exists any more");
    cr_assert(ends[0].evidence == RunEndEvidence::ProcessEnded);
}

Test(ownerEvents, aWorkerThatReportsAgainIsReportedOnce)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    harness.advance(1s, false);
    harness.advance(1s);
    const auto events = harness.all<WorkerReachableAgain>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].worker, "w");
    cr_assert_eq(events[0].openRuns, 1);
    cr_assert_geq(events[0].failedPolls, 4);
    cr_assert(events[0].sinceReport >= 1s && events[0].sinceReport <= 1300ms);
}

Test(ownerEvents, theEndOfTheOwnershipNamesTheWorkerAndTheToken)
{
    EventHarness harness;
    while (harness.all<StartCommand>().empty()) {
        harness.advance(20ms);
    }
    const StartCommand start = harness.all<StartCommand>()[0];
    harness.dispatcher.startAnswered(start, CommandRejected{RejectionReason::Fenced, "newer token 2000"}, harness.now);
    harness.advance(20ms);
    const auto events = harness.all<StepDown>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].worker, "w");
    cr_assert_eq(events[0].fencingToken, start.fencingToken);
    cr_assert_eq(events[0].newestToken, start.fencingToken);
    cr_assert_eq(events[0].detail, "newer token 2000");
}

Test(ownerEvents, theSummaryCountsUnreachableWorkersAndTheirRuns)
{
    EventHarness harness(2);
    harness.startAllTasks();
    DispatchSummary summary = harness.dispatcher.summary(harness.now);
    cr_assert_eq(summary.registeredWorkers, 1);
    cr_assert_eq(summary.unreachableWorkers, 0);
    cr_assert_eq(summary.unreachableRuns, 0);
    harness.advance(1s, false);
    WorkerInfo info = harness.worker();
    info.draining = true;
    harness.dispatcher.updateWorker(info);
    summary = harness.dispatcher.summary(harness.now);
    cr_assert_eq(summary.registeredWorkers, 1);
    cr_assert_eq(summary.drainingWorkers, 1);
    cr_assert_eq(summary.unreachableWorkers, 1);
    cr_assert_eq(summary.unreachableRuns, 2);
    harness.advance(100ms);
    harness.dispatcher.removeWorker("w");
    summary = harness.dispatcher.summary(harness.now);
    cr_assert_eq(summary.registeredWorkers, 0);
    cr_assert_eq(summary.unreachableRuns, 2, "the runs of an unregistered worker count too");
}

Test(ownerEvents, theEndOfAJobTellsWhyItWasLate)
{
    EventHarness harness(2);
    while (harness.all<StartCommand>().size() < 2) {
        harness.advance(20ms);
    }
    const StartCommand first = harness.all<StartCommand>()[0];
    const StartCommand second = harness.all<StartCommand>()[1];
    harness.dispatcher.startAnswered(first, CommandUndetermined{"timeout"}, harness.now);
    harness.dispatcher.startAnswered(second, CommandNotSent{"connection refused"}, harness.now);
    harness.advance(1s);
    harness.dispatcher.startAnswered(first, CommandExecuted{harness.clock()}, harness.now);
    const StartCommand third = harness.all<StartCommand>().back();
    cr_assert(third.task == second.task && third.run == 2);
    harness.dispatcher.startAnswered(third, CommandExecuted{harness.clock()}, harness.now);
    harness.runs = {{first.task, 1, "", 0, 0}, {third.task, 2, "", 0, 0}};
    harness.advance(2s);
    harness.runs.clear();
    harness.ends = {{1, first.task, 1, RunEndReason::Completed, ""}, {2, third.task, 2, RunEndReason::Completed, ""}};
    harness.advance(100ms);
    const auto events = harness.all<JobEnded>();
    cr_assert_eq(events.size(), 1);
    const JobHistory &history = events[0].history;
    cr_assert(events[0].hasStarted);
    cr_assert(*history.firstStart - events[0].countedFrom > 900ms && *history.firstStart - events[0].countedFrom < 1500ms);
    cr_assert_eq(history.startsWithoutResponse, 1);
    cr_assert_eq(history.startsNotSent, 1);
    cr_assert_eq(history.endedRuns(), 2);
    cr_assert_eq(history.completedRuns, 2);
    cr_assert(history.lastTask == third.task);
    cr_assert_eq(history.lastRun, 2);
    cr_assert_eq(history.lastWorker, "w");
    cr_assert(*history.lastRunTime > 1900ms && *history.lastRunTime < 2200ms);
}

Test(ownerEvents, aStartThatIsNotSentIsReported)
{
    EventHarness harness;
    WorkerInfo info = harness.worker();
    harness.beforeRecordsStored = [&harness, &info] {
        info.draining = info.draining || harness.dispatcher.openRuns() > 0;
        harness.dispatcher.updateWorker(info);
    };
    harness.advance(1s);
    const auto events = harness.all<StartWithdrawn>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].worker, "w");
    cr_assert_eq(events[0].run, 1);
    cr_assert(harness.all<StartCommand>().empty());
}

Test(ownerEvents, withheldStartsAreReportedWithTheAgesOfBothReads)
{
    EventHarness harness;
    harness.advance(1s);
    harness.readsWorkers = false;
    harness.advance(5s);
    cr_assert(harness.dispatcher.areStartsWithheld());
    harness.readsWorkers = true;
    harness.advance(1s);
    cr_assert_not(harness.dispatcher.areStartsWithheld());
    const auto withheld = harness.all<StartsWithheld>();
    cr_assert_eq(withheld.size(), 1);
    cr_assert(withheld[0].workersReadAge >= 2s && withheld[0].workersReadAge <= 2100ms);
    cr_assert_leq(withheld[0].jobsReadAge.count(), 20);
    const auto resumed = harness.all<StartsResumed>();
    cr_assert_eq(resumed.size(), 1);
    cr_assert(resumed[0].withheldFor >= 2900ms && resumed[0].withheldFor <= 3100ms);
}

Test(ownerEvents, theEndOfARunNamesItsEvidence)
{
    EventHarness harness(3);
    harness.startAllTasks();
    harness.advance(1s);
    harness.ends = {{1, harness.runs[0].task, 1, RunEndReason::Completed, ""}};
    harness.runs.erase(harness.runs.begin(), harness.runs.begin() + 2);
    harness.advance(1s);
    harness.advance(15s, false);
    const auto events = harness.all<RunEnded>();
    cr_assert_geq(events.size(), 3);
    cr_assert(events[0].evidence == RunEndEvidence::Report);
    cr_assert_eq(events[0].startsSent, 1);
    cr_assert(events[1].evidence == RunEndEvidence::MissingInReport);
    cr_assert(events[2].evidence == RunEndEvidence::LeaseExpired);
}

Test(ownerEvents, theEndOfARunNamesTheEndOfTheProcess)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(1s);
    harness.pollFailure = WorkerNotListening{"connection refused"};
    harness.advance(1s, false);
    harness.dispatcher.liveWorkersListed({}, harness.now, harness.now);
    harness.advance(20ms, false);
    const auto events = harness.all<RunEnded>();
    cr_assert_eq(events.size(), 1);
    cr_assert(events[0].evidence == RunEndEvidence::ProcessEnded);
}

Test(ownerEvents, theStartOfAServingTaskTellsHowLongItHadNoRun)
{
    EventHarness harness(1, true);
    harness.startAllTasks();
    cr_assert_not(harness.all<StartCommand>()[0].withoutRun.has_value());
    harness.advance(1s);
    harness.pollFailure = WorkerNotListening{"connection refused"};
    harness.advance(500ms, false);
    harness.dispatcher.liveWorkersListed({}, harness.now, harness.now);
    harness.advance(500ms, false);
    harness.runs.clear();
    harness.processStartedAt = 2s;
    harness.advance(2s);
    const auto starts = harness.all<StartCommand>();
    cr_assert_eq(starts.size(), 2);
    cr_assert(starts[1].isServing);
    cr_assert(starts[1].withoutRun > 500ms && starts[1].withoutRun < 1500ms);
}

Test(ownerEvents, aQuarantineIsReportedOnce)
{
    EventHarness harness;
    harness.startAllTasks();
    harness.advance(100ms);
    harness.makesProgress = false;
    harness.advance(70s); // a tenth of the estimate of the task, and more
    const auto quarantines = harness.all<WorkerQuarantined>();
    cr_assert_eq(quarantines.size(), 1);
    cr_assert_eq(quarantines[0].worker, "w");
    cr_assert_eq(quarantines[0].count, 1);
    cr_assert(quarantines[0].remaining > 2s && quarantines[0].remaining <= 3s);
    cr_assert(harness.all<WorkerSoundAgain>().empty());
}
