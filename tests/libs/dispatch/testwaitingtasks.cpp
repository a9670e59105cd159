#include "hyssop_types.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <dispatch/dispatchsummary.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr std::int64_t WorkerMilliCores = 16'000;
constexpr std::int64_t TailTargetMs = 18;

/// A dispatcher whose workers execute all commands; their tasks run until the test ends them.
class Fleet
{
public:
    explicit Fleet(int workers)
    {
        ClusterConfig config;
        QueueInfo &queue = config.queues["batch"];
        queue.name = "batch";
        queue.workerPool = "hall";
        queue.maximumFailures = 100;
        dispatcher.applyConfiguration(config, {});
        dispatcher.beginTerm(1, m_table, {now, now}, true);
        for (int number = 0; number < workers; ++number) {
            WorkerInfo worker;
            worker.id = "w" + std::to_string(number);
            worker.workerPool = "hall";
            worker.address = "127.0.0.1:1";
            worker.capacity.milliCores = WorkerMilliCores;
            worker.capacity.memoryBytes = 64'000 * BytesPerMegabyte;
            dispatcher.updateWorker(worker);
        }
        run(100ms);
    }

    void submit(const std::string &id, Wire::TaskStep step)
    {
        Wire::StepJob job;
        job.queue = "batch";
        job.acceptedAtMs = sinceEpoch(wall()).count();
        step.estimateMs = step.longRunning ? 0 : 600'000;
        job.steps = {step};
        m_table.apply({++m_offset, submissionKey(id), encode(job)});
        dispatcher.jobChanged(id, m_table.find(id), now, wall());
    }

    void run(Duration time)
    {
        const TimePoint until = now + time;
        while (now < until) {
            now += 20ms;
            dispatcher.confirmRead(now);
            dispatcher.confirmWorkersRead(now);
            for (const DispatchAction &action : dispatcher.advance(now, wall())) {
                respond(action);
            }
        }
    }

    DispatchSummary summary() { return dispatcher.summary(now); }

    Dispatcher dispatcher{DispatchLimits()};
    TimePoint now = Begin;
    double tailMs = 4; // that serving tasks report
    bool failsTasks = false;

private:
    struct Worker
    {
        std::vector<ReportedRun> runs;
        std::vector<ReportedRunEnd> ends;
    };

    WallTime wall() const { return WallTime(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch())); }

    void respond(const DispatchAction &action)
    {
        if (const auto *start = std::get_if<StartCommand>(&action)) {
            dispatcher.startAnswered(*start, CommandExecuted{clock()}, now);
            Worker &worker = m_workers[start->worker.id];
            if (failsTasks) {
                const auto sequence = static_cast<std::int64_t>(worker.ends.size()) + 1;
                worker.ends.push_back({sequence, start->task, start->run, RunEndReason::Failed, ""});
            } else {
                worker.runs.push_back({start->task, start->run, "", 100, start->isServing ? tailMs : 1000});
            }
        } else if (const auto *poll = std::get_if<PollCommand>(&action)) {
            const Worker &worker = m_workers[poll->worker.id];
            WorkerReport report;
            report.clock = clock();
            report.runs = worker.runs;
            for (ReportedRun &reported : report.runs) {
                reported.load = reported.task.job == "serving" ? tailMs : reported.load;
            }
            report.ends = worker.ends;
            dispatcher.pollAnswered(*poll, report, now, now);
        } else if (std::holds_alternative<AppendRecords>(action)) {
            dispatcher.recordsStored(now);
        }
    }

    WorkerTime clock() const { return std::chrono::duration_cast<WorkerTime>(now - Begin + 5s); }

    JobTable m_table;
    std::int64_t m_offset = 0;
    std::map<std::string, Worker> m_workers;
};

Wire::TaskStep step(int tasks, std::int64_t milliCores)
{
    Wire::TaskStep result;
    result.taskCount = tasks;
    result.milliCores = milliCores;
    result.memoryMb = 100;
    return result;
}

Wire::TaskStep servingStep(int tasks, std::int64_t milliCores)
{
    Wire::TaskStep result = step(tasks, milliCores);
    result.longRunning = true;
    result.tailTargetMs = TailTargetMs;
    result.image = "service";
    return result;
}

