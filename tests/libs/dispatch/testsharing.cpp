#include "oneworker.h"

#include <dispatch/dispatcher.h>
#include <dispatch/sharingrule.h>
#include <dispatch/tailmodel.h>
#include <dispatch/workerchoice.h>
#include <dispatch/workerview.h>

#include <criterion/criterion.h>

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

/// Tail of a server with the swinging own load and what its neighbours add.
double tailOf(double own, double added)
{
    return std::round(BaseMs / (1 - std::min(own + added, 0.99)));
}

/// Own load of the serving job: 0.42 at Begin, its crest 2.5 s later, its trough 7.5 s later.
double swing(TimePoint at)
{
    return 0.42
        * (1 + 0.5 * std::sin(2 * std::numbers::pi * std::chrono::duration<double>(at - Begin).count() / std::chrono::duration<double>(Period).count()));
}

RunUse serving(SharingRule &rule, const std::string &image)
{
    RunUse use;
    use.servingMilliCores = 13000;
    use.counted.milliCores = 13000;
    rule.describe(image, TargetMs, false, use);
    return use;
}

RunUse filler(SharingRule &rule, const std::string &image)
{
    RunUse use;
    use.idleMilliCores = 8000;
    rule.describe(image, 0, true, use);
    return use;
}

constexpr double HeavyEffect = 0.25; // utilization
constexpr Duration Lesson = 40s; // whole periods

/// Shows the rule a serving image beside a disturbing and a harmless one, now and then, as listings do.
void teach(SharingRule &rule, RunUse &service, RunUse &heavy, RunUse &light)
{
    std::mt19937 random(7);
    for (TimePoint at = Begin; at < Begin + Lesson; at += 100ms) {
        const bool hasHeavy = random() % 3 == 0;
        const bool hasLight = random() % 2 == 0;
        std::vector<SharedRun> runs{{&service, "service", tailOf(swing(at), hasHeavy ? HeavyEffect : 0), 100}};
        if (hasHeavy) {
            runs.push_back({&heavy, "batch", 8000, 100});
        }
        if (hasLight) {
            runs.push_back({&light, "batch", 8000, 100});
        }
        rule.observe(runs, SharingRule::pressuresOf(runs, Capacity), at);
    }
}

WorkerView workerWith(const RunUse &use)
{
    WorkerView worker;
    worker.info.id = "w";
    worker.info.service = "hall";
    worker.info.capacity.milliCores = Capacity;
    worker.info.capacity.memoryBytes = 256'000'000'000;
    worker.listed = true;
    worker.clock = WorkerClock{WorkerTime(0), Begin};
    worker.lastContact = Begin;
    worker.addRun({"service", 0, 0, 0}, use);
    return worker;
}

} // namespace

Test(tailModel, tellsTheDisturbingImageFromTheHarmlessOne)
{
    TailModel model;
    std::mt19937 random(3);
    for (int sample = 0; sample < 300; ++sample) {
        std::vector<NeighbourLoad> beside;
        double added = 0;
        if (random() % 2 == 0) {
            beside.push_back({1, 1});
            added = 0.3;
        }
        if (random() % 2 == 0) {
            beside.push_back({2, 1});
        }
        const double own = swing(Begin + sample * 100ms);
        // The lowest reported tail is 5 ms, so the model counts (1 - u) in units that are 5 / 4 as large.
        model.observe(tailOf(own, added), {1 - (1 - own) * 5 / 4, 0.004}, beside);
    }
    cr_assert_float_eq(model.added({1, 1}), 0.3 * 5 / 4, 0.1);
    cr_assert_lt(model.added({2, 1}), 0.06);
    cr_assert_float_eq(model.ownUtilization(), 1 - 0.58 * 5 / 4, 0.1);
}

Test(tailModel, whatWasLearnedSurvivesATakeover)
{
    TailModel model;
    for (int sample = 0; sample < 100; ++sample) {
        const double own = swing(Begin + sample * 100ms);
        model.observe(tailOf(own, sample % 2 * 0.3), {own, 0.004}, {{1, static_cast<double>(sample % 2)}});
    }
    TailModel restored;
    restored.restore(model.baseMs(), model.ownUtilization(), model.neighbours());
    cr_assert_float_eq(restored.added({1, 1}), model.added({1, 1}), 1e-9);
    cr_assert_float_eq(restored.allowedUtilization(TargetMs), model.allowedUtilization(TargetMs), 1e-9);
}

