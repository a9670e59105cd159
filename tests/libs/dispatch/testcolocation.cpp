#include "singleworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/colocationpolicy.h>
#include <dispatch/dispatcher.h>
#include <dispatch/taillatencymodel.h>
#include <dispatch/workerranking.h>
#include <dispatch/workerstate.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr double BaseMs = 4;
constexpr std::int64_t TargetMs = 18;

constexpr Duration Period = 10s;
constexpr std::int64_t Capacity = 64000;

/// Tail latency of a server with its own load and the utilization that neighbours add.
double tailOf(double own, double addedUtilization)
{
    return std::round(BaseMs / (1 - std::min(own + addedUtilization, 0.99)));
}

/// Load of the serving job: 0.42 at Begin, peak 2.5 s later, trough 7.5 s later.
double ownLoadAt(TimePoint at)
{
    return 0.42
        * (1 + 0.5 * std::sin(2 * std::numbers::pi * std::chrono::duration<double>(at - Begin).count() / std::chrono::duration<double>(Period).count()));
}

RunProfile servingProfile(ColocationPolicy &policy, const std::string &image)
{
    RunProfile profile;
    profile.servingMilliCores = 13000;
    profile.reserved.milliCores = 13000;
    policy.setColocationTraits(image, TargetMs, false, profile);
    return profile;
}

RunProfile bestEffortProfile(ColocationPolicy &policy, const std::string &image)
{
    RunProfile profile;
    profile.bestEffortMilliCores = 8000;
    policy.setColocationTraits(image, 0, true, profile);
    return profile;
}

constexpr double HeavyEffect = 0.25; // added utilization
constexpr Duration TrainingTime = 40s; // a multiple of Period

/// Trains the policy with reports of a serving image that at times runs beside an interfering and a harmless image.
void train(ColocationPolicy &policy, RunProfile &service, RunProfile &heavy, RunProfile &light)
{
    std::mt19937 random(7);
    for (TimePoint at = Begin; at < Begin + TrainingTime; at += 100ms) {
        const bool hasHeavy = random() % 3 == 0;
        const bool hasLight = random() % 2 == 0;
        std::vector<ColocatedRun> runs{{&service, "service", tailOf(ownLoadAt(at), hasHeavy ? HeavyEffect : 0), 100}};
        if (hasHeavy) {
            runs.push_back({&heavy, "batch", 8000, 100});
        }
        if (hasLight) {
            runs.push_back({&light, "batch", 8000, 100});
        }
        policy.observe(runs, ColocationPolicy::neighbourLoadsOf(runs, Capacity), at);
    }
}

WorkerState workerWith(const RunProfile &profile)
{
    WorkerState worker;
    worker.info.id = "w";
    worker.info.workerPool = "hall";
    worker.info.capacity.milliCores = Capacity;
    worker.info.capacity.memoryBytes = 256'000'000'000;
    worker.registered = true;
    worker.clock = WorkerClock{WorkerTime(0), Begin};
    worker.lastReportAt = Begin;
    worker.addRun({"service", 0, 0, 0}, profile, TimePoint());
    return worker;
}

/// A policy that has learned the load of a service and the effect of two images on it.
struct TrainedPolicy
{
    TrainedPolicy() { train(policy, service, heavy, light); }

    ColocationPolicy policy;
    RunProfile service = servingProfile(policy, "service");
    RunProfile heavy = bestEffortProfile(policy, "heavy");
    RunProfile light = bestEffortProfile(policy, "light");
};

} // namespace

Test(tailLatencyModel, distinguishesInterferingAndHarmlessImages)
{
    TailLatencyModel model;
    std::mt19937 random(3);
    for (int sample = 0; sample < 300; ++sample) {
        std::vector<NeighbourLoad> colocated;
        double addedUtilization = 0;
        if (random() % 2 == 0) {
            colocated.push_back({1, 1});
            addedUtilization = 0.3;
        }
        if (random() % 2 == 0) {
            colocated.push_back({2, 1});
        }
        const double own = ownLoadAt(Begin + sample * 100ms);
        // The lowest reported tail latency is 5 ms instead of 4 ms, so the model sees (1 - u) scaled by 5 / 4.
        model.observe(tailOf(own, addedUtilization), {1 - (1 - own) * 5 / 4, 0.004}, colocated);
    }
    cr_assert_float_eq(model.addedUtilization({1, 1}), 0.3 * 5 / 4, 0.1);
    cr_assert_lt(model.addedUtilization({2, 1}), 0.06);
    cr_assert_float_eq(model.ownUtilization(), 1 - 0.58 * 5 / 4, 0.1);
}

