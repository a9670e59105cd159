#include <dispatch/leasepolicy.h>
#include <dispatch/schedulingkey.h>
#include <dispatch/ticketcache.h>
#include <dispatch/workerclock.h>
#include <dispatch/workerquarantine.h>
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

Test(leasePolicy, aNewOwnerWaitsUntilEveryLeaseOfAnEarlierOneHasEnded)
{
    const LeasePolicy policy(6s);
    const TimePoint claimedAt = Begin;
    // The earlier owner had its last proof just before the claim and renews as long as it may.
    TimePoint latest = Begin;
    for (Duration after = 0s; after < 60s; after += 100ms) {
        latest = std::max(latest, policy.latestLeaseEnd(Begin + after, claimedAt));
    }
    const Duration onASlowClock = (latest - Begin) * 100 / 98;
    cr_assert_geq((policy.earlierLeasesEnd(claimedAt, false) - Begin).count(), onASlowClock.count());
}

Test(leasePolicy, afterAHandOverOnlyTheLastRenewalCounts)
{
    const LeasePolicy policy(6s);
    const Duration latest = policy.latestLeaseEnd(Begin, Begin) - Begin;
    cr_assert_geq((policy.earlierLeasesEnd(Begin, true) - Begin).count(), (latest * 100 / 98).count());
    cr_assert_lt((policy.earlierLeasesEnd(Begin, true) - Begin).count(), Duration(7s).count());
}

Test(leasePolicy, runsOnLostWorkersStartElsewhereInTimeAfterATakeover)
{
    // Callers see it as lost if a serving task is away for longer than this after its owner and its worker were lost.
    cr_assert_lt((LeasePolicy(6s).earlierLeasesEnd(Begin, false) - Begin).count(), Duration(10s).count());
}

Test(leasePolicy, noLeaseIsLongerThanTheLongest)
{
    const LeasePolicy policy(6s);
    cr_assert_leq((policy.latestLeaseEnd(Begin, Begin) - Begin).count(), Duration(6s).count());
}

Test(leasePolicy, startsNeedRecentProof)
{
    const LeasePolicy policy(6s);
    cr_assert(policy.canStart(Begin + 1s, Begin));
    cr_assert_not(policy.canStart(Begin + 3s, Begin));
}

Test(workerClock, aReadingIsReachedLateOnASlowClock)
{
    const WorkerClock clock{WorkerTime(5000), Begin};
    cr_assert_eq(clock.readingAt(Begin + 1s).count(), 6000);
    cr_assert_geq((clock.latestTimeOf(WorkerTime(5980)) - Begin).count(), Duration(1s).count());
}

Test(schedulingOrder, servingThenTimelyThenLateThenHopeless)
{
    const WallTime now{100000s};
    const Wire::StepJob job = jobOf(1000);
    const Wire::StepJob servingJob = jobOf(0, true);
    // The objective is 3 s; beyond 9 s the job is worth nothing.
    const SchedulingKey serving = schedulingKey({"d", servingJob, now, {}, false}, queueOf(2), now);
    const SchedulingKey timely = schedulingKey({"c", job, now, {}, false}, queueOf(2), now);
    const SchedulingKey late = schedulingKey({"b", job, now - 4s, {}, false}, queueOf(0), now);
    const SchedulingKey expiredJob = schedulingKey({"a", job, now - 10s, {}, false}, queueOf(0), now);
    cr_assert(serving < timely);
    cr_assert(timely < late);
    cr_assert(late < expiredJob);
}

Test(schedulingOrder, priorityThenObjective)
{
    const WallTime now{100000s};
    const Wire::StepJob longJob = jobOf(5000);
    const Wire::StepJob shortJob = jobOf(1000);
    const Wire::StepJob middleJob = jobOf(2000);
    const SchedulingKey urgent = schedulingKey({"b", longJob, now, {}, false}, queueOf(0), now);
    const SchedulingKey earlier = schedulingKey({"a", shortJob, now, {}, false}, queueOf(2), now);
    const SchedulingKey later = schedulingKey({"a", middleJob, now, {}, false}, queueOf(2), now);
    cr_assert(urgent < earlier);
    cr_assert(earlier < later);
}

Test(schedulingOrder, whatCanNoLongerBeInTimeGivesWayToWhatCan)
{
    const WallTime now{100000s};
    Wire::StepJob job = jobOf(1000);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    // The objective is 5 s for two steps of 1 s.
    const SchedulingKey fresh = schedulingKey({"c", job, now, {}, false}, queueOf(2), now);
    const SchedulingKey tooLate = schedulingKey({"b", job, now - 3500ms, {}, false}, queueOf(2), now);
    const SchedulingKey halfDone = schedulingKey({"a", job, now - 3500ms, {true, false}, true}, queueOf(2), now);
    cr_assert(fresh < tooLate, "two steps take longer than what is left");
    cr_assert(halfDone < fresh, "the step that is left can be in time, and work done is not wasted");
}

