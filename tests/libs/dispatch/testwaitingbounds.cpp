#include "colocatedfleet.h"
#include "dispatchsimulation.h"
#include "eventharness.h"
#include "scriptedfleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

// The platform permits that nothing of a job runs for this long while less than half of a pool is in use.
constexpr auto MaximumWait = 3000ms;
// The platform permits the same for a serving task from 6 s after its last run on.
constexpr auto MaximumServingWait = 6000ms + MaximumWait;
constexpr std::int64_t WorkerMilliCores = 64'000;

long milliseconds(Duration time)
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

Wire::TaskStep servingStep(std::int64_t milliCores)
{
    Wire::TaskStep step;
    step.longRunning = true;
    step.image = "service";
    step.tailTargetMs = 18;
    step.milliCores = milliCores;
    step.taskCount = 1;
    return step;
}

Wire::TaskStep shortStep(std::int64_t milliCores, std::chrono::milliseconds estimate)
{
    Wire::TaskStep step;
    step.milliCores = milliCores;
    step.taskCount = 1;
    step.estimateMs = estimate.count();
    return step;
}

} // namespace

// Guards against hopeless jobs that quarantine all sound workers, so that no other job starts on an idle pool.
Test(waitingBounds, hopelessJobsDoNotKeepOthersFromSoundWorkers)
{
    constexpr std::size_t Workers = 48;
    constexpr int SoundJobs = 160;
    constexpr int TasksPerJob = 6;
    DispatchSimulation simulation(1, Workers);
    std::map<std::string, TimePoint> startedAt; // by job
    simulation.plan = [&](const TaskId &task) {
        startedAt.emplace(task.job, simulation.now);
        const bool isHopeless = task.job.starts_with("hopeless");
        return SimulatedWorker::Run{0, TimePoint(isHopeless ? 300ms : 1000ms), isHopeless ? RunEndReason::Failed : RunEndReason::Completed, 0};
    };
    simulation.claim();
    simulation.run(1s);
    std::map<std::string, TimePoint> submittedAt; // of the sound jobs
    for (int job = 0; job < SoundJobs; ++job) {
        const std::string id = "sound" + std::to_string(job);
        submittedAt[id] = simulation.now;
        simulation.submit(id, 1, TasksPerJob);
        if (job % 2 == 0) {
            simulation.submit("hopeless" + std::to_string(job), 1, TasksPerJob);
        }
        simulation.run(120ms);
    }
    simulation.run(10s);
    Duration longestWait{0};
    int lateJobs = 0;
    for (const auto &[id, time] : submittedAt) {
        const auto started = startedAt.find(id);
        const Duration waited = (started != startedAt.end() ? started->second : simulation.now) - time;
        longestWait = std::max(longestWait, waited);
        lateJobs += waited > MaximumWait ? 1 : 0;
    }
    cr_expect_eq(lateJobs, 0, "%d of %d jobs are late, one has waited for %ld ms", lateJobs, SoundJobs, milliseconds(longestWait));
}

// Guards against serving tasks that fail all their runs and take each trial of a worker after its quarantine, so that other jobs wait for good.
Test(waitingBounds, failingServingTasksDoNotKeepOthersFromSoundWorkers)
{
    constexpr std::size_t Workers = 48;
    DispatchSimulation simulation(1, Workers);
    std::map<std::string, TimePoint> startedAt; // by job
    simulation.plan = [&](const TaskId &task) {
        startedAt.emplace(task.job, simulation.now);
        const bool isServing = task.job.starts_with("serving");
        return SimulatedWorker::Run{0, TimePoint(isServing ? 100ms : 500ms), isServing ? RunEndReason::Failed : RunEndReason::Completed, 0};
    };
    simulation.claim();
    simulation.run(1s);
    for (const char *id : {"serving1", "serving2"}) {
        simulation.submit(id, 1, 6, [](Wire::TaskStep &step) { step.longRunning = true; });
    }
    simulation.run(10s);
    simulation.submit("sound", 1, 1);
    const TimePoint submittedAt = simulation.now;
    simulation.run(60s);
    const auto started = startedAt.find("sound");
    const Duration waited = (started != startedAt.end() ? started->second : simulation.now) - submittedAt;
    cr_expect_leq(waited, MaximumWait, "it has waited for %ld ms", milliseconds(waited));
}

