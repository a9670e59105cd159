#include "placementfixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

/// Runs short tasks for @p time. If @p failing is set, all tasks on @p failingWorker fail. Returns the number of starts there.
int runShortTasks(PlacementFixture &fixture, int &next, Duration time, const std::string &failingWorker, bool failing)
{
    int startsOnFailing = 0;
    const TimePoint until = fixture.now + time;
    while (fixture.now < until) {
        while (fixture.engine.pendingCount() < 40) {
            fixture.engine.addPending(batchTask("job-" + std::to_string(next++), size(2, 8)), fixture.now);
        }
        fixture.decide();
        const std::map<std::string, std::string> current = fixture.running;
        for (const auto &entry : current) {
            if (entry.second != failingWorker || !failing) {
                startsOnFailing += entry.second == failingWorker ? 1 : 0;
                fixture.succeed(entry.first);
                continue;
            }
            ++startsOnFailing;
            PendingTask again = batchTask(entry.first, size(2, 8));
            again.avoidedWorkers = {failingWorker};
            fixture.fail(entry.first);
            fixture.engine.addPending(again, fixture.now);
        }
        fixture.advance(1s);
    }
    return startsOnFailing;
}

} // namespace

// Guards against a worker that attracts tasks because all of them fail at once, which leaves it free.
Test(health, quarantinesAndProbesAFailingWorker)
{
    PlacementFixture fixture;
    fixture.addWorkers(6, size(8, 32, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    int next = 0;
    const int whileFailing = runShortTasks(fixture, next, 10min, "w3", true);
    // 4 starts in the first round, then one probe each after another 30 s, 1 min, 2 min and 4 min.
    cr_assert_leq(whileFailing, 8, "%d tasks were started on the failing worker", whileFailing);
    cr_assert_geq(whileFailing, 6, "the worker was not probed: %d starts", whileFailing);
    cr_assert(fixture.rejections.empty(), "jobs were rejected for failures of the worker");
    const int afterRepair = runShortTasks(fixture, next, 20min, "w3", false);
    cr_assert_geq(afterRepair, 100, "the repaired worker is not used again");
}

// Guards against rejecting a job for failures that were caused by workers.
Test(health, doesNotRejectAJobForFailuresOnQuarantinedWorkers)
{
    PlacementFixture fixture;
    fixture.addWorkers(15, size(8, 32, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    const std::vector<std::string> failing = {"w0", "w1", "w2"};
    for (int i = 0; i < 60; ++i) {
        fixture.engine.addPending(batchTask("job-" + std::to_string(i), size(2, 8)), fixture.now);
    }
    fixture.decide();
    const std::map<std::string, std::string> current = fixture.running;
    for (const auto &entry : current) {
        if (std::find(failing.begin(), failing.end(), entry.second) != failing.end()) {
            fixture.fail(entry.first);
        } else {
            fixture.succeed(entry.first);
        }
    }
    PendingTask unlucky = batchTask("unlucky", size(2, 8));
    unlucky.avoidedWorkers = failing;
    fixture.engine.addPending(unlucky, fixture.now);
    fixture.decide();
    cr_assert(fixture.rejections.empty());
    cr_assert(fixture.running.contains("unlucky"));
}

// Guards against placing a task on a worker on which it has failed.
Test(health, placesAFailedTaskOnAnotherWorker)
{
    PlacementFixture fixture;
    fixture.addWorkers(2, size(8, 32, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    fixture.engine.adoptRunning(batchTask("other", size(6, 8)), "w1", fixture.now); // makes w0 the less loaded worker
    fixture.engine.addPending(batchTask("job", size(2, 8)), fixture.now);
    fixture.decide();
    cr_assert_eq(fixture.running.at("job"), std::string("w0"));
    fixture.fail("job");
    fixture.engine.addPending(batchTask("job", size(2, 8)), fixture.now);
    fixture.decide();
    cr_assert_eq(fixture.running.at("job"), std::string("w1"));
}

// Guards against a job that fails everywhere and is started for ever, and against blaming the workers for it.
Test(health, rejectsAJobThatFailsOnDistinctWorkers)
{
    PlacementFixture fixture;
    fixture.addWorkers(6, size(8, 32, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    std::vector<std::string> failedOn;
    fixture.engine.addPending(batchTask("broken", size(2, 8)), fixture.now);
    for (int i = 0; i < 10 && !fixture.rejections.contains("broken"); ++i) {
        fixture.decide();
        if (fixture.running.contains("broken")) {
            failedOn.push_back(fixture.running.at("broken"));
            fixture.fail("broken");
            PendingTask again = batchTask("broken", size(2, 8));
            again.avoidedWorkers = failedOn;
            fixture.engine.addPending(again, fixture.now);
        }
        fixture.advance(1s);
    }
    cr_assert_eq(failedOn.size(), 3);
    cr_assert_neq(failedOn[0], failedOn[1]);
    cr_assert_neq(failedOn[1], failedOn[2]);
    for (const std::string &worker : failedOn) {
        cr_assert(fixture.rejections["broken"].find(worker) != std::string::npos, "%s", fixture.rejections["broken"].c_str());
    }
    cr_assert_eq(fixture.engine.pendingCount(), 0);
}

// Guards against jobs that no worker or quota can ever hold, and against their early rejection after a start.
Test(health, rejectsJobsThatCanNeverRun)
{
    PlacementFixture fixture;
    fixture.addWorkers(1, size(8, 32, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges"), teamOf("bounded", 1, size(4, 16, 8))})});
    fixture.engine.addPending(batchTask("too-large", size(64, 8)), fixture.now);
    fixture.engine.addPending(batchTask("over-quota", size(6, 8), "bounded"), fixture.now);
    fixture.engine.addPending(batchTask("comes-later", size(16, 8)), fixture.now);
    fixture.decide();
    fixture.advance(30s);
    fixture.decide();
    cr_assert(fixture.rejections.empty());
    fixture.engine.updateWorker(WorkerOffer{"large", "r0", size(16, 64, 8), true}, fixture.now);
    fixture.decide();
    cr_assert(fixture.running.contains("comes-later"));
    fixture.advance(31s);
    fixture.decide();
    cr_assert_eq(fixture.rejections.size(), 2);
    cr_assert(fixture.rejections["too-large"].find("64000 millicores") != std::string::npos);
    cr_assert(fixture.rejections["over-quota"].find("quota") != std::string::npos);
}
