#include "placementfixture.h"

#include <criterion/criterion.h>

using namespace Hyssop;

static int runningOf(const PlacementFixture &fixture, const std::string &prefix)
{
    int count = 0;
    for (const auto &entry : fixture.running) {
        count += entry.first.starts_with(prefix) ? 1 : 0;
    }
    return count;
}

// Guards against a team with many pending tasks that uses up the share of other teams.
Test(fairness, dividesWorkersByWeight)
{
    PlacementFixture fixture;
    fixture.addWorkers(10, size(32, 125, 32));
    fixture.engine.setContracts({contractOf({teamOf("big", 3), teamOf("small", 1)})});
    for (int i = 0; i < 400; ++i) {
        fixture.engine.addPending(batchTask("big-" + std::to_string(i), size(2, 4), "big"), fixture.now);
    }
    fixture.advance(std::chrono::seconds(1));
    for (int i = 0; i < 400; ++i) {
        fixture.engine.addPending(batchTask("small-" + std::to_string(i), size(2, 4), "small"), fixture.now);
    }
    fixture.decide();
    cr_assert_eq(fixture.running.size(), 160);
    cr_assert_float_eq(runningOf(fixture, "big"), 120, 2);
    cr_assert_float_eq(runningOf(fixture, "small"), 40, 2);
}

// Guards against a team that exceeds its quota, and against a quota that blocks other teams.
Test(fairness, keepsQuota)
{
    PlacementFixture fixture;
    fixture.addWorkers(4, size(32, 125, 32));
    fixture.engine.setContracts({contractOf({teamOf("bounded", 1, Resources{10000, 0, 0, 0}), teamOf("free")})});
    for (int i = 0; i < 50; ++i) {
        fixture.engine.addPending(batchTask("bounded-" + std::to_string(i), size(2, 4), "bounded"), fixture.now);
        fixture.engine.addPending(batchTask("free-" + std::to_string(i), size(2, 4), "free"), fixture.now);
    }
    fixture.decide();
    cr_assert_eq(runningOf(fixture, "bounded"), 5);
    cr_assert_eq(runningOf(fixture, "free"), 50);
    fixture.end("bounded-0");
    fixture.decide();
    cr_assert_eq(runningOf(fixture, "bounded"), 5);
}

// Guards against batch tasks that use a larger share of the workers than the contract allows.
Test(fairness, keepsBatchShare)
{
    PlacementFixture fixture;
    fixture.addWorkers(4, size(32, 125, 32));
    Contract contract = contractOf({teamOf("badges")});
    contract.batchShare = 0.5;
    fixture.engine.setContracts({contract});
    for (int i = 0; i < 100; ++i) {
        fixture.engine.addPending(batchTask("job-" + std::to_string(i), size(2, 4)), fixture.now);
    }
    fixture.decide();
    cr_assert_eq(fixture.running.size(), 32);
}

// Guards against the starvation of a low-priority task by a steady stream of tasks of higher priority.
Test(fairness, agesPendingTasks)
{
    PlacementFixture fixture;
    fixture.addWorkers(1, size(4, 16, 1));
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    fixture.engine.addPending(batchTask("low", size(4, 16)), fixture.now);
    std::string current;
    int minutes = 0;
    for (; minutes < 600 && !fixture.placedAt.contains("low"); ++minutes) {
        PendingTask high = batchTask("high-" + std::to_string(minutes), size(4, 16));
        high.priority = 5;
        fixture.engine.addPending(high, fixture.now);
        if (!current.empty()) {
            fixture.end(current);
        }
        fixture.decide();
        cr_assert_eq(fixture.running.size(), 1);
        current = fixture.running.begin()->first;
        fixture.advance(std::chrono::minutes(1));
    }
    cr_assert(fixture.placedAt.contains("low"));
    cr_assert_geq(minutes, 45, "priority has no effect");
    cr_assert_leq(minutes, 60);
}

