#include <dispatch/leasepolicy.h>
#include <dispatch/schedulingkey.h>
#include <dispatch/workerclock.h>
#include <dispatch/workerhealth.h>
#include <ports/clusterconfig.h>
#include <ports/taskid.h>

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
    queue.deadlineFactor = 2;
    queue.deadlineMargin = 1s;
    return queue;
}

void quarantine(WorkerHealth &health, TimePoint now)
{
    health.reportFailure({"a", 0, 0, 0}, now);
    health.reportFailure({"b", 0, 0, 0}, now);
}

} // namespace

Test(leasePolicy, aNewOwnerWaitsUntilEveryLeaseOfAnEarlierOneHasEnded)
{
    const LeasePolicy policy(6s);
    const TimePoint claimedAt = Begin;
    // The previous owner had its last proof of ownership just before the claim, and renews leases as long as permitted.
    TimePoint latest = Begin;
    for (Duration after = 0s; after < 60s; after += 100ms) {
        latest = std::max(latest, policy.latestLeaseEnd(Begin + after, claimedAt));
    }
    const Duration onASlowClock = (latest - Begin) * 100 / 98;
    cr_assert_geq((policy.earlierLeasesEnd(claimedAt, false) - Begin).count(), onASlowClock.count());
}

Test(leasePolicy, afterAHandoverOnlyTheLastRenewalCounts)
{
    const LeasePolicy policy(6s);
    const Duration latest = policy.latestLeaseEnd(Begin, Begin) - Begin;
    cr_assert_geq((policy.earlierLeasesEnd(Begin, true) - Begin).count(), (latest * 100 / 98).count());
    cr_assert_lt((policy.earlierLeasesEnd(Begin, true) - Begin).count(), Duration(7s).count());
}

Test(leasePolicy, runsOnLostWorkersAreReplacedInTimeAfterAFailover)
{
    // Callers consider a serving task lost if it is absent for longer than this after its owner and its worker failed.
    cr_assert_lt((LeasePolicy(6s).earlierLeasesEnd(Begin, false) - Begin).count(), Duration(10s).count());
}

Test(leasePolicy, runsOnLostWorkersAreReplacedInTimeAfterAFailoverHoweverLongTheLeasesMayBe)
{
    cr_assert_lt((LeasePolicy(10s).earlierLeasesEnd(Begin, false) - Begin).count(), Duration(10s).count());
}

Test(leasePolicy, noLeaseExceedsTheMaximum)
{
    const LeasePolicy policy(6s);
    cr_assert_leq((policy.latestLeaseEnd(Begin, Begin) - Begin).count(), Duration(6s).count());
}

Test(leasePolicy, startsNeedRecentProofOfOwnership)
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

Test(schedulingOrder, servingThenOnTimeThenLateThenExpired)
{
    const WallTime now{100000s};
    const Wire::StepJob job = jobOf(1000);
    const Wire::StepJob servingJob = jobOf(0, true);
    // The job has 3 s until its deadline, and expires after 9 s.
    const SchedulingKey serving = schedulingKey({"d", servingJob, now, {}, false}, queueOf(2), now);
    const SchedulingKey timely = schedulingKey({"c", job, now, {}, false}, queueOf(2), now);
    const SchedulingKey late = schedulingKey({"b", job, now - 4s, {}, false}, queueOf(0), now);
    const SchedulingKey expiredJob = schedulingKey({"a", job, now - 10s, {}, false}, queueOf(0), now);
    cr_assert(serving < timely);
    cr_assert(timely < late);
    cr_assert(late < expiredJob);
}

Test(schedulingOrder, theKeyOfAPendingStepDoesNotCopyTheIdOfItsJob)
{
    const std::string id = "j";
    const Wire::StepJob job = jobOf(1000);
    const SchedulingKey key = schedulingKey({id, job, WallTime(1s), {}, false}, queueOf(0), WallTime(1s));
    cr_assert_eq(key.jobId.data(), id.data());
}

Test(schedulingOrder, priorityThenDeadline)
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

Test(schedulingOrder, lateJobsYieldToJobsThatCanMeetTheirDeadline)
{
    const WallTime now{100000s};
    Wire::StepJob job = jobOf(1000);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    // Two steps of 1 s have 5 s until their deadline.
    const SchedulingKey fresh = schedulingKey({"c", job, now, {}, false}, queueOf(2), now);
    const SchedulingKey tooLate = schedulingKey({"b", job, now - 3500ms, {}, false}, queueOf(2), now);
    const SchedulingKey halfDone = schedulingKey({"a", job, now - 3500ms, {true, false}, true}, queueOf(2), now);
    cr_assert(fresh < tooLate, "two steps take longer than the remaining time");
    cr_assert(halfDone < fresh, "the remaining step can meet the deadline, and completed work is not wasted");
}