// Guards against a serving task that is started on a worker that fails everything again and again, while another worker is idle.
Test(waitingBounds, servingTasksLeaveWorkersThatFailThem)
{
    for (const std::size_t failing : {0U, 1U}) {
        DispatchSimulation simulation(1, 2);
        simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 1}; };
        simulation.worker(failing).plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(50ms), RunEndReason::Failed, 1}; };
        simulation.claim();
        simulation.run(1s);
        simulation.submit("serving", 1, 1, [](Wire::TaskStep &step) { step.longRunning = true; });
        simulation.run(MaximumServingWait);
        cr_expect_eq(simulation.worker(1 - failing).runCount(), 1, "w%zu fails, %zu starts", failing, simulation.starts.size());
    }
}

// Guards against a task that is offered in turn to workers that reject all starts, because the first of them counts as sound again before the
// last has rejected it.
Test(waitingBounds, tasksReachASoundWorkerAlthoughManyRejectStarts)
{
    constexpr int Half = 24; // of the workers
    for (const int firstRejecting : {0, Half}) {
        for (const bool fillsIdle : {false, true}) {
            ColocatedFleet fleet(2 * Half, WorkerMilliCores);
            fleet.advance(1s);
            for (int number = 0; number < Half; ++number) {
                fleet.rejectStarts(firstRejecting + number);
            }
            if (fillsIdle) {
                fleet.submitBestEffort("task", 1, 8000, "batch", 0, 2500ms);
            } else {
                fleet.submitCounted("task", 1, 8000, 2500ms, false);
            }
            fleet.advance(30s);
            const Duration waited = fleet.waitingTime("task");
            cr_expect_leq(waited, MaximumWait, "from %d, %d: it has waited for %ld ms", firstRejecting, fillsIdle ? 1 : 0, milliseconds(waited));
        }
    }
}

// Guards against a serving task that waits for the reserve of short tasks for as long as the clock of the accepting instance is ahead.
Test(waitingBounds, theReserveDelaysServingTasksBrieflyWhateverTheTimeOfDay)
{
    for (const Duration clockLead : {0s, 5s, 60s}) {
        ScriptedFleet fleet(1);
        fleet.advance(1s);
        fleet.submit("serving", servingStep(ScriptedFleet::WorkerMilliCores - 1000), clockLead);
        const Duration waited = fleet.advanceUntil([&] { return fleet.runOf("serving") != nullptr; }, 100s);
        cr_expect_leq(waited, MaximumWait, "clock ahead by %ld ms: it has waited for %ld ms", milliseconds(clockLead), milliseconds(waited));
    }
}

// Guards against best-effort jobs that wait until others end, because all processor time is taken by best-effort tasks, although hardly any
// capacity is reserved.
Test(waitingBounds, bestEffortJobsStartBesideOtherBestEffortTasks)
{
    ColocatedFleet fleet(4, WorkerMilliCores);
    fleet.advance(1s);
    fleet.submitBestEffort("long", 40, 8000, "long", 0, 60s);
    fleet.advance(2s);
    fleet.submitBestEffort("next", 1, 8000, "next", 0, 2500ms);
    fleet.advance(80s);
    cr_expect_leq(fleet.waitingTime("next"), MaximumWait, "it has waited for %ld ms", milliseconds(fleet.waitingTime("next")));
}

