#include <dispatch/leaserule.h>
#include <dispatch/ticketbook.h>
#include <dispatch/waitingorder.h>
#include <dispatch/workerclock.h>
#include <dispatch/workertrust.h>
#include <ports/clusterconfig.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

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
    const Wire::StepJob lasting = jobOf(0, true);
    // The objective is 3 s; beyond 9 s the job is worth nothing.
    const Urgency serving = urgencyOf({"d", lasting, now, {}, false}, queueOf(2), now);
    const Urgency timely = urgencyOf({"c", job, now, {}, false}, queueOf(2), now);
    const Urgency late = urgencyOf({"b", job, now - 4s, {}, false}, queueOf(0), now);
    const Urgency hopeless = urgencyOf({"a", job, now - 10s, {}, false}, queueOf(0), now);
    cr_assert(serving < timely);
    cr_assert(timely < late);
    cr_assert(late < hopeless);
}

Test(waitingOrder, priorityThenObjective)
{
    const WallTime now{100000s};
    const Wire::StepJob longJob = jobOf(5000);
    const Wire::StepJob shortJob = jobOf(1000);
    const Wire::StepJob middleJob = jobOf(2000);
    const Urgency urgent = urgencyOf({"b", longJob, now, {}, false}, queueOf(0), now);
    const Urgency earlier = urgencyOf({"a", shortJob, now, {}, false}, queueOf(2), now);
    const Urgency later = urgencyOf({"a", middleJob, now, {}, false}, queueOf(2), now);
    cr_assert(urgent < earlier);
    cr_assert(earlier < later);
}

Test(waitingOrder, whatCanNoLongerBeInTimeGivesWayToWhatCan)
{
    const WallTime now{100000s};
    Wire::StepJob job = jobOf(1000);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    // The objective is 5 s for two steps of 1 s.
    const Urgency fresh = urgencyOf({"c", job, now, {}, false}, queueOf(2), now);
    const Urgency tooLate = urgencyOf({"b", job, now - 3500ms, {}, false}, queueOf(2), now);
    const Urgency halfDone = urgencyOf({"a", job, now - 3500ms, {true, false}, true}, queueOf(2), now);
    cr_assert(fresh < tooLate, "two steps take longer than what is left");
    cr_assert(halfDone < fresh, "the step that is left can be in time, and work done is not wasted");
}

/// Load pattern: for a minute, jobs of two steps arrive half as fast again as one worker can serve them. By the earliest
/// objective alone, each job would be served when it is just too late.
Test(waitingOrder, underOverloadTheWorkerServesJobsInTime)
{
    constexpr Duration StepTime = 500ms;
    constexpr Duration ArrivalInterval = 667ms;
    constexpr Duration Day = 60s;
    struct Waiting
    {
        WallTime due;
        int doneSteps = 0;
    };
    Wire::StepJob job = jobOf(500);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    const QueueInfo queue = queueOf(2);
    const WallTime begin{100000s};
    const Duration objective = 3s;
    std::vector<Waiting> jobs;
    int inTime = 0;
    Duration nextArrival = 0s;
    for (Duration passed = 0s; passed < Day; passed += StepTime) {
        const WallTime now = begin + std::chrono::duration_cast<std::chrono::milliseconds>(passed);
        for (; nextArrival <= passed; nextArrival += ArrivalInterval) {
            jobs.push_back({begin + std::chrono::duration_cast<std::chrono::milliseconds>(nextArrival)});
        }
        const auto urgency = [&](const Waiting &waiting) {
            const bool hasBegun = waiting.doneSteps > 0;
            return urgencyOf({std::to_string(waiting.due.time_since_epoch().count()), job, waiting.due, {hasBegun, false}, hasBegun}, queue, now);
        };
        const auto next = std::ranges::min_element(jobs, [&](const Waiting &left, const Waiting &right) { return urgency(left) < urgency(right); });
        if (next == jobs.end()) {
            continue;
        }
        if (++next->doneSteps == 2) {
            inTime += now + StepTime <= next->due + objective ? 1 : 0;
            jobs.erase(next);
        }
    }
    // The worker can serve a job a second.
    cr_assert_geq(inTime, 54, "%d of 60 in time", inTime);
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
    cr_assert_eq(longestChain(job, {true, false, true}).count(), 200);
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
    book.answered({"job", 0, 1, 0}, PlacementAdvice{{{"w", "t"}}, 3s}, Begin, Begin + 100ms);
    cr_assert_eq(book.tickets(task, Begin + 1s)->at("w"), "t");
    cr_assert_null(book.tickets(task, Begin + 3s));
    book.drop(task, "w");
    cr_assert_null(book.tickets(task, Begin + 1s));
}