Test(sharingRule, placesADisturbingImageOnlyInATrough)
{
    SharingRule rule;
    RunUse service = serving(rule, "service");
    RunUse heavy = filler(rule, "heavy");
    RunUse light = filler(rule, "light");
    teach(rule, service, heavy, light);
    WorkerView worker = workerWith(service);
    Wire::TaskStep step;
    step.fillsIdle = true;
    step.milliCores = 8000;
    PlacementWish wish;
    wish.step = &step;
    wish.service = "hall";
    const auto mayRun = [&](const RunUse &use, Duration after) {
        const TimePoint now = Begin + Lesson + after;
        worker.clock = WorkerClock{WorkerTime(0), now};
        worker.lastContact = now;
        worker.outlook.at = TimePoint();
        wish.use = &use;
        return WorkerChoice({&worker}, {}, rule, now).choose(wish) == &worker;
    };
    cr_assert(!mayRun(heavy, 1s), "the crest comes while it would run");
    cr_assert(!mayRun(heavy, 2500ms));
    cr_assert(mayRun(heavy, 5500ms));
    cr_assert(mayRun(light, 1s));
    cr_assert(mayRun(light, 2500ms));
}

Test(sharingRule, aLongTaskNeedsRoomForLonger)
{
    SharingRule rule;
    RunUse service = serving(rule, "service");
    RunUse heavy = filler(rule, "heavy");
    RunUse light = filler(rule, "light");
    teach(rule, service, heavy, light);
    WorkerView worker = workerWith(service);
    // The load rises from the middle of the swing at 10 s on.
    const ServingOutlook outlook = rule.outlook(worker, Begin + Lesson + 7s);
    cr_assert_eq(outlook.slacks.size(), 1);
    const double added = rule.added(service.image, heavy, Capacity);
    cr_assert_gt(outlook.slacks.front().soon, added);
    cr_assert_lt(outlook.slacks.front().later, added);
}

Test(sharingRule, whatARunThatEndsSoonUsesIsFree)
{
    SharingRule rule;
    RunUse service = serving(rule, "service");
    RunUse heavy = filler(rule, "heavy");
    RunUse light = filler(rule, "light");
    teach(rule, service, heavy, light);
    const TimePoint now = Begin + Lesson + 6s;
    WorkerView worker = workerWith(service);
    const double alone = rule.outlook(worker, now).slacks.front().soon;
    const std::int64_t idleAlone = worker.expectedIdle(rule.outlook(worker, now));
    heavy.expectedEnd = now + 2s;
    worker.addRun({"batch", 0, 0, 0}, heavy);
    cr_assert_lt(rule.outlook(worker, now).slacks.front().soon, alone);
    cr_assert_lt(worker.expectedIdle(rule.outlook(worker, now)), idleAlone);
    worker.runs.at({"batch", 0, 0, 0}).expectedEnd = now + 100ms;
    cr_assert_float_eq(rule.outlook(worker, now).slacks.front().soon, alone, 1e-9);
    cr_assert_eq(worker.expectedIdle(rule.outlook(worker, now)), idleAlone);
}

Test(sharingRule, manyHarmlessRunsDisturbTogether)
{
    SharingRule rule;
    RunUse service = serving(rule, "service");
    RunUse filling = filler(rule, "filling");
    constexpr double EachAdds = 0.03;
    std::mt19937 random(2);
    for (TimePoint at = Begin; at < Begin + Lesson; at += 100ms) {
        const std::size_t count = random() % 4;
        std::vector<SharedRun> runs{{&service, "service", tailOf(swing(at), EachAdds * static_cast<double>(count)), 100}};
        for (std::size_t run = 0; run < count; ++run) {
            runs.push_back({&filling, "batch", 8000, 100});
        }
        rule.observe(runs, SharingRule::pressuresOf(runs, Capacity), at);
    }
    WorkerView worker = workerWith(service);
    worker.info.capacity.milliCores = Capacity;
    const TimePoint crest = Begin + Lesson + 2s;
    const double alone = rule.outlook(worker, crest).slacks.front().soon;
    cr_assert_gt(alone, EachAdds);
    for (int run = 0; run < 6; ++run) {
        worker.addRun({"batch", 0, 0, run}, filling);
    }
    const double together = rule.outlook(worker, crest).slacks.front().soon;
    cr_assert_lt(together, EachAdds, "six of them leave no room for a seventh: %f of %f", together, alone);
}