// Guards against best-effort jobs that wait for the end of a peak of all serving tasks, although less than half of the pool is reserved.
Test(waitingBounds, bestEffortJobsStartDuringAPeakOfAllServingTasks)
{
    constexpr int Workers = 4;
    ColocatedFleet fleet(Workers, WorkerMilliCores);
    fleet.submitServing("service", Workers, 13'000, 0s);
    fleet.advance(10s);
    fleet.submitBestEffort("first", 2, 32'000, "heavy", 2.5, 2500ms);
    fleet.advance(56'500ms); // 3.5 s before a peak
    fleet.submitBestEffort("second", 1, 32'000, "heavy", 2.5, 2500ms);
    fleet.advance(30s);
    cr_expect_leq(fleet.waitingTime("second"), MaximumWait, "it has waited for %ld ms", milliseconds(fleet.waitingTime("second")));
    cr_expect_leq(fleet.longestTimeOverTarget(), 4s, "%ld ms over the target", milliseconds(fleet.longestTimeOverTarget()));
}

// Guards against a resumed run that is stopped, and its worker that is quarantined, because the pause counts as a stall.
Test(waitingBounds, aPauseIsNotAStall)
{
    EventHarness harness;
    harness.startAllTasks();
    const StartCommand start = harness.all<StartCommand>().at(0);
    harness.advance(1s);
    harness.dispatcher.throttleAnswered({start.worker, start.task, start.run, 0, start.fencingToken}, CommandExecuted{harness.clock()}, harness.now);
    harness.makesProgress = false;
    harness.advance(65s); // more than the stall timeout of this task
    harness.dispatcher.throttleAnswered({start.worker, start.task, start.run, 100, start.fencingToken}, CommandExecuted{harness.clock()}, harness.now);
    harness.advance(100ms); // until the new speed has an effect
    harness.makesProgress = true;
    harness.advance(1s);
    cr_expect(harness.all<StopCommand>().empty(), "the run was stopped");
    cr_expect(harness.all<WorkerQuarantined>().empty(), "the worker was quarantined");
}

// Guards against runs that a previous owner has paused and that stay paused, because the next owner assumes full speed.
Test(waitingBounds, runsThatAPreviousOwnerHasPausedAreResumed)
{
    ScriptedFleet fleet(1);
    fleet.advance(1s);
    Wire::TaskStep step = shortStep(8000, 30s);
    step.fillsIdle = true;
    step.image = "batch";
    fleet.submit("batch", step);
    fleet.advance(2s);
    cr_assert(fleet.runOf("batch") != nullptr);
    fleet.pauseRun("batch");
    fleet.takeOver();
    fleet.advance(MaximumWait);
    cr_assert(fleet.runOf("batch") != nullptr);
    cr_expect_gt(fleet.runOf("batch")->speedPercent, 0);
    fleet.advance(5s);
    cr_expect(std::ranges::none_of(fleet.stops, [](const StopCommand &stop) { return stop.reason == StopReason::Stalled; }), "the run was stopped");
}

// Guards against a task that stays assigned to a worker that answers polls and leaves starts and stops unanswered.
Test(waitingBounds, tasksLeaveAWorkerThatAnswersNoOrders)
{
    for (const std::size_t mute : {0U, 1U}) {
        ScriptedFleet fleet(2);
        fleet.worker(mute).ignoresOrders = true;
        fleet.advance(1s);
        fleet.submit("serving", servingStep(13'000));
        const Duration waited = fleet.advanceUntil([&] { return fleet.runOf("serving") != nullptr; }, 60s);
        cr_expect_leq(waited, MaximumServingWait, "w%zu is mute: it has waited for %ld ms", mute, milliseconds(waited));
    }
}

// Guards against accepted jobs that are forgotten when their queue is removed.
Test(waitingBounds, acceptedJobsOfARemovedQueueRun)
{
    ScriptedFleet fleet(2);
    fleet.advance(1s);
    fleet.removeQueue();
    fleet.submit("job", shortStep(1000, 1s));
    const Duration waited = fleet.advanceUntil([&] { return fleet.runOf("job") != nullptr; }, 30s);
    cr_expect_leq(waited, MaximumWait, "it has waited for %ld ms", milliseconds(waited));
}
