#include "placementfixture.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr Duration UrgentBound = 6500ms;

PendingTask urgentTask(const std::string &jobId, const Resources &declared)
{
    PendingTask task = batchTask(jobId, declared, "rescue");
    task.urgent = true;
    return task;
}

void fill(PlacementFixture &fixture, int workers, int tasks)
{
    fixture.addWorkers(workers, size(8, 32, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges"), teamOf("rescue", 1, {}, true), teamOf("plain")})});
    for (int i = 0; i < tasks; ++i) {
        fixture.engine.addPending(batchTask("job-" + std::to_string(i), size(2, 8)), fixture.now);
    }
    fixture.decide();
    cr_assert_eq(fixture.running.size(), static_cast<std::size_t>(tasks));
    fixture.advance(1min);
}

/// Advances the clock in steps of 100 ms. Evicted tasks end after @p stopTime, except those on @p stuckWorker.
void run(PlacementFixture &fixture, Duration time, Duration stopTime, const std::string &stuckWorker = std::string())
{
    std::map<std::string, TimePoint> ends;
    const TimePoint until = fixture.now + time;
    while (fixture.now < until) {
        fixture.decide();
        for (const auto &entry : fixture.evictions) {
            if (fixture.running.contains(entry.first) && (stuckWorker.empty() || fixture.running.at(entry.first) != stuckWorker)) {
                ends.emplace(entry.first, fixture.now + stopTime);
            }
        }
        fixture.advance(100ms);
        std::erase_if(ends, [&](const auto &entry) {
            if (entry.second > fixture.now) {
                return false;
            }
            fixture.end(entry.first);
            fixture.engine.addPending(batchTask(entry.first, size(2, 8)), fixture.now);
            return true;
        });
    }
}

} // namespace

// Guards against urgent tasks that wait for batch tasks to finish, and against other tasks that take the freed resources.
Test(preemption, startsUrgentTasksInTime)
{
    PlacementFixture fixture;
    fill(fixture, 4, 16);
    for (int i = 0; i < 20; ++i) {
        fixture.engine.addPending(batchTask("later-" + std::to_string(i), size(2, 8), "plain"), fixture.now);
    }
    const TimePoint added = fixture.now;
    for (int i = 0; i < 3; ++i) {
        fixture.engine.addPending(urgentTask("urgent-" + std::to_string(i), size(4, 16)), fixture.now);
    }
    run(fixture, 10s, 2500ms);
    for (int i = 0; i < 3; ++i) {
        const std::string jobId = "urgent-" + std::to_string(i);
        cr_assert(fixture.placedAt.contains(jobId));
        cr_assert(fixture.placedAt[jobId] - added <= UrgentBound);
    }
    cr_assert_eq(fixture.evictions.size(), 6, "more or fewer tasks evicted than needed");
}

// Guards against urgent tasks that wait indefinitely for a worker that does not stop the evicted tasks.
Test(preemption, choosesAnotherWorkerWhenVictimsDoNotEnd)
{
    PlacementFixture fixture;
    fill(fixture, 4, 16);
    const TimePoint added = fixture.now;
    fixture.engine.addPending(urgentTask("urgent", size(8, 32)), fixture.now);
    fixture.decide();
    cr_assert_eq(fixture.evictions.size(), 4);
    const std::string stuckWorker = fixture.running.at(fixture.evictions.begin()->first);
    run(fixture, 10s, 2500ms, stuckWorker);
    cr_assert(fixture.placedAt.contains("urgent"));
    cr_assert(fixture.placedAt["urgent"] - added <= UrgentBound);
    cr_assert_neq(fixture.running.at("urgent"), stuckWorker);
}

// Guards against preemption by teams that are not permitted to submit urgent jobs.
Test(preemption, ignoresUrgencyWithoutPermission)
{
    PlacementFixture fixture;
    fill(fixture, 4, 16);
    PendingTask task = urgentTask("claims-urgent", size(4, 16));
    task.team = "plain";
    fixture.engine.addPending(task, fixture.now);
    run(fixture, 8s, 1s);
    cr_assert(fixture.evictions.empty());
    // A permission granted by a later contract also applies to tasks that are already pending.
    fixture.engine.setContracts({contractOf({teamOf("plain", 1, {}, true)})});
    run(fixture, 4s, 1s);
    cr_assert(fixture.placedAt.contains("claims-urgent"));
}

// Guards against evicting a task that is almost finished or has no checkpoint while another task could be evicted instead.
Test(preemption, protectsWorkNearItsEndAndWithoutCheckpoint)
{
    PlacementFixture fixture;
    fill(fixture, 1, 4);
    fixture.report("job-0", size(2, 8), 0.95, true);
    fixture.report("job-1", size(2, 8), 0.5, false);
    fixture.report("job-2", size(2, 8), 0.5, true);
    fixture.report("job-3", size(2, 8), 0.9, false);
    fixture.engine.addPending(urgentTask("urgent", size(2, 8)), fixture.now);
    fixture.decide();
    cr_assert_eq(fixture.evictions.size(), 1);
    cr_assert(fixture.evictions.contains("job-2"));
}

// Guards against urgent tasks that wait indefinitely because the command for an eviction was lost.
Test(preemption, repeatsAnEvictionThatHasNoEffect)
{
    PlacementFixture fixture;
    fixture.addWorkers(1, size(8, 32, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges"), teamOf("rescue", 1, {}, true)})});
    fixture.engine.addPending(batchTask("only", size(8, 32)), fixture.now);
    fixture.decide();
    fixture.engine.addPending(urgentTask("urgent", size(2, 8)), fixture.now);
    fixture.decide();
    cr_assert(fixture.evictions.contains("only"));
    fixture.evictions.clear(); // simulates the loss of the command
    for (int i = 0; i < 60 && fixture.evictions.empty(); ++i) {
        fixture.advance(1s);
        fixture.decide();
    }
    cr_assert(fixture.evictions.contains("only"));
}

// Guards against the starvation of evicted tasks, which would otherwise rejoin the queue at its end.
Test(preemption, keepsTheQueuePositionOfEvictedTasks)
{
    PlacementFixture fixture;
    fill(fixture, 1, 4);
    for (int i = 0; i < 4; ++i) {
        fixture.engine.addPending(batchTask("later-" + std::to_string(i), size(2, 8)), fixture.now);
    }
    fixture.engine.addPending(urgentTask("urgent", size(2, 8)), fixture.now);
    run(fixture, 3s, 1s);
    cr_assert_eq(fixture.evictions.size(), 1);
    fixture.end("urgent");
    fixture.decide();
    cr_assert(fixture.running.contains(fixture.evictions.begin()->first));
}
