#include "placementfixture.h"

#include <criterion/criterion.h>

#include <deque>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

/// A worker with a service and batch tasks. The latency depends on the speeds of the batch tasks and is reported 2 s late.
struct SlowServiceRun
{
    explicit SlowServiceRun(double budget, int batchTasks = 4)
    {
        fixture.addWorkers(1, size(32, 125, 8));
        Contract contract = contractOf({teamOf("badges")});
        contract.evictionBudget = budget;
        fixture.engine.setContracts({contract});
        fixture.engine.addPending(serviceTask("service", size(4, 8)), fixture.now);
        for (int i = 0; i < batchTasks; ++i) {
            fixture.engine.addPending(batchTask("job-" + std::to_string(i), size(4, 8)), fixture.now);
        }
        fixture.decide();
        cr_assert_eq(fixture.running.size(), static_cast<std::size_t>(batchTasks) + 1);
    }

    /// Advances the clock by @p time. Each batch task at full speed adds @p perTask ms to the @p base latency of the service.
    void run(Duration time, double base, double perTask)
    {
        const TimePoint until = fixture.now + time;
        while (fixture.now < until) {
            fixture.advance(1s);
            double latency = base;
            for (const auto &entry : fixture.running) {
                if (entry.first != "service") {
                    latency += perTask * (fixture.speedPercents.contains(entry.first) ? fixture.speedPercents[entry.first] : 100) / 100.0;
                }
            }
            measured.push_back(latency);
            if (measured.size() > 2) {
                measured.pop_front();
            }
            for (const auto &entry : fixture.running) {
                const double reported = entry.first == "service" ? measured.front() * 1000 : 0;
                fixture.engine.reportUsage(UsageSample{entry.first, size(4, 8), 1500ms, 0.3, true, reported}, fixture.now);
            }
            fixture.decide();
            for (const auto &entry : fixture.evictions) {
                if (fixture.running.contains(entry.first)) {
                    fixture.end(entry.first);
                }
            }
        }
    }

    PlacementFixture fixture;
    std::deque<double> measured;
};

} // namespace

// Guards against batch tasks that keep full speed while a service is near its objective, or that stay throttled afterwards.
Test(eviction, throttlesBeforeEvictingAndRestoresFullSpeed)
{
    SlowServiceRun run(1);
    run.run(20s, 40, 14); // 96 ms at full speed, objective 100 ms
    cr_assert_geq(run.fixture.throttleCount, 4);
    cr_assert(run.fixture.evictions.empty());
    run.run(2min, 20, 2);
    for (const auto &entry : run.fixture.speedPercents) {
        cr_assert_eq(entry.second, 100, "%s remains at %d%%", entry.first.c_str(), entry.second);
    }
}

// Guards against throttling that oscillates because it reacts to its own effect on the latency.
Test(eviction, doesNotOscillate)
{
    SlowServiceRun run(1);
    run.run(30min, 40, 14); // the latency is too high at full speed and low at half speed
    // With a constant delay, the speed would change about every 15 s: 4 tasks * 120 changes = 480 commands.
    cr_assert_leq(run.fixture.throttleCount, 120, "%d throttle commands", run.fixture.throttleCount);
    cr_assert(run.fixture.evictions.empty());
}

// Guards against a missing eviction when throttling is not enough, and against evictions beyond the budget.
Test(eviction, evictsWithinTheBudget)
{
    SlowServiceRun noBudget(0);
    noBudget.run(5min, 110, 10);
    cr_assert(noBudget.fixture.evictions.empty());
    cr_assert_geq(noBudget.fixture.throttleCount, 4);

    SlowServiceRun halfBudget(0.5);
    halfBudget.run(10min, 110, 10);
    cr_assert_eq(halfBudget.fixture.evictions.size(), 2, "%zu evictions", halfBudget.fixture.evictions.size());
}

// Guards against placing batch tasks on a worker with a service that is near its objective.
Test(eviction, placesNoBatchWithASlowService)
{
    SlowServiceRun run(0, 0);
    run.run(10s, 95, 0);
    run.fixture.engine.addPending(batchTask("more", size(1, 1)), run.fixture.now);
    run.fixture.decide();
    cr_assert(!run.fixture.running.contains("more"));
    run.run(3min, 20, 0);
    cr_assert(run.fixture.running.contains("more"));
}

// Guards against learned interference that has no effect on placement.
Test(eviction, separatesInterferingKinds)
{
    PlacementFixture fixture;
    fixture.addWorkers(8, size(32, 125, 8));
    fixture.engine.setContracts({contractOf({teamOf("badges")})});
    for (int i = 0; i < 4; ++i) {
        fixture.engine.addPending(serviceTask("service-" + std::to_string(i), size(4, 8)), fixture.now);
    }
    fixture.decide();
    std::map<std::string, bool> hasService;
    for (const auto &entry : fixture.running) {
        hasService[entry.second] = true;
    }
    // The workers without services get more load than the others, so only the learned interference makes them the better choice.
    for (int i = 0; i < 8; ++i) {
        const std::string worker = "w" + std::to_string(i);
        if (!hasService[worker]) {
            fixture.engine.adoptRunning(batchTask("filler-" + worker, size(16, 8)), worker, fixture.now);
        }
    }
    int next = 0;
    int placedWithServices = 0;
    int placed = 0;
    int quietPlacedWithServices = 0;
    for (int second = 0; second < 600; ++second) {
        const bool learned = second >= 300;
        PendingTask task = batchTask("job-" + std::to_string(next++), size(2, 4));
        task.taskName = next % 2 == 0 ? "noisy" : "quiet";
        fixture.engine.addPending(task, fixture.now);
        fixture.decide();
        if (learned && next % 2 == 0 && fixture.running.contains(task.jobId)) {
            ++placed;
            placedWithServices += hasService[fixture.running.at(task.jobId)] ? 1 : 0;
        }
        if (learned && next % 2 == 1 && fixture.running.contains(task.jobId)) {
            quietPlacedWithServices += hasService[fixture.running.at(task.jobId)] ? 1 : 0;
        }
        fixture.advance(1s);
        for (int i = 0; i < 4; ++i) {
            const std::string service = "service-" + std::to_string(i);
            double latency = 30;
            for (const auto &entry : fixture.running) {
                if (entry.second == fixture.running.at(service) && entry.first.starts_with("job-") && std::stoi(entry.first.substr(4)) % 2 == 1) {
                    latency *= 1.25;
                }
            }
            fixture.engine.reportUsage(UsageSample{service, size(4, 8), 0ms, 0, false, latency * 1000}, fixture.now);
        }
        const std::string ended = "job-" + std::to_string(next - 8);
        if (fixture.running.contains(ended)) {
            fixture.succeed(ended);
        }
    }
    cr_assert_geq(placed, 100);
    cr_assert_geq(quietPlacedWithServices, 75, "%d quiet tasks placed with services", quietPlacedWithServices);
    cr_assert_leq(placedWithServices * 5, placed, "%d of %d noisy tasks placed with services", placedWithServices, placed);
}
