#include "support/capturedoutput.h"

#include <dispatch/dispatchsummary.h>
#include <dispatch/overduestep.h>
#include <dispatch/stagedelays.h>
#include <dispatch/taskkind.h>
#include <node/ownerdelays.h>
#include <node/ownerlog.h>
#include <observability/logging.h>
#include <utils/resources.h>

#include <criterion/criterion.h>

#include <algorithm>

using namespace Hyssop;
using Hyssop::Testing::CapturedOutput;
using namespace std::chrono_literals;

namespace {

constexpr int LineLimit = 400;

void expectLine(const std::string &text, const std::string &line)
{
    cr_assert(text.find(line + "\n") != std::string::npos, "%s", text.c_str());
}

void logWorkerChange(const char *message)
{
    logMessage(LogPriority::StateChange, LogLevel::Info, "owner", message, {{"worker", "w"}});
}

class OwnerLog
{
public:
    OwnerLog()
    {
        initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
        setLogLineLimit(LineLimit);
    }

    std::string text() const { return m_output.text(); }

private:
    CapturedOutput m_output;
};

} // namespace

Test(ownerLog, stepDownNamesTheWorkerAndTheTokens)
{
    const OwnerLog log;
    logStepDown(3, "a worker has seen a newer owner", StepDown{"w", 3000, 3001, "fence"});
    logStepDown(3, "a newer claim exists", {});
    expectLine(log.text(),
               "message=\"stepped down as owner\" epoch=3 reason=\"a worker has seen a newer owner\" worker=w token=3000 newest_token=3001 detail=fence");
    expectLine(log.text(), "message=\"stepped down as owner\" epoch=3 reason=\"a newer claim exists\"");
}

Test(ownerLog, resultsOfCommands)
{
    const OwnerLog log;
    const TaskId task{"j", 0, 1, 2};
    logResult(StartCommand{{"w", ""}, task, 4, "", "", "", 3001}, CommandNotSent{"refused"});
    logResult(StopCommand{{"w", ""}, task, 4, 3001, StopReason::WorkerDraining}, CommandExecuted{});
    const std::string text = log.text();
    expectLine(text, "message=\"start command result\" job_id=j task=j.0.1.2 run=4 worker=w epoch=3001 outcome=unsent detail=refused");
    expectLine(text, "message=\"stop command result\" job_id=j task=j.0.1.2 run=4 worker=w reason=\"worker draining\" outcome=done detail=\"\"");
}

Test(ownerLog, stepDownIsNotDisplacedByRunsAndWorkers)
{
    const OwnerLog log;
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logAction(RunEnded{});
        logWorkerChange("worker unreachable");
        logWorkerChange("leases of unreachable worker expired");
    }
    logStepDown(3, "a newer claim exists", {});
    logLoad(3, {});
    const std::string text = log.text();
    cr_assert(text.find("stepped down as owner") != std::string::npos);
    cr_assert(text.find("message=load epoch=3") != std::string::npos);
}

Test(ownerLog, theOutcomeOfARequestIsNotDisplacedByRoutineLines)
{
    const OwnerLog log;
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logMessage(LogLevel::Info, "owner", "run results", {{"job_id", "j"}});
    }
    const TaskId task{"j", 0, 1, 2};
    logResult(StartCommand{{"w", ""}, task, 4, "", "", "", 3001}, CommandNotSent{"refused"});
    logAction(RunEnded{task, 4, "w", RunEndReason::LeaseExpired, 0, false, RunEndEvidence::LeaseExpired, 1});
    logAction(JobEnded{"j", "completed", 700ms, true, 0ms, {}, "print"});
    const std::string text = log.text();
    cr_assert(text.find("queue=print") != std::string::npos);
    cr_assert(text.find("outcome=unsent") != std::string::npos);
    cr_assert(text.find("ending=lapsed") != std::string::npos);
    cr_assert(text.find("message=\"job ended\" job_id=j outcome=completed after_ms=700") != std::string::npos);
}

Test(ownerLog, theEndOfAJobIsNotDisplacedByOutcomesOfItsRuns)
{
    constexpr int EndedJobs = 70; // in a second
    const OwnerLog log;
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logMessage(LogLevel::Info, "owner", "run results", {{"job_id", "j"}});
        logAction(RunEnded{{"j", 0, 1, 2}, 4, "w", RunEndReason::LeaseExpired, 0, false, RunEndEvidence::LeaseExpired, 1});
    }
    for (int job = 0; job < EndedJobs; ++job) {
        logAction(JobEnded{"j" + std::to_string(job), "completed", 700ms, true, 0ms, {}, {}});
    }
    const std::string text = log.text();
    int missing = 0;
    for (int job = 0; job < EndedJobs; ++job) {
        missing += text.find("message=\"job ended\" job_id=j" + std::to_string(job) + " ") == std::string::npos ? 1 : 0;
    }
    cr_assert_eq(missing, 0, "%d of %d ends of jobs are not written", missing, EndedJobs);
}

