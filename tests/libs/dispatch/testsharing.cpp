#include <dispatch/dispatcher.h>
#include <dispatch/sharingrule.h>
#include <dispatch/tailmodel.h>
#include <dispatch/workerchoice.h>
#include <dispatch/workerview.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr double BaseMs = 4;
constexpr std::int64_t TargetMs = 18;

/// Tail of a server with the swinging own load and what its neighbours add.
double tailOf(double own, double added)
{
    return std::floor(BaseMs / (1 - std::min(own + added, 0.99)));
}

double swing(int sample)
{
    return 0.42 * (1 + 0.5 * std::sin(sample * 0.4));
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

/// Shows the rule a serving image beside a disturbing and a harmless one, now and then, as listings do.
void teach(SharingRule &rule, RunUse &service, RunUse &heavy, RunUse &light)
{
    std::mt19937 random(7);
    for (int sample = 0; sample < 400; ++sample) {
        const bool hasHeavy = random() % 3 == 0;
        const bool hasLight = random() % 2 == 0;
        std::vector<SharedRun> runs{{&service, tailOf(swing(sample), hasHeavy ? 0.35 : 0), 100}};
        if (hasHeavy) {
            runs.push_back({&heavy, 8000, 100});
        }
        if (hasLight) {
            runs.push_back({&light, 8000, 100});
        }
        rule.observe(runs, {});
    }
}

WorkerView workerWith(const RunUse &use)
{
    WorkerView worker;
    worker.info.id = "w";
    worker.info.service = "hall";
    worker.info.capacity.milliCores = 64000;
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
        model.observe(tailOf(swing(sample), added), beside);
    }
    // The lowest reported tail is 5 ms, so the model counts (1 - u) in units that are 5 / 4 as large.
    cr_assert_float_eq(model.added({1, 1}), 0.3 * 5 / 4, 0.1);
    cr_assert_lt(model.added({2, 1}), 0.06);
    cr_assert_float_eq(model.ownUtilization(), 1 - 0.58 * 5 / 4, 0.1);
}

Test(tailModel, whatWasLearnedSurvivesATakeover)
{
    TailModel model;
    for (int sample = 0; sample < 100; ++sample) {
        model.observe(tailOf(swing(sample), sample % 2 * 0.3), {{1, static_cast<double>(sample % 2)}});
    }
    TailModel restored;
    restored.restore(model.baseMs(), model.ownUtilization(), model.neighbours());
    cr_assert_float_eq(restored.added({1, 1}), model.added({1, 1}), 1e-9);
    cr_assert_float_eq(restored.allowedUtilization(TargetMs), model.allowedUtilization(TargetMs), 1e-9);
}

Test(sharingRule, placesNoDisturbingImageBesideAServingTask)
{
    SharingRule rule;
    RunUse service = serving(rule, "service");
    RunUse heavy = filler(rule, "heavy");
    RunUse light = filler(rule, "light");
    teach(rule, service, heavy, light);
    service.tailMs = 8;
    WorkerView worker = workerWith(service);
    const WorkerChoice choice({&worker}, {}, rule, Begin);
    Wire::TaskStep step;
    step.fillsIdle = true;
    step.milliCores = 8000;
    PlacementWish wish;
    wish.step = &step;
    wish.service = "hall";
    wish.use = &heavy;
    cr_assert_null(choice.choose(wish));
    wish.use = &light;
    cr_assert_eq(choice.choose(wish), &worker);
}

Test(sharingRule, slowsTheRunThatDisturbsAndNoOther)
{
    SharingRule rule;
    RunUse service = serving(rule, "service");
    RunUse heavy = filler(rule, "heavy");
    RunUse light = filler(rule, "light");
    teach(rule, service, heavy, light);
    const std::vector<SharedRun> over{{&service, 17, 100}, {&light, 8000, 100}, {&heavy, 8000, 100}};
    cr_assert(rule.paces(over) == (std::vector<int>{100, 100, 40}));
    const std::vector<SharedRun> farOver{{&service, 40, 100}, {&light, 8000, 100}, {&heavy, 8000, 100}};
    cr_assert(rule.paces(farOver) == (std::vector<int>{100, 100, 0}));
    const std::vector<SharedRun> calm{{&service, 5, 100}, {&light, 8000, 100}, {&heavy, 0, 0}};
    cr_assert(rule.paces(calm) == (std::vector<int>{100, 100, 100}), "the model expects room for it again");
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
        QueueInfo queue;
        queue.name = "batch";
        queue.service = "hall";
        ClusterConfig config;
        config.queues["batch"] = queue;
        m_dispatcher.applyConfiguration(config, {});
        Wire::StepJob job;
        job.queue = "batch";
        job.steps.resize(2);
        job.steps[0].longRunning = true;
        job.steps[0].tailTargetMs = TargetMs;
        job.steps[0].image = "service";
        job.steps[0].milliCores = 1000;
        job.steps[1].fillsIdle = true;
        job.steps[1].image = "filler";
        job.steps[1].milliCores = 1000;
        job.steps[1].estimateMs = 60000;
        JobTable table;
        table.apply({0, submissionKey("j"), encode(job)});
        m_dispatcher.begin(1, table, now);
        WorkerInfo worker;
        worker.id = "w";
        worker.service = "hall";
        worker.address = "127.0.0.1:1";
        worker.capacity.milliCores = 8000;
        m_dispatcher.updateWorker(worker);
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
        if (const auto *start = std::get_if<StartOrder>(&action)) {
            m_runs[start->task] = start->run;
            m_dispatcher.startAnswered(*start, OrderDone{}, now);
        } else if (std::holds_alternative<StoreRecords>(action)) {
            m_dispatcher.recordsStored(now);
        } else if (const auto *order = std::get_if<PaceOrder>(&action)) {
            pace = order->percent;
            m_dispatcher.paceAnswered(*order, OrderDone{}, now);
        } else if (const auto *poll = std::get_if<PollOrder>(&action)) {
            WorkerListing listing;
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