/// Load pattern: for a minute, jobs of two steps arrive half as fast again as one worker can serve them. By the earliest
/// objective alone, each job would be served when it is just too late.
Test(schedulingOrder, underOverloadTheWorkerServesJobsInTime)
{
    constexpr Duration StepTime = 500ms;
    constexpr Duration ArrivalInterval = 667ms;
    constexpr Duration TestDuration = 60s;
    struct PendingJob
    {
        WallTime releaseTime;
        int doneSteps = 0;
    };
    Wire::StepJob job = jobOf(500);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    const QueueInfo queue = queueOf(2);
    const WallTime begin{100000s};
    const Duration deadline = 3s;
    std::vector<PendingJob> jobs;
    int onTime = 0;
    Duration nextArrival = 0s;
    for (Duration passed = 0s; passed < TestDuration; passed += StepTime) {
        const WallTime now = begin + std::chrono::duration_cast<std::chrono::milliseconds>(passed);
        for (; nextArrival <= passed; nextArrival += ArrivalInterval) {
            jobs.push_back({begin + std::chrono::duration_cast<std::chrono::milliseconds>(nextArrival)});
        }
        const auto urgency = [&](const PendingJob &pending) {
            const bool isStarted = pending.doneSteps > 0;
            return schedulingKey(
                {std::to_string(pending.releaseTime.time_since_epoch().count()), job, pending.releaseTime, {isStarted, false}, isStarted}, queue, now);
        };
        const auto next = std::ranges::min_element(jobs, [&](const PendingJob &left, const PendingJob &right) { return urgency(left) < urgency(right); });
        if (next == jobs.end()) {
            continue;
        }
        if (++next->doneSteps == 2) {
            onTime += now + StepTime <= next->releaseTime + deadline ? 1 : 0;
            jobs.erase(next);
        }
    }
    // The worker can serve a job a second.
    cr_assert_geq(onTime, 54, "%d of 60 in time", onTime);
}

Test(schedulingOrder, theChainFollowsDependentSteps)
{
    Wire::StepJob job;
    job.steps.resize(3);
    job.steps[0].estimateMs = 100;
    job.steps[1].estimateMs = 200;
    job.steps[1].after = {0};
    job.steps[2].estimateMs = 250;
    cr_assert_eq(criticalPathLength(job).count(), 300);
    cr_assert_eq(criticalPathLength(job, {true, false, true}).count(), 200);
}

Test(workerQuarantine, failuresOfOneJobAreTheJobsOwn)
{
    WorkerQuarantine quarantine;
    for (int run = 0; run < 5; ++run) {
        quarantine.recordFailure("poison", Begin);
    }
    cr_assert(quarantine.acceptsTask(Begin, 3));
}

Test(workerQuarantine, aWorkerThatFailsSeveralJobsRestsAndIsTestedWithOneTask)
{
    WorkerQuarantine quarantine;
    quarantine.recordFailure("a", Begin);
    quarantine.recordFailure("b", Begin);
    cr_assert_not(quarantine.acceptsTask(Begin + 1s, 0));
    cr_assert(quarantine.acceptsTask(Begin + 4s, 0));
    cr_assert_not(quarantine.acceptsTask(Begin + 4s, 1));
    quarantine.recordFailure("c", Begin + 4s);
    cr_assert_not(quarantine.acceptsTask(Begin + 8s, 0), "the second rest is longer");
    cr_assert(quarantine.acceptsTask(Begin + 11s, 0));
    quarantine.recordSuccess();
    cr_assert(quarantine.acceptsTask(Begin + 11s, 5));
}

Test(ticketCache, ticketsAreUsedWhileTheyAreValid)
{
    TicketCache book;
    const TaskId task{"job", 0, 1, 5};
    cr_assert(book.beginRequest(task, Begin));
    cr_assert_not(book.beginRequest(task, Begin), "one question at a time");
    book.handleAnswer({"job", 0, 1, 0}, AdviceGiven{{{"w", "t"}}, 3s}, Begin, Begin + 100ms);
    cr_assert_eq(book.tickets(task, Begin + 1s)->at("w"), "t");
    cr_assert_null(book.tickets(task, Begin + 3s));
    book.discard(task, "w");
    cr_assert_null(book.tickets(task, Begin + 1s));
}
