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
    harness.advance(100ms);
    harness.pollFailure = CommandRejected{RejectionReason::WrongWorker, "a different worker"};
    harness.advance(3s, false);
    const auto events = harness.all<WorkerUnreachable>();
    cr_assert_eq(events.size(), 1);
    cr_assert_eq(events[0].reason, "a different worker");
    cr_assert(events[0].untilLeaseEnd == 0ms, "no run of this worker exists any more");
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