Test(ownerLog, theEndsOfJobsDisplaceNeitherChangesOfWorkersNorOfTheOwnership)
{
    const OwnerLog log;
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logAction(JobEnded{"j", "completed", 700ms, true, 0ms, {}, {}});
    }
    logWorkerChange("leases of unreachable worker expired");
    logStepDown(3, "a newer claim exists", {});
    const std::string text = log.text();
    cr_assert(text.find("leases of unreachable worker expired") != std::string::npos);
    cr_assert(text.find("stepped down as owner") != std::string::npos);
    cr_assert_leq(std::ranges::count(text, '\n'), LineLimit);
}

Test(ownerLog, theEndOfAJobTellsWhyItWasLate)
{
    const OwnerLog log;
    JobEnded end{"j", "completed", 9552ms, true, 0ms, {}, "print"};
    end.history.firstStart = 1200ms;
    end.history.completedRuns = 19;
    end.history.failedRuns = 1;
    end.history.startsWithoutResponse = 2;
    end.history.startsWithdrawn = 20;
    end.history.lastTask = {"j", 0, 1, 2};
    end.history.lastRun = 2;
    end.history.lastWorker = "w";
    end.history.lastRunTime = 700ms;
    logAction(end);
    end.hasStarted = false;
    end.phase = "cancelled";
    end.history = {};
    logAction(end);
    end.hasStarted = true;
    end.countedFrom = 9000ms;
    logAction(end);
    const std::string text = log.text();
    expectLine(text,
               "message=\"job ended\" job_id=j outcome=completed after_ms=9552 waiting_ms=1200 running_ms=8352 last_task=j.0.1.2 last_run=2 last_worker=w "
               "last_run_ms=700 runs=20 failed=1 lapsed=0 stopped=0 starts_without_response=2 starts_not_sent=0 starts_refused=0 starts_withdrawn=20 "
               "counted_from_ms=0 queue=print");
    expectLine(text,
               "message=\"job ended\" job_id=j outcome=cancelled after_ms=9552 waiting_ms=\"not started\" running_ms=\"not started\" last_task=\"\" "
               "last_run=0 last_worker=\"\" last_run_ms=unknown runs=0 failed=0 lapsed=0 stopped=0 starts_without_response=0 starts_not_sent=0 "
               "starts_refused=0 starts_withdrawn=0 counted_from_ms=0 queue=print");
    cr_assert(text.find("waiting_ms=unknown running_ms=unknown") != std::string::npos, "an earlier owner started it");
}

Test(ownerLog, withheldStarts)
{
    const OwnerLog log;
    logAction(StartsWithheld{40ms, 2010ms});
    logAction(StartsWithheld{2510ms, std::nullopt});
    logAction(StartsResumed{700ms});
    expectLine(log.text(), "message=\"starts withheld\" jobs_read_age_ms=40 workers_read_age_ms=2010");
    expectLine(log.text(), "message=\"starts withheld\" jobs_read_age_ms=2510 workers_read_age_ms=unknown");
    expectLine(log.text(), "message=\"starts resumed\" withheld_ms=700");
}

Test(ownerLog, theEndOfARunNamesItsEvidence)
{
    const OwnerLog log;
    logAction(RunEnded{{"j", 0, 1, 2}, 4, "w", RunEndReason::LeaseExpired, 0, true, RunEndEvidence::MissingInReport, 2});
    expectLine(log.text(), "message=\"run ended\" job_id=j task=j.0.1.2 run=4 worker=w ending=lapsed failures=0 evidence=\"missing in report\" starts=2");
}

Test(ownerLog, theStartOfAServingTaskTellsHowLongItHadNoRun)
{
    const OwnerLog log;
    StartCommand command{{"w", ""}, {"j", 0, 1, 2}, 4, "", "", "", 3001};
    command.isServing = true;
    logResult(command, CommandExecuted{});
    command.withoutRun = 10080ms;
    logResult(command, CommandExecuted{});
    expectLine(log.text(), "task=j.0.1.2 run=4 worker=w epoch=3001 outcome=done detail=\"\" without_run_ms=\"first run\"");
    expectLine(log.text(), "task=j.0.1.2 run=4 worker=w epoch=3001 outcome=done detail=\"\" without_run_ms=10080");
}