/// Load pattern: for a minute, jobs of two steps arrive 1.5 times as fast as one worker can execute them. With earliest
/// deadline first alone, each job would be executed just after its deadline.
Test(schedulingOrder, mostJobsMeetTheirDeadlineUnderOverload)
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
        const auto key = [&](const PendingJob &pending) {
            const bool isStarted = pending.doneSteps > 0;
            return schedulingKey(
                {std::to_string(pending.releaseTime.time_since_epoch().count()), job, pending.releaseTime, {isStarted, false}, isStarted}, queue, now);
        };
        const auto next = std::ranges::min_element(jobs, [&](const PendingJob &left, const PendingJob &right) { return key(left) < key(right); });
        if (next == jobs.end()) {
            continue;
        }
        if (++next->doneSteps == 2) {
            onTime += now + StepTime <= next->releaseTime + deadline ? 1 : 0;
            jobs.erase(next);
        }
    }
    // The worker can complete one job per second.
    cr_assert_geq(onTime, 54, "%d of 60 on time", onTime);
}

Test(schedulingOrder, theCriticalPathFollowsDependentSteps)
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

Test(workerHealth, failuresOfOneJobDoNotQuarantineTheWorker)
{
    WorkerHealth health;
    for (int run = 0; run < 5; ++run) {
        health.reportFailure({"poison", 0, 0, run}, Begin);
    }
    cr_assert(health.acceptsTask(Begin));
}

Test(workerHealth, aWorkerThatFailsSeveralJobsIsQuarantinedAndProbed)
{
    WorkerHealth health;
    const TaskId probe{"c", 0, 0, 0};
    quarantine(health, Begin);
    cr_assert_not(health.acceptsTask(Begin + 1s));
    cr_assert(health.acceptsTask(Begin + 4s));
    health.handleRunAdded(probe, Begin + 4s);
    cr_assert_not(health.acceptsTask(Begin + 4s));
    health.reportFailure(probe, Begin + 4s);
    health.handleRunRemoved(probe);
    cr_assert_not(health.acceptsTask(Begin + 8s), "the second quarantine is longer");
    cr_assert(health.acceptsTask(Begin + 11s));
    health.handleRunAdded(probe, Begin + 11s);
    health.reportSuccess(probe);
    cr_assert(health.acceptsTask(Begin + 11s));
}

// Guards against a worker that never gets a task again after a quarantine, because a task that lasts has been on it since before.
Test(workerHealth, aProbeDoesNotWaitForTheRunsFromBeforeTheQuarantine)
{
    WorkerHealth health;
    health.handleRunAdded({"serving", 0, 0, 0}, Begin);
    quarantine(health, Begin);
    cr_assert(health.acceptsTask(Begin + 4s));
}

Test(workerHealth, aProbeWithoutAResultIsFollowedByAnother)
{
    WorkerHealth health;
    const TaskId probe{"c", 0, 0, 0};
    quarantine(health, Begin);
    health.handleRunAdded(probe, Begin + 4s);
    health.handleRunRemoved(probe); // its start was rejected, or its job was cancelled
    cr_assert(health.acceptsTask(Begin + 4s));
}

Test(workerHealth, aLongProbeDelaysTheNextOneForALimitedTime)
{
    WorkerHealth health;
    quarantine(health, Begin);
    health.handleRunAdded({"c", 0, 0, 0}, Begin + 4s);
    cr_assert_not(health.acceptsTask(Begin + 4200ms));
    cr_assert(health.acceptsTask(Begin + 6s));
}

Test(workerHealth, runsFromBeforeTheQuarantineSayNothingAboutItsEnd)
{
    WorkerHealth health;
    const TaskId earlier{"earlier", 0, 0, 0};
    const TaskId probe{"c", 0, 0, 0};
    health.handleRunAdded(earlier, Begin);
    quarantine(health, Begin);
    health.handleRunAdded(probe, Begin + 4s);
    health.reportSuccess(earlier);
    cr_assert_not(health.acceptsTask(Begin + 4s), "the worker counts as sound");
    health.reportFailure(earlier, Begin + 4s);
    cr_assert(health.acceptsTask(Begin + 6s), "the worker is quarantined again");
}