Test(sharingRule, slowsTheRunThatDisturbsAndNoOther)
{
    SharingRule rule;
    RunUse service = serving(rule, "service");
    RunUse heavy = filler(rule, "heavy");
    RunUse light = filler(rule, "light");
    teach(rule, service, heavy, light);
    const std::vector<SharedRun> runs{{&service, "service", 8, 100}, {&light, "batch", 8000, 100}, {&heavy, "batch", 8000, 100}};
    const std::vector<int> beforeCrest = rule.paces(runs, Capacity, Begin + Lesson + 1s);
    cr_assert_eq(beforeCrest[1], 100);
    cr_assert_leq(beforeCrest[2], 60);
    cr_assert(rule.paces(runs, Capacity, Begin + Lesson + 6s) == (std::vector<int>{100, 100, 100}), "the trough leaves room for both");
    service.unexplained = 0.5;
    cr_assert_eq(rule.paces(runs, Capacity, Begin + Lesson + 2s)[2], 0);
    service.unexplained = 0;
    const std::vector<SharedRun> halted{{&service, "service", 5, 100}, {&light, "batch", 8000, 100}, {&heavy, "batch", 0, 0}};
    cr_assert(rule.paces(halted, Capacity, Begin + Lesson + 6s) == (std::vector<int>{100, 100, 100}), "the model expects room for it again");
    cr_assert_lt(rule.paces(halted, Capacity, Begin + Lesson + 1s)[2], 100, "but not before a crest");
}

Test(sharingRule, servingTasksOfOneImageShareWorkers)
{
    SharingRule rule;
    RunUse first = serving(rule, "first");
    RunUse second = serving(rule, "second");
    WorkerView withFirst = workerWith(first);
    WorkerView withSecond = workerWith(second);
    WorkerView empty = workerWith(first);
    empty.removeRun({"service", 0, 0, 0});
    const WorkerChoice choice({&withSecond, &empty, &withFirst}, {}, rule, Begin);
    Wire::TaskStep step;
    step.longRunning = true;
    step.milliCores = 13000;
    PlacementWish wish;
    wish.step = &step;
    wish.service = "hall";
    wish.use = &first;
    cr_assert_eq(choice.choose(wish), &withFirst);
}

namespace {

/// A dispatcher with one worker that runs a serving task and a filling task, and answers polls by hand.
class SharedWorker
{
public:
    SharedWorker()
    {
        Wire::StepJob job;
        job.steps.resize(2);
        job.steps[0].longRunning = true;
        job.steps[0].tailTargetMs = TargetMs;
        job.steps[0].image = "service";
        job.steps[0].milliCores = 1000;
        job.steps[1].fillsIdle = true;
        job.steps[1].image = "filler";
        job.steps[1].milliCores = 1000;
        job.steps[1].estimateMs = 60000;
        Testing::beginWithOneWorker(m_dispatcher, job, 8000, now);
    }

    /// Lets time pass in steps of 20 ms; polls are answered at once with the serving task's tail.
    void run(Duration time, double tailMs)
    {
        for (const TimePoint until = now + time; now < until; now += 20ms) {
            m_dispatcher.confirmRead(now);
            const WallTime wall(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
            for (const DispatchAction &action : m_dispatcher.advance(now, wall)) {
                answer(action, tailMs);
            }
        }
    }

    TimePoint now = Begin;
    int pace = 100; // of the filling task

private:
    void answer(const DispatchAction &action, double tailMs)
    {
        if (const auto *start = std::get_if<StartCommand>(&action)) {
            m_runs[start->task] = start->run;
            m_dispatcher.startAnswered(*start, CommandExecuted{}, now);
        } else if (std::holds_alternative<StoreRecords>(action)) {
            m_dispatcher.recordsStored(now);
        } else if (const auto *order = std::get_if<ThrottleCommand>(&action)) {
            pace = order->speedPercent;
            m_dispatcher.paceAnswered(*order, CommandExecuted{}, now);
        } else if (const auto *poll = std::get_if<PollCommand>(&action)) {
            WorkerReport listing;
            listing.clock = std::chrono::duration_cast<WorkerTime>(now - Begin);
            for (const auto &[task, run] : m_runs) {
                const bool isServing = task.step == 0;
                listing.runs.push_back({task, run, "", isServing ? 100 : static_cast<int>((now - Begin) / 1s), isServing ? tailMs : 10});
            }
            m_dispatcher.pollAnswered(*poll, listing, now, now);
        }
    }

    Dispatcher m_dispatcher{DispatchLimits()};
    std::map<TaskId, int> m_runs;
};

} // namespace

Test(sharing, noFillingTaskWorksBesideAServingTaskThatStaysOverItsTarget)
{
    SharedWorker world;
    world.run(5s, 6);
    cr_assert_eq(world.pace, 100);
    // The filling task uses so little that the model holds it harmless.
    world.run(2s, TargetMs + 4);
    cr_assert_eq(world.pace, 0);
}