// Guards against small backfilled tasks that delay a large task indefinitely.
Test(fairness, backfillDoesNotDelayTheHeadTask)
{
    using namespace std::chrono_literals;
    // The small tasks of a worker end one by one, so a worker never becomes completely free by chance.
    const auto startOfLarge = [](bool withSmall) {
        PlacementFixture fixture;
        fixture.addWorkers(3, size(8, 32, 8));
        fixture.engine.setContracts({contractOf({teamOf("badges"), teamOf("photos")})});
        std::map<std::string, TimePoint> ends;
        int next = 0;
        const auto addSmall = [&] {
            PendingTask task = batchTask("small-" + std::to_string(next++), size(1, 4), "photos");
            task.declaredRunTime = 80s;
            fixture.engine.addPending(task, fixture.now);
        };
        for (int i = 0; i < 24; ++i) {
            addSmall();
            fixture.decide();
            fixture.advance(1s);
        }
        const TimePoint added = fixture.now;
        fixture.engine.addPending(batchTask("large", size(8, 32)), fixture.now);
        for (int second = 0; second < 600 && !fixture.placedAt.contains("large"); ++second) {
            std::vector<std::string> ended;
            for (const auto &entry : fixture.running) {
                if (fixture.now - fixture.placedAt[entry.first] >= 80s) {
                    ended.push_back(entry.first);
                }
            }
            for (const std::string &jobId : ended) {
                fixture.succeed(jobId);
            }
            if (withSmall) {
                addSmall();
            }
            fixture.decide();
            fixture.advance(1s);
        }
        cr_assert(fixture.placedAt.contains("large"));
        return std::chrono::duration_cast<std::chrono::seconds>(fixture.placedAt["large"] - added).count();
    };
    const auto alone = startOfLarge(false);
    const auto backfilled = startOfLarge(true);
    cr_assert_leq(backfilled, alone + 1, "%ld s alone, %ld s with backfill", static_cast<long>(alone), static_cast<long>(backfilled));
}

// Guards against a reservation for the head task that prevents the placement of tasks on other workers.
Test(fairness, backfillsWhileTheHeadTaskWaits)
{
    PlacementFixture fixture;
    fixture.addWorkers(2, size(8, 32, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    fixture.engine.adoptRunning(batchTask("a", size(2, 8)), "w0", fixture.now);
    fixture.engine.adoptRunning(batchTask("b", size(2, 8)), "w1", fixture.now);
    fixture.engine.addPending(batchTask("large", size(8, 32)), fixture.now);
    fixture.advance(std::chrono::seconds(1));
    for (int i = 0; i < 12; ++i) {
        fixture.engine.addPending(batchTask("small-" + std::to_string(i), size(1, 4)), fixture.now);
    }
    fixture.decide();
    cr_assert_eq(runningOf(fixture, "small"), 6, "%d tasks placed while the head task waits", runningOf(fixture, "small"));
}

// Guards against starts of cancelled tasks, and against resources and queue entries that leak after cancellations.
Test(fairness, releasesEverythingAfterBurstsOfCancellations)
{
    PlacementFixture fixture;
    fixture.addWorkers(10, size(32, 125, 16));
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    for (int i = 0; i < 5000; ++i) {
        fixture.engine.addPending(batchTask("job-" + std::to_string(i), size(2, 4)), fixture.now);
    }
    fixture.decide();
    const std::size_t started = fixture.running.size();
    cr_assert_eq(started, 160);
    for (int i = 0; i < 5000; ++i) {
        if (i % 10 != 9) {
            fixture.engine.removePending("job-" + std::to_string(i));
        }
    }
    cr_assert_eq(fixture.engine.runningCount(), started, "removePending() must not end running tasks");
    const std::map<std::string, std::string> before = fixture.running;
    for (const auto &entry : before) {
        fixture.end(entry.first);
    }
    for (int round = 0; round < 100 && fixture.engine.pendingCount() > 0; ++round) {
        fixture.advance(std::chrono::seconds(1));
        for (const PlacementDecision &decision : fixture.decide()) {
            const auto *placed = std::get_if<PlaceTask>(&decision);
            cr_assert(placed != nullptr);
            cr_assert_eq(placed->jobId.back(), '9', "%s was cancelled", placed->jobId.c_str());
        }
        const std::map<std::string, std::string> current = fixture.running;
        for (const auto &entry : current) {
            fixture.end(entry.first);
        }
    }
    cr_assert_eq(fixture.engine.pendingCount(), 0);
    cr_assert_eq(fixture.engine.runningCount(), 0);
    for (int i = 0; i < 10; ++i) {
        cr_assert(fixture.engine.committed("w" + std::to_string(i)) == Resources());
    }
}