Wire::TaskStep bestEffortStep(int tasks, std::int64_t milliCores)
{
    Wire::TaskStep result = step(tasks, milliCores);
    result.fillsIdle = true;
    result.image = "filler";
    return result;
}

const WaitingTasks &onlyGroup(const DispatchSummary &summary)
{
    cr_assert_eq(summary.waiting.size(), 1, "%zu groups", summary.waiting.size());
    return summary.waiting.front();
}

void expectObstacle(const WaitingTasks &waiting, PlacementObstacle obstacle, std::size_t workers)
{
    cr_assert_eq(waiting.suitableWorkers, 0, "%zu suitable workers", waiting.suitableWorkers);
    cr_assert_eq(waiting.workers.size(), 1, "%zu kinds of obstacles", waiting.workers.size());
    cr_assert(waiting.workers.begin()->first == obstacle, "obstacle %d", static_cast<int>(waiting.workers.begin()->first));
    cr_assert_eq(waiting.workers.begin()->second, workers);
}

} // namespace

// Guards against a report that names no cause while the sum of free capacity is sufficient and no worker has enough of it.
Test(waitingTasks, aLargeTaskThatFindsOnlyPiecesWaitsForCores)
{
    Fleet fleet(4);
    fleet.submit("small", step(4, 10'000));
    fleet.run(500ms);
    cr_assert_eq(fleet.summary().openRuns, 4);
    fleet.submit("large", step(2, 12'000));
    fleet.run(1s);
    const DispatchSummary summary = fleet.summary();
    cr_assert_geq(summary.freeMilliCores, 24'000);
    const WaitingTasks &waiting = onlyGroup(summary);
    expectObstacle(waiting, PlacementObstacle::ProcessorCapacity, 4);
    cr_assert(waiting.kind == TaskKind::Reserved);
    cr_assert_eq(waiting.tasks, 2);
    cr_assert_eq(waiting.steps, 1);
    cr_assert_eq(waiting.maximumMilliCores, 16'000);
    cr_assert_eq(waiting.milliCores, 12'000);
    cr_assert_eq(waiting.jobId, "large");
    cr_assert(waiting.sinceRelease >= 980ms && waiting.sinceRelease <= 1020ms);
    cr_assert_eq(summary.workersByFreeMilliCores.at(4'000), 4);
    cr_assert_eq(summary.workersByFreeMilliCores.at(8'000), 0);
    cr_assert_eq(summary.workersByFreeMilliCores.at(32'000), 0);
}

// Guards against groups that mix sizes: a small task that is placed soon must not hide a large one that never is.
Test(waitingTasks, tasksAreGroupedBySizeAndTheLongestWaitIsNamed)
{
    Fleet fleet(1);
    fleet.submit("all", step(1, WorkerMilliCores));
    fleet.run(500ms);
    fleet.submit("first", step(3, 7'000));
    fleet.run(200ms);
    fleet.submit("second", step(2, 8'000));
    fleet.submit("small", step(1, 4'000));
    fleet.submit("huge", step(1, 33'000));
    fleet.run(200ms);
    const DispatchSummary summary = fleet.summary();
    cr_assert_eq(summary.pendingReserved, 7);
    cr_assert_eq(summary.waiting.size(), 3);
    const auto group = [&](std::int64_t bound) { return *std::ranges::find(summary.waiting, bound, &WaitingTasks::maximumMilliCores); };
    cr_assert_eq(group(4'000).tasks, 1);
    cr_assert_eq(group(8'000).tasks, 5);
    cr_assert_eq(group(8'000).steps, 2);
    cr_assert_eq(group(8'000).jobId, "first");
    cr_assert_eq(group(8'000).milliCores, 7'000);
    cr_assert_eq(group(0).jobId, "huge", "sizes above the last bound have none");
}

Test(waitingTasks, aTaskThatNeedsMoreMemoryThanIsFreeWaitsForMemory)
{
    Fleet fleet(2);
    Wire::TaskStep large = step(1, 1'000);
    large.memoryMb = 70'000;
    fleet.submit("large", large);
    fleet.run(200ms);
    const DispatchSummary summary = fleet.summary();
    expectObstacle(onlyGroup(summary), PlacementObstacle::Memory, 2);
    cr_assert_eq(onlyGroup(summary).memoryBytes, 70'000 * BytesPerMegabyte);
}

Test(waitingTasks, aBestEffortTaskBesideAServingTaskOverItsTargetNamesThatTarget)
{
    Fleet fleet(1);
    fleet.tailMs = 3.0 * TailTargetMs;
    fleet.submit("serving", servingStep(1, 8'000));
    fleet.run(2s);
    fleet.submit("filling", bestEffortStep(2, 2'000));
    fleet.run(500ms);
    const DispatchSummary summary = fleet.summary();
    cr_assert_eq(summary.pendingBestEffort, 2);
    expectObstacle(onlyGroup(summary), PlacementObstacle::OverTarget, 1);
    cr_assert(onlyGroup(summary).kind == TaskKind::BestEffort);
}

Test(waitingTasks, aBestEffortTaskWithoutHeadroomNamesTheHeadroom)
{
    Fleet fleet(1);
    fleet.tailMs = TailTargetMs - 0.5;
    fleet.submit("serving", servingStep(1, 8'000));
    fleet.run(2s);
    fleet.submit("filling", bestEffortStep(1, 2'000));
    fleet.run(500ms);
    expectObstacle(onlyGroup(fleet.summary()), PlacementObstacle::Headroom, 1);
}

Test(waitingTasks, aServingTaskWithoutRoomIsReportedAsServing)
{
    Fleet fleet(2);
    fleet.submit("all", step(2, WorkerMilliCores));
    fleet.run(500ms);
    fleet.submit("serving", servingStep(3, 8'000));
    fleet.run(500ms);
    const DispatchSummary summary = fleet.summary();
    cr_assert_eq(summary.pendingServing, 3);
    cr_assert(onlyGroup(summary).kind == TaskKind::Serving);
    expectObstacle(onlyGroup(summary), PlacementObstacle::ProcessorCapacity, 2);
}

Test(waitingTasks, aQuarantinedWorkerIsNotCountedAsSuitable)
{
    Fleet fleet(1);
    fleet.failsTasks = true;
    for (int job = 0; job < 6; ++job) {
        fleet.submit("failing" + std::to_string(job), step(2, 1'000));
    }
    fleet.run(1500ms);
    const DispatchSummary summary = fleet.summary();
    cr_assert_gt(summary.pendingReserved, 0);
    expectObstacle(onlyGroup(summary), PlacementObstacle::Quarantine, 1);
}

Test(waitingTasks, anUnregisteredWorkerIsNotAvailable)
{
    Fleet fleet(2);
    fleet.submit("all", step(2, WorkerMilliCores));
    fleet.run(500ms);
    fleet.dispatcher.removeWorker("w0");
    fleet.submit("next", step(1, 1'000));
    fleet.run(200ms);
    const DispatchSummary summary = fleet.summary();
    const WaitingTasks &waiting = onlyGroup(summary);
    cr_assert_eq(waiting.suitableWorkers, 0);
    cr_assert_eq(waiting.workers.at(PlacementObstacle::Unavailable), 1);
    cr_assert_eq(waiting.workers.at(PlacementObstacle::ProcessorCapacity), 1);
}

// Guards against load lines that do not tell whether serving tasks or others hold the capacity.
Test(waitingTasks, theSummaryTellsWhatServingTasksAndOthersHaveReserved)
{
    Fleet fleet(2);
    fleet.submit("serving", servingStep(2, 5'000));
    fleet.submit("counted", step(3, 1'000));
    fleet.submit("filling", bestEffortStep(1, 2'000));
    fleet.run(1s);
    const DispatchSummary summary = fleet.summary();
    cr_assert_eq(summary.servingMilliCores, 10'000);
    cr_assert_eq(summary.countedMilliCores, 3'000);
    cr_assert_eq(summary.milliCores - summary.freeMilliCores, 13'000);
}