Test(ownerLog, theLoadTellsWhoHoldsTheCapacityAndWhatIsFreeInOnePiece)
{
    const OwnerLog log;
    DispatchSummary load;
    load.workers = 3;
    load.registeredWorkers = 4;
    load.unreachableWorkers = 1;
    load.openRuns = 5;
    load.pendingServing = 2;
    load.milliCores = 48'000;
    load.servingMilliCores = 30'000;
    load.countedMilliCores = 6'000;
    load.freeMilliCores = 12'000;
    load.idleMilliCores = -500;
    load.workersByFreeMilliCores = {{4'000, 2}, {8'000, 0}};
    load.startWindow = 64;
    load.waitingForWindow = 17;
    load.ownerLateness = 80ms;
    load.minimumPollInterval = 600ms;
    load.placementWork = {50, 700, 90'000};
    logLoad(3, load);
    expectLine(log.text(),
               "message=load epoch=3 workers=3 registered=4 draining=0 unreachable=1 open_runs=5 unreachable_runs=0 waiting_counted=0 waiting_filling=0 "
               "waiting_serving=2 millicores=48000 serving_millicores=30000 counted_millicores=6000 free_millicores=12000 idle_millicores=-500 "
               "workers_by_free_millicores=4000:2,8000:0 start_window=64 waiting_for_window=17 owner_late_ms=80 poll_interval_ms=600 "
               "placement_passes=50 visited_jobs=700 examined_workers=90000");
}

Test(ownerLog, tasksThatWaitNameWhatEachWorkerLacks)
{
    const OwnerLog log;
    DispatchSummary load;
    WaitingTasks waiting;
    waiting.kind = TaskKind::Reserved;
    waiting.maximumMilliCores = 16'000;
    waiting.tasks = 7;
    waiting.steps = 2;
    waiting.sinceRelease = 1500ms;
    waiting.jobId = "j";
    waiting.milliCores = 12'000;
    waiting.memoryBytes = 100 * BytesPerMegabyte;
    waiting.workers = {{PlacementObstacle::Unavailable, 4}, {PlacementObstacle::ProcessorCapacity, 1096}};
    load.waiting.push_back(waiting);
    waiting.kind = TaskKind::BestEffort;
    waiting.suitableWorkers = 9;
    waiting.workers = {{PlacementObstacle::OverTarget, 1}, {PlacementObstacle::IdleProcessorTime, 2}, {PlacementObstacle::Headroom, 3}};
    load.waiting.push_back(waiting);
    waiting.kind = TaskKind::Serving;
    waiting.workers = {{PlacementObstacle::Quarantine, 1},
                       {PlacementObstacle::WorkerPool, 2},
                       {PlacementObstacle::Memory, 3},
                       {PlacementObstacle::Accelerators, 4},
                       {PlacementObstacle::RackOrLabel, 5},
                       {PlacementObstacle::TasksPerWorker, 6},
                       {PlacementObstacle::Advice, 7}};
    load.waiting.push_back(waiting);
    logLoad(3, load);
    const std::string text = log.text();
    expectLine(text,
               "message=\"tasks waiting\" kind=reserved up_to_millicores=16000 tasks=7 steps=2 job_id=j since_release_ms=1500 millicores=12000 memory_mb=100 "
               "suitable_workers=0 obstacles=unavailable:4,processor_capacity:1096");
    cr_assert(text.find("kind=best_effort") != std::string::npos);
    expectLine(text, "memory_mb=100 suitable_workers=9 obstacles=over_target:1,idle_time:2,headroom:3");
    expectLine(text, "obstacles=quarantine:1,pool:2,memory:3,accelerators:4,rack_or_label:5,tasks_per_worker:6,advice:7");
}

// Guards against an on-call engineer who has to derive from summaries why one step waits beside free room.
Test(ownerLog, aStepThatWaitsBesideFreeRoomNamesItsObstaclesAndTheInputs)
{
    const OwnerLog log;
    OverdueStep overdue;
    overdue.step = {"j", 0, 1, 0};
    overdue.waiting.kind = TaskKind::BestEffort;
    overdue.waiting.tasks = 18;
    overdue.waiting.sinceRelease = 101'500ms;
    overdue.waiting.milliCores = 8250;
    overdue.waiting.memoryBytes = 8640 * BytesPerMegabyte;
    overdue.waiting.suitableWorkers = 0;
    overdue.waiting.workers = {{PlacementObstacle::OverTarget, 1}, {PlacementObstacle::IdleProcessorTime, 4}, {PlacementObstacle::Headroom, 43}};
    overdue.assignedTasks = 1;
    overdue.waitingTime = 100'900ms;
    overdue.besideRoom = 15'000ms;
    overdue.places = 140;
    overdue.milliCores = 3'456'000;
    overdue.freeMilliCores = 2'000'000;
    overdue.unusedMilliCores = 1'800'000;
    overdue.idleMilliCores = 1'500'000;
    overdue.jobsReadAge = 20ms;
    overdue.oldestReportAge = 240ms;
    overdue.unreportedSteps = 27;
    logAction(overdue);
    overdue.workersReadAge = 40ms;
    logAction(overdue);
    const std::string text = log.text();
    expectLine(text,
               "message=\"task waits although room is free\" job_id=j step=0.1 task=j.0.1.0 kind=best_effort waiting_ms=100900 beside_room_ms=15000 "
               "since_release_ms=101500 tasks=18 assigned_tasks=1 millicores=8250 memory_mb=8640 places=140 suitable_workers=0 "
               "obstacles=over_target:1,idle_time:4,headroom:43 pool_millicores=3456000 free_millicores=2000000 unused_millicores=1800000 "
               "idle_millicores=1500000 jobs_read_age_ms=20 workers_read_age_ms=unknown oldest_report_age_ms=240 unreported_steps=27");
    cr_assert(text.find("workers_read_age_ms=40 ") != std::string::npos);
    cr_assert(text.find("level=warning") != std::string::npos || text.find("level=WARN") != std::string::npos, "%s", text.c_str());
}

// Guards against reports on waiting steps that a burst of other lines displaces.
Test(ownerLog, stepsThatWaitBesideFreeRoomAreNotDisplacedByOtherLines)
{
    const OwnerLog log;
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logMessage(LogLevel::Info, "owner", "run results", {{"job_id", "j"}});
        logAction(RunEnded{});
        logAction(JobEnded{"j", "completed", 700ms, true, 0ms, {}, {}});
        logWorkerChange("worker unreachable");
    }
    logAction(OverdueStep{});
    cr_assert(log.text().find("task waits although room is free") != std::string::npos);
}