// Fails if the tail latency of a saturated server is taken as exact: the effects then fall until their sum is just below 1.
Test(tailLatencyModel, saturationDoesNotLowerEffects)
{
    constexpr double Own = 0.5;
    constexpr double Coefficient = 2.2;
    constexpr double LoadOfOne = 0.1;
    TailLatencyModel model;
    model.observe(BaseMs, {0, 0.004}, {});
    for (int sample = 0; sample < 200; ++sample) {
        const double load = sample % 2 * LoadOfOne;
        model.observe(tailOf(Own, Coefficient * load), {Own, 0.004}, {{1, load}});
    }
    cr_assert_float_eq(model.addedUtilization({1, LoadOfOne}), Coefficient * LoadOfOne, 0.03);
    for (int sample = 0; sample < 20; ++sample) {
        const std::vector<NeighbourLoad> colocated(10, {1, LoadOfOne});
        model.observe(tailOf(Own, Coefficient * LoadOfOne * 10), {Own, 0.004}, colocated);
    }
    cr_assert_gt(model.addedUtilization({1, LoadOfOne}), 0.8 * Coefficient * LoadOfOne, "it has fallen to %f", model.addedUtilization({1, LoadOfOne}));
}

// Saturation still shows that effects are higher than learned.
Test(tailLatencyModel, saturationRaisesEffects)
{
    constexpr double Own = 0.5;
    TailLatencyModel model;
    model.observe(BaseMs, {0, 0.004}, {});
    for (int sample = 0; sample < 40; ++sample) {
        model.observe(tailOf(Own, 0), {Own, 0.004}, {{1, sample % 2 * 0.1}});
    }
    cr_assert_lt(model.addedUtilization({1, 0.1}), 0.03);
    for (int sample = 0; sample < 40; ++sample) {
        model.observe(tailOf(Own, 1), {Own, 0.004}, {{1, 0.1}});
    }
    cr_assert_gt(model.addedUtilization({1, 0.1}), 0.1, "it is %f", model.addedUtilization({1, 0.1}));
}

Test(tailLatencyModel, learnedEffectsSurviveAFailover)
{
    TailLatencyModel model;
    for (int sample = 0; sample < 100; ++sample) {
        const double own = ownLoadAt(Begin + sample * 100ms);
        model.observe(tailOf(own, sample % 2 * 0.3), {own, 0.004}, {{1, static_cast<double>(sample % 2)}});
    }
    TailLatencyModel restored;
    restored.restore(model.baseMs(), model.ownUtilization(), model.neighbours());
    cr_assert_float_eq(restored.addedUtilization({1, 1}), model.addedUtilization({1, 1}), 1e-9);
    cr_assert_float_eq(restored.allowedUtilization(TargetMs), model.allowedUtilization(TargetMs), 1e-9);
}

Test(colocationPolicy, placesAnInterferingImageOnlyInATrough)
{
    TrainedPolicy trained;
    WorkerState worker = workerWith(trained.service);
    Wire::TaskStep step;
    step.fillsIdle = true;
    step.milliCores = 8000;
    PlacementRequest request;
    request.step = &step;
    request.workerPool = "hall";
    const auto canRun = [&](const RunProfile &profile, Duration after) {
        const TimePoint now = Begin + TrainingTime + after;
        worker.clock = WorkerClock{WorkerTime(0), now};
        worker.lastReportAt = now;
        worker.forecast.at = TimePoint();
        request.profile = &profile;
        return WorkerRanking({&worker}, {}, trained.policy, now).choose(request) == &worker;
    };
    cr_assert(!canRun(trained.heavy, 1s), "the peak comes while it would run");
    cr_assert(!canRun(trained.heavy, 2500ms));
    cr_assert(canRun(trained.heavy, 5500ms));
    cr_assert(canRun(trained.light, 1s));
    cr_assert(canRun(trained.light, 2500ms));
}

