#include <workers/workerleasetable.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static WorkerStatus statusAt(milliseconds clock)
{
    WorkerStatus status;
    status.worker = "w";
    status.clock = clock;
    return status;
}

static WorkerLeaseTable tableWithWorker(TimePoint start)
{
    WorkerLeaseTable table({});
    table.beginTerm(start);
    table.add("w", start);
    return table;
}

// Guards against a worker that is declared lost while its lease may still be valid (design 7.1): before the lease time
// plus 1 s plus 1 % since the last answered renewal was sent.
Test(workerleasetable, losesWorkerAfterLeaseAndMargin)
{
    const TimePoint start;
    WorkerLeaseTable table = tableWithWorker(start);
    cr_assert_eq(table.dueRenewals(start).size(), 1);
    cr_assert(table.granted("w", statusAt(seconds(5)), start, start + milliseconds(20)));
    cr_assert(table.held("w", start + seconds(9)));
    cr_assert(!table.held("w", start + seconds(10)));
    cr_assert(table.takeLostWorkers(start + milliseconds(11099)).empty());
    cr_assert_eq(table.takeLostWorkers(start + milliseconds(11100)).size(), 1);
    cr_assert(table.takeLostWorkers(start + seconds(20)).empty());
    cr_assert(table.lost("w"));
}

// Guards against renewals that reach the worker although their answers are lost: each would prolong the lease beyond
// the time at which the worker is declared lost.
Test(workerleasetable, unansweredRenewalsEndBeforeLoss)
{
    const TimePoint start;
    WorkerLeaseTable table = tableWithWorker(start);
    table.dueRenewals(start);
    table.granted("w", statusAt(seconds(5)), start, start + milliseconds(20));
    for (TimePoint now = start; now < start + milliseconds(11100); now += milliseconds(100)) {
        for (const LeaseRenewal &renewal : table.dueRenewals(now)) {
            constexpr milliseconds MaximumDelay{1000};
            cr_assert(now + MaximumDelay + renewal.duration <= start + milliseconds(11100));
            table.failed("w", now);
        }
    }
    cr_assert_eq(table.takeLostWorkers(start + milliseconds(11100)).size(), 1);
    cr_assert_eq(table.dueRenewals(start + seconds(13)).front().duration.count(), 10000);
}

// Guards against a renewal that a suspended worker processes after it resumes, when the owner has already declared it
// lost.
Test(workerleasetable, renewalsCarryTheirDeadline)
{
    const TimePoint start;
    WorkerLeaseTable table = tableWithWorker(start);
    cr_assert(!table.dueRenewals(start).front().notAfter.has_value(), "the worker's clock is not known yet");
    table.granted("w", statusAt(seconds(5)), start, start + milliseconds(20));
    // A transit time of one second is allowed; 1 % covers the difference of the clocks' rates.
    const auto renewal = table.dueRenewals(start + seconds(1)).front();
    cr_assert(renewal.notAfter.has_value());
    cr_assert(*renewal.notAfter <= seconds(5) + milliseconds(1980));
    cr_assert(*renewal.notAfter >= seconds(5) + milliseconds(1900));
    table.refused("w", start + milliseconds(1100));
    cr_assert(!table.dueRenewals(start + milliseconds(2200)).front().notAfter.has_value(), "the worker may have a new clock");
}

// Guards against a renewal whose answer took longer than the margin: the worker may have received it just before it
// answered.
Test(workerleasetable, slowAnswerPostponesLoss)
{
    const TimePoint start;
    WorkerLeaseTable table = tableWithWorker(start);
    table.dueRenewals(start);
    table.granted("w", statusAt(seconds(5)), start, start + seconds(3));
    cr_assert(table.takeLostWorkers(start + seconds(13)).empty());
    cr_assert_eq(table.takeLostWorkers(start + milliseconds(13100)).size(), 1);
}

// Guards against starts on a worker that has not answered for so long that it may have restarted with a new clock.
Test(workerleasetable, workerWithoutAnswersIsNotResponsive)
{
    const TimePoint start;
    WorkerLeaseTable table = tableWithWorker(start);
    cr_assert(!table.responsive("w", start));
    table.dueRenewals(start);
    table.granted("w", statusAt(seconds(5)), start, start);
    cr_assert(table.responsive("w", start + seconds(3)));
    cr_assert(!table.responsive("w", start + milliseconds(3001)));
    cr_assert(table.held("w", start + milliseconds(3001)));
}

// Guards against a takeover that declares a worker lost while a previous owner that can't reach the log may still renew
// its lease (design 7.2): 15 min plus lease time and margin after the claim.
Test(workerleasetable, waitsForPreviousOwner)
{
    const TimePoint start;
    WorkerLeaseTable table = tableWithWorker(start);
    cr_assert(table.takeLostWorkers(start + minutes(15) + seconds(11)).empty());
    cr_assert(table.takeLostWorkers(start + minutes(15) + milliseconds(20099)).empty());
    cr_assert_eq(table.takeLostWorkers(start + minutes(15) + milliseconds(20100)).size(), 1);
}

// Guards against a deadline that lies after the end of the permit. The worker may have read its clock at any time
// between request and answer, and its clock may be 1 % fast or slow.
Test(workerleasetable, deadlineIsNotAfterPermitForAnyDelay)
{
    const TimePoint start;
    const TimePoint permitEnd = start + seconds(3);
    for (const milliseconds readAt : {milliseconds(0), milliseconds(700), milliseconds(1500)}) {
        for (const double rate : {0.99, 1.0, 1.01}) {
            WorkerLeaseTable table = tableWithWorker(start);
            table.dueRenewals(start);
            constexpr milliseconds Clock{77000};
            table.granted("w", statusAt(Clock), start, start + milliseconds(1500));
            const auto deadline = table.clockNoLaterThan("w", permitEnd);
            cr_assert(deadline.has_value());
            const double reachedAfter = static_cast<double>((*deadline - Clock).count()) / rate;
            cr_assert_leq(static_cast<double>(readAt.count()) + reachedAfter, 3000.0);
        }
    }
    cr_assert(!tableWithWorker(start).clockNoLaterThan("w", permitEnd).has_value());
}
