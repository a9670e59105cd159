#include "placementfixture.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <random>

using namespace Hyssop;

namespace {

constexpr unsigned Seed = 20261204;
constexpr int Steps = 6000;
constexpr int Workers = 6;

Resources randomSize(std::mt19937 &random)
{
    return size(1 + static_cast<int>(random() % 20), 1 + static_cast<int>(random() % 60), 1 + static_cast<int>(random() % 2));
}

Resources sumOn(const std::map<std::string, std::pair<std::string, Resources>> &tasks, const std::string &worker)
{
    Resources sum;
    for (const auto &entry : tasks) {
        if (entry.second.first == worker) {
            sum += entry.second.second;
        }
    }
    return sum;
}

} // namespace

// Guards against overcommitted workers under random sequences of starts, ends, cancellations, adopted tasks, repeated and
// late reports, and workers that leave and return.
Test(capacity, neverExceedsAWorkerUnderRandomSequences)
{
    std::printf("seed %u\n", Seed);
    std::mt19937 random(Seed);
    PlacementFixture fixture;
    const Resources capacity = size(32, 125, 8);
    fixture.addWorkers(Workers, capacity);
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    std::map<std::string, Resources> declared;
    std::map<std::string, std::pair<std::string, Resources>> expectedTasks; // worker and declared size by job
    int next = 0;
    for (int step = 0; step < Steps; ++step) {
        fixture.advance(std::chrono::milliseconds(100));
        const std::string newJob = "job-" + std::to_string(next++);
        const std::string earlierJob = "job-" + std::to_string(random() % static_cast<unsigned>(next));
        const std::string worker = "w" + std::to_string(random() % Workers);
        declared[newJob] = randomSize(random);
        switch (random() % 8) {
        case 0:
        case 1:
        case 2:
            fixture.engine.addPending(batchTask(newJob, declared[newJob]), fixture.now);
            break;
        case 3:
            fixture.engine.release(earlierJob); // also pending and unknown jobs
            expectedTasks.erase(earlierJob);
            break;
        case 4:
            fixture.engine.removePending(earlierJob); // also running jobs
            break;
        case 5: // also of ended jobs, with more use than declared
            fixture.report(earlierJob, randomSize(random) + randomSize(random), 0.5, true);
            break;
        case 6:
            if (random() % 10 == 0) {
                fixture.engine.adoptRunning(batchTask(newJob, declared[newJob]), worker, fixture.now);
                expectedTasks[newJob] = {worker, declared[newJob]};
            }
            break;
        default:
            fixture.engine.updateWorker(WorkerOffer{worker, "r0", capacity, random() % 4 != 0}, fixture.now);
            break;
        }
        std::map<std::string, bool> placedOn;
        for (const PlacementDecision &decision : fixture.decide(4)) {
            if (const auto *placed = std::get_if<PlaceTask>(&decision)) {
                expectedTasks[placed->jobId] = {placed->worker, declared[placed->jobId]};
                placedOn[placed->worker] = true;
            }
        }
        for (int i = 0; i < Workers; ++i) {
            const std::string name = "w" + std::to_string(i);
            const Resources sum = sumOn(expectedTasks, name);
            cr_assert(sum.fitsIn(fixture.engine.committed(name)), "step %d: %s has committed less than its tasks declare", step, name.c_str());
            if (placedOn[name]) {
                cr_assert(fixture.engine.committed(name).fitsIn(capacity), "step %d: %s is overcommitted by a placement", step, name.c_str());
            }
        }
        cr_assert_eq(fixture.engine.runningCount(), expectedTasks.size(), "step %d", step);
    }
}

// Guards against adopted tasks that are not committed, so that more tasks are placed than the worker can hold.
Test(capacity, countsAdoptedTasksBeyondCapacity)
{
    PlacementFixture fixture;
    fixture.addWorkers(1, size(8, 32));
    fixture.engine.adoptRunning(batchTask("a", size(6, 8)), "w0", fixture.now);
    fixture.engine.adoptRunning(batchTask("b", size(6, 8)), "w0", fixture.now);
    cr_assert_eq(fixture.engine.committed("w0").milliCores, 12000);
    fixture.engine.addPending(batchTask("c", size(1, 1)), fixture.now);
    fixture.decide();
    cr_assert(fixture.running.empty());
    fixture.engine.release("a");
    fixture.decide();
    cr_assert(fixture.running.empty(), "the remaining task occupies the only slot");
    fixture.engine.release("b");
    fixture.decide();
    cr_assert_eq(fixture.running.count("c"), 1);
}

// Guards against placing a task on memory that other tasks use beyond their declared size.
Test(capacity, countsMeasuredUseBeyondDeclared)
{
    PlacementFixture fixture;
    fixture.addWorkers(1, size(32, 100, 8));
    fixture.engine.addPending(batchTask("a", size(4, 20)), fixture.now);
    fixture.decide();
    fixture.advance(std::chrono::seconds(2));
    fixture.report("a", size(4, 70), 0.1, true);
    fixture.engine.addPending(batchTask("b", size(4, 40)), fixture.now);
    fixture.decide();
    cr_assert_eq(fixture.running.count("b"), 0);
    fixture.end("a");
    fixture.decide();
    cr_assert_eq(fixture.running.count("b"), 1);
}

// Guards against decisions that depend on anything but the input and the seed.
Test(capacity, decidesTheSameForTheSameSeed)
{
    std::vector<std::string> runs;
    for (int run = 0; run < 2; ++run) {
        PlacementFixture fixture;
        fixture.addWorkers(20, size(32, 125, 8));
        for (int i = 0; i < 100; ++i) {
            fixture.engine.addPending(batchTask("job-" + std::to_string(i), size(1 + i % 7, 4)), fixture.now);
        }
        std::string text;
        for (const PlacementDecision &decision : fixture.decide()) {
            if (const auto *placed = std::get_if<PlaceTask>(&decision)) {
                text += placed->jobId + "@" + placed->worker + ";";
            }
        }
        runs.push_back(text);
    }
    cr_assert(!runs[0].empty());
    cr_assert_eq(runs[0], runs[1]);
}