// Fails if an effect that was learned within a second is never doubted: the image is then placed nowhere beside the service,
// so the effect is never observed again. Here it is several times as high as what four other services show.
Test(colocationPolicy, anEffectThatIsNotObservedAgainIsDoubted)
{
    ColocationPolicy policy;
    RunProfile heavy = bestEffortProfile(policy, "heavy");
    double highest = 0;
    for (const char *image : {"service 1", "service 2", "service 3", "service 4"}) {
        RunProfile service = servingProfile(policy, image);
        int report = 0;
        for (TimePoint at = Begin; at < Begin + TrainingTime; at += 100ms, ++report) {
            const bool hasHeavy = report % 3 == 0;
            std::vector<ColocatedRun> runs{{&service, image, tailOf(ownLoadAt(at), hasHeavy ? HeavyEffect : 0), 100}};
            if (hasHeavy) {
                runs.push_back({&heavy, "batch", 8000, 100});
            }
            policy.observe(runs, ColocationPolicy::neighbourLoadsOf(runs, Capacity), at);
        }
        highest = std::max(highest, policy.addedUtilization(service.image, heavy, Capacity));
    }
    cr_assert_float_eq(highest, HeavyEffect, 0.5 * HeavyEffect, "it is %f", highest);
    RunProfile service = servingProfile(policy, "service 5");
    TimePoint at = Begin + TrainingTime;
    policy.observe({{&service, "new service", BaseMs, 100}}, {}, at);
    for (const TimePoint end = at + 1s; at < end; at += 100ms) {
        // The run is throttled to a fifth, and the tail latency still shows the time before.
        const std::vector<ColocatedRun> runs{{&service, "new service", tailOf(0.45, 0.45), 100}, {&heavy, "batch", 1600, 20}};
        policy.observe(runs, ColocationPolicy::neighbourLoadsOf(runs, Capacity), at);
    }
    const double learnedAtOnce = policy.addedUtilization(service.image, heavy, Capacity);
    for (const TimePoint end = at + 100s; at < end; at += 100ms) {
        policy.observe({{&service, "new service", tailOf(ownLoadAt(at), 0), 100}}, {}, at);
    }
    const double learned = policy.addedUtilization(service.image, heavy, Capacity);
    cr_assert_gt(learnedAtOnce, highest);
    cr_assert_lt(learned, (learnedAtOnce + highest) / 2, "it is %f, was %f 100 s ago, and is at most %f for the others", learned, learnedAtOnce, highest);
}

Test(colocationPolicy, aTaskNeedsHeadroomUntilItsSpeedCanBeAdjusted)
{
    TrainedPolicy trained;
    const WorkerState worker = workerWith(trained.service);
    const double addedUtilization = trained.policy.addedUtilization(trained.service.image, trained.heavy, Capacity);
    const auto hasHeadroom = [&](Duration after) {
        const ServingForecast forecast = trained.policy.forecast(worker, Begin + TrainingTime + after);
        cr_assert_eq(forecast.headrooms.size(), 1);
        return forecast.headrooms.front().utilization > addedUtilization;
    };
    cr_assert_not(hasHeadroom(2s), "the peak");
    cr_assert(hasHeadroom(7s), "the load rises through its mean at 10 s");
    cr_assert_not(hasHeadroom(10500ms));
    const std::vector<ColocatedRun> runs{{&trained.service, "service", 5, 100}, {&trained.heavy, "batch", 8000, 100}};
    const std::vector<int> atPeak = trained.policy.speeds(runs, Capacity, Begin + TrainingTime + 12s);
    cr_assert_leq(atPeak[1], 60, "the run that was started in the trough is slowed down before the peak");
}

