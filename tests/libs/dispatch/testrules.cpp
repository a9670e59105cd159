#include <dispatch/leaserule.h>
#include <dispatch/ticketbook.h>
#include <dispatch/waitingorder.h>
#include <dispatch/workerclock.h>
#include <dispatch/workertrust.h>
#include <ports/clusterconfig.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

Wire::StepJob jobOf(std::int64_t estimateMs, bool serving = false)
{
    Wire::StepJob job;
    job.steps.emplace_back();
    job.steps.back().estimateMs = estimateMs;
    job.steps.back().longRunning = serving;
    return job;
}

QueueInfo queueOf(int priority)
{
    QueueInfo queue;
    queue.priority = priority;
    queue.stretch = 2;
    queue.objectiveMargin = 1s;
    return queue;
}

} // namespace

Test(leaseRule, aNewOwnerWaitsUntilEveryLeaseOfAnEarlierOneHasEnded)
{
    const LeaseRule rule(6s);
    const TimePoint claimedAt = Begin;
    // The earlier owner had its last proof just before the claim and renews as long as it may.
    TimePoint latest = Begin;
    for (Duration after = 0s; after < 60s; after += 100ms) {
        latest = std::max(latest, rule.grantUntil(Begin + after, claimedAt));
    }
    const Duration onASlowClock = (latest - Begin) * 100 / 98;
    cr_assert_geq((rule.earlierLeasesEnd(claimedAt, false) - Begin).count(), onASlowClock.count());
}

Test(leaseRule, afterAHandOverOnlyTheLastRenewalCounts)
{
    const LeaseRule rule(6s);
    const Duration latest = rule.grantUntil(Begin, Begin) - Begin;
    cr_assert_geq((rule.earlierLeasesEnd(Begin, true) - Begin).count(), (latest * 100 / 98).count());
    cr_assert_lt((rule.earlierLeasesEnd(Begin, true) - Begin).count(), Duration(7s).count());
}

Test(leaseRule, runsOnLostWorkersStartElsewhereInTimeAfterATakeover)
{
    // Callers see it as lost if a serving task is away for longer than this after its owner and its worker were lost.
    cr_assert_lt((LeaseRule(6s).earlierLeasesEnd(Begin, false) - Begin).count(), Duration(10s).count());
}

Test(leaseRule, noLeaseIsLongerThanTheLongest)
{
    const LeaseRule rule(6s);
    cr_assert_leq((rule.grantUntil(Begin, Begin) - Begin).count(), Duration(6s).count());
}

Test(leaseRule, startsNeedRecentProof)
{
    const LeaseRule rule(6s);
    cr_assert(rule.mayStart(Begin + 1s, Begin));
    cr_assert_not(rule.mayStart(Begin + 3s, Begin));
}

Test(workerClock, aReadingIsReachedLateOnASlowClock)
{
    const WorkerClock clock{WorkerTime(5000), Begin};
    cr_assert_eq(clock.readingAt(Begin + 1s).count(), 6000);
    cr_assert_geq((clock.surelyReached(WorkerTime(5980)) - Begin).count(), Duration(1s).count());
}

Test(waitingOrder, servingThenTimelyThenLateThenHopeless)
{
    const WallTime now{100000s};
    const Wire::StepJob job = jobOf(1000);
    // The objective is 3 s; beyond 9 s the job is worth nothing.
    const Urgency serving = urgencyOf("d", jobOf(0, true), queueOf(2), now, now);
    const Urgency timely = urgencyOf("c", job, queueOf(2), now, now);
    const Urgency late = urgencyOf("b", job, queueOf(0), now - 4s, now);
    const Urgency hopeless = urgencyOf("a", job, queueOf(0), now - 10s, now);
    cr_assert(serving < timely);
    cr_assert(timely < late);
    cr_assert(late < hopeless);
}

Test(waitingOrder, priorityThenObjective)
{
    const WallTime now{100000s};
    const Urgency urgent = urgencyOf("b", jobOf(5000), queueOf(0), now, now);
    const Urgency earlier = urgencyOf("a", jobOf(1000), queueOf(2), now, now);
    const Urgency later = urgencyOf("a", jobOf(2000), queueOf(2), now, now);
    cr_assert(urgent < earlier);
    cr_assert(earlier < later);
}

Test(waitingOrder, theChainFollowsDependentSteps)
{
    Wire::StepJob job;
    job.steps.resize(3);
    job.steps[0].estimateMs = 100;
    job.steps[1].estimateMs = 200;
    job.steps[1].after = {0};
    job.steps[2].estimateMs = 250;
    cr_assert_eq(longestChain(job).count(), 300);
}

Test(workerTrust, failuresOfOneJobAreTheJobsOwn)
{
    WorkerTrust trust;
    for (int run = 0; run < 5; ++run) {
        trust.noteFailure("poison", Begin);
    }
    cr_assert(trust.accepts(Begin, 3));
}

Test(workerTrust, aWorkerThatFailsSeveralJobsRestsAndIsTestedWithOneTask)
{
    WorkerTrust trust;
    trust.noteFailure("a", Begin);
    trust.noteFailure("b", Begin);
    cr_assert_not(trust.accepts(Begin + 1s, 0));
    cr_assert(trust.accepts(Begin + 4s, 0));
    cr_assert_not(trust.accepts(Begin + 4s, 1));
    trust.noteFailure("c", Begin + 4s);
    cr_assert_not(trust.accepts(Begin + 8s, 0), "the second rest is longer");
    cr_assert(trust.accepts(Begin + 11s, 0));
    trust.noteSuccess();
    cr_assert(trust.accepts(Begin + 11s, 5));
}

Test(ticketBook, ticketsAreUsedWhileTheyAreValid)
{
    TicketBook book;
    const TaskId task{"job", 0, 1, 5};
    cr_assert(book.beginAsking(task, Begin));
    cr_assert_not(book.beginAsking(task, Begin), "one question at a time");
    book.answered({"job", 0, 1, 0}, AdviceGiven{{{"w", "t"}}, 3s}, Begin, Begin + 100ms);
    cr_assert_eq(book.tickets(task, Begin + 1s)->at("w"), "t");
    cr_assert_null(book.tickets(task, Begin + 3s));
    book.drop(task, "w");
    cr_assert_null(book.tickets(task, Begin + 1s));
}