// Guards against plays in which nobody sees that urgent tasks wait as long as the others, or in which stage.
Test(ownerLog, stageDelaysTellHowLongEachKindOfTaskWaits)
{
    const OwnerLog log;
    StageDelays delays;
    delays.reads.add(20ms);
    delays.placements.add(5ms);
    delays.placements.add(15ms);
    delays.intents.add(40ms);
    delays.responses.add(50ms);
    delays.ends.add(60ms);
    logStageDelays(3, TaskKind::Reserved, delays);
    expectLine(log.text(),
               "message=\"stage delays\" epoch=3 kind=reserved job_reads=1 job_reads_mean_ms=20 job_reads_longest_ms=20 placements=2 placements_mean_ms=10 "
               "placements_longest_ms=15 intents=1 intents_mean_ms=40 intents_longest_ms=40 start_responses=1 start_responses_mean_ms=50 "
               "start_responses_longest_ms=50 run_ends=1 run_ends_mean_ms=60 run_ends_longest_ms=60");
}

// Guards against plays in which an owner without processor time, a slow store and slow workers look alike.
Test(ownerLog, delaysTellInWhichStageWorkWaits)
{
    const OwnerLog log;
    constexpr TimePoint Begin{1000s};
    OwnerDelays delays;
    delays.beginInterval(Begin);
    delays.ticks.add(10ms);
    delays.ticks.add(30ms);
    delays.tickTimes.add(5ms);
    delays.reads.add(-3ms); // the clock of the accepting instance may be ahead
    delays.batches.add(90ms);
    delays.openStarts = 7;
    delays.backgroundTurns.add(40ms);
    logDelays(3, delays, Begin + 2s);
    const std::string text = log.text();
    cr_assert(text.find("message=delays epoch=3 interval_ms=2000 processor_ms=") != std::string::npos, "%s", text.c_str());
    expectLine(text,
               "tick_delays=2 tick_delays_mean_ms=20 tick_delays_longest_ms=30 tick_times=1 tick_times_mean_ms=5 tick_times_longest_ms=5 job_reads=1 "
               "job_reads_mean_ms=0 job_reads_longest_ms=0 batches=1 batches_mean_ms=90 batches_longest_ms=90 start_responses=0 start_responses_mean_ms=0 "
               "start_responses_longest_ms=0 poll_responses=0 poll_responses_mean_ms=0 poll_responses_longest_ms=0 open_starts=7 open_polls=0 "
               "background_turns=1 background_turns_mean_ms=40 background_turns_longest_ms=40");
    delays.beginInterval(Begin + 2s);
    cr_assert_eq(delays.ticks.count, 0U);
    cr_assert_eq(delays.openStarts, 7); // its response is counted in a later interval
}