Test(colocationPolicy, aRunThatEndsSoonCountsAsFree)
{
    TrainedPolicy trained;
    const TimePoint now = Begin + TrainingTime + 6s;
    WorkerState worker = workerWith(trained.service);
    const double alone = trained.policy.forecast(worker, now).headrooms.front().utilization;
    const std::int64_t idleAlone = worker.expectedIdleMilliCores(trained.policy.forecast(worker, now));
    trained.heavy.expectedEnd = now + 2s;
    worker.addRun({"batch", 0, 0, 0}, trained.heavy, TimePoint());
    cr_assert_lt(trained.policy.forecast(worker, now).headrooms.front().utilization, alone);
    cr_assert_lt(worker.expectedIdleMilliCores(trained.policy.forecast(worker, now)), idleAlone);
    worker.runs.at({"batch", 0, 0, 0}).expectedEnd = now + 100ms;
    cr_assert_float_eq(trained.policy.forecast(worker, now).headrooms.front().utilization, alone, 1e-9);
    cr_assert_eq(worker.expectedIdleMilliCores(trained.policy.forecast(worker, now)), idleAlone);
}

Test(colocationPolicy, manySmallEffectsAddUp)
{
    ColocationPolicy policy;
    RunProfile service = servingProfile(policy, "service");
    RunProfile bestEffort = bestEffortProfile(policy, "filling");
    constexpr double AddedByEach = 0.03;
    std::mt19937 random(2);
    for (TimePoint at = Begin; at < Begin + TrainingTime; at += 100ms) {
        const std::size_t count = random() % 4;
        std::vector<ColocatedRun> runs{{&service, "service", tailOf(ownLoadAt(at), AddedByEach * static_cast<double>(count)), 100}};
        for (std::size_t run = 0; run < count; ++run) {
            runs.push_back({&bestEffort, "batch", 8000, 100});
        }
        policy.observe(runs, ColocationPolicy::neighbourLoadsOf(runs, Capacity), at);
    }
    WorkerState worker = workerWith(service);
    worker.info.capacity.milliCores = Capacity;
    const TimePoint peak = Begin + TrainingTime + 2s;
    const double alone = policy.forecast(worker, peak).headrooms.front().utilization;
    cr_assert_gt(alone, AddedByEach);
    for (int run = 0; run < 6; ++run) {
        worker.addRun({"batch", 0, 0, run}, bestEffort, TimePoint());
    }
    const double together = policy.forecast(worker, peak).headrooms.front().utilization;
    cr_assert_lt(together, AddedByEach, "six of them leave no headroom for a seventh: %f of %f", together, alone);
}

Test(colocationPolicy, throttlesOnlyTheInterferingRun)
{
    TrainedPolicy trained;
    const std::vector<ColocatedRun> runs{{&trained.service, "service", 8, 100}, {&trained.light, "batch", 8000, 100}, {&trained.heavy, "batch", 8000, 100}};
    const std::vector<int> beforePeak = trained.policy.speeds(runs, Capacity, Begin + TrainingTime + 1s);
    cr_assert_eq(beforePeak[1], 100);
    cr_assert_leq(beforePeak[2], 60);
    cr_assert(trained.policy.speeds(runs, Capacity, Begin + TrainingTime + 6s) == (std::vector<int>{100, 100, 100}), "both fit in the trough");
    trained.service.residualUtilization = 0.5;
    cr_assert_eq(trained.policy.speeds(runs, Capacity, Begin + TrainingTime + 2s)[2], 0);
    trained.service.residualUtilization = 0;
    const std::vector<ColocatedRun> paused{{&trained.service, "service", 5, 100}, {&trained.light, "batch", 8000, 100}, {&trained.heavy, "batch", 0, 0}};
    cr_assert(trained.policy.speeds(paused, Capacity, Begin + TrainingTime + 6s) == (std::vector<int>{100, 100, 100}),
              "the model expects headroom for it again");
    cr_assert_lt(trained.policy.speeds(paused, Capacity, Begin + TrainingTime + 1s)[2], 100, "but not before a peak");
}

Test(colocationPolicy, servingTasksOfOneImageArePackedTogether)
{
    ColocationPolicy policy;
    RunProfile first = servingProfile(policy, "first");
    RunProfile second = servingProfile(policy, "second");
    WorkerState withFirst = workerWith(first);
    WorkerState withSecond = workerWith(second);
    WorkerState empty = workerWith(first);
    empty.removeRun({"service", 0, 0, 0});
    const WorkerRanking ranking({&withSecond, &empty, &withFirst}, {}, policy, Begin);
    Wire::TaskStep step;
    step.longRunning = true;
    step.milliCores = 13000;
    PlacementRequest request;
    request.step = &step;
    request.workerPool = "hall";
    request.profile = &first;
    cr_assert_eq(ranking.choose(request), &withFirst);
}

namespace {

/// A dispatcher with one simulated worker, which runs a serving task and a best-effort task.
class ColocationHarness
{
public:
    explicit ColocationHarness(bool isCheckpointable = false)
    {
        Wire::StepJob job;
        job.steps.resize(2);
        job.steps[0].longRunning = true;
        job.steps[0].tailTargetMs = TargetMs;
        job.steps[0].image = "service";
        job.steps[0].milliCores = 1000;
        job.steps[1].fillsIdle = true;
        job.steps[1].checkpointable = isCheckpointable;
        job.steps[1].image = "filler";
        job.steps[1].milliCores = 1000;
        job.steps[1].estimateMs = 60000;
        Testing::beginWithSingleWorker(m_dispatcher, job, 8000, {now, now});
    }

    /// Advances the time in steps of 20 ms; each poll is answered at once with the tail latency @p tailMs.
    void run(Duration time, double tailMs)
    {
        for (const TimePoint until = now + time; now < until; now += 20ms) {
            m_dispatcher.confirmRead(now);
            m_dispatcher.confirmWorkersRead(now);
            const WallTime wall(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
            for (const DispatchAction &action : m_dispatcher.advance(now, wall)) {
                respond(action, tailMs);
            }
        }
    }

    TimePoint now = Begin;
    int speed = 100; // of the best-effort task
    std::vector<StopCommand> stops;

private:
    void respond(const DispatchAction &action, double tailMs)
    {
        if (const auto *start = std::get_if<StartCommand>(&action)) {
            m_runs[start->task] = start->run;
            m_dispatcher.startAnswered(*start, CommandExecuted{}, now);
        } else if (const auto *stop = std::get_if<StopCommand>(&action)) {
            stops.push_back(*stop);
        } else if (std::holds_alternative<AppendRecords>(action)) {
            m_dispatcher.recordsStored(now);
        } else if (const auto *command = std::get_if<ThrottleCommand>(&action)) {
            speed = command->speedPercent;
            m_dispatcher.throttleAnswered(*command, CommandExecuted{}, now);
        } else if (const auto *poll = std::get_if<PollCommand>(&action)) {
            WorkerReport report;
            report.clock = std::chrono::duration_cast<WorkerTime>(now - Begin);
            for (const auto &[task, run] : m_runs) {
                const bool isServing = task.step == 0;
                report.runs.push_back({task, run, "", isServing ? 100 : static_cast<int>((now - Begin) / 1s), isServing ? tailMs : 10});
            }
            m_dispatcher.pollAnswered(*poll, report, now, now);
        }
    }

    Dispatcher m_dispatcher{DispatchLimits()};
    std::map<TaskId, int> m_runs;
};

} // namespace

Test(colocationPolicy, bestEffortTasksPauseWhileAServingTaskStaysOverItsTarget)
{
    ColocationHarness harness;
    harness.run(5s, 6);
    cr_assert_eq(harness.speed, 100);
    // The best-effort task uses so little processor time that the model considers it harmless.
    harness.run(2s, TargetMs + 4);
    cr_assert_eq(harness.speed, 0);
}

Test(colocationPolicy, theStopOfAPausedRunNamesItsReason)
{
    ColocationHarness harness(true);
    harness.run(3s, TargetMs + 4);
    cr_assert(!harness.stops.empty());
    for (const StopCommand &stop : harness.stops) {
        cr_assert_eq(stop.reason, StopReason::PausedTooLong);
    }
}
