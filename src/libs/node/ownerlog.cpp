#include "ownerlog.h"

#include "logfields.h"
#include "ownerdelays.h"

#include <dispatch/dispatchsummary.h>
#include <dispatch/stagedelays.h>
#include <observability/logging.h>
#include <utils/overloaded.h>
#include <utils/resources.h>

#include <vector>

namespace Hyssop {

const char *resultName(const CommandResult &result)
{
    return std::visit(Overloaded{
                          [](const CommandExecuted &) { return "done"; },
                          [](const CommandRejected &) { return "refused"; },
                          [](const CommandNotSent &) { return "unsent"; },
                          [](const CommandUndetermined &) { return "unknown"; },
                      },
                      result);
}

static std::string resultDetail(const CommandResult &result)
{
    return std::visit(Overloaded{
                          [](const CommandExecuted &) { return std::string(); },
                          [](const CommandRejected &rejected) { return rejected.detail; },
                          [](const auto &failed) { return failed.reason; },
                      },
                      result);
}

const char *stopReasonName(StopReason reason)
{
    switch (reason) {
    case StopReason::JobEnded:
        return "job ended";
    case StopReason::WorkerDraining:
        return "worker draining";
    case StopReason::WorkerRestarted:
        return "worker restarted";
    case StopReason::Stalled:
        return "no progress";
    case StopReason::PausedTooLong:
        return "paused too long";
    case StopReason::StartUndetermined:
        return "start undetermined";
    case StopReason::StartAbandoned:
        return "start abandoned";
    case StopReason::Orphaned:
        return "not expected on the worker";
    }
    return "unknown";
}

const char *endReasonName(RunEndReason endReason)
{
    switch (endReason) {
    case RunEndReason::Completed:
        return "done";
    case RunEndReason::Failed:
        return "failed";
    case RunEndReason::Stopped:
        return "stopped";
    case RunEndReason::LeaseExpired:
        return "lapsed";
    case RunEndReason::PeerEnded:
        return "peer ended";
    case RunEndReason::GangIncomplete:
        return "peers missing";
    }
    return "unknown";
}

bool isRoutine(const StartCommand &command, const CommandResult &result)
{
    return !command.withoutRun && std::holds_alternative<CommandExecuted>(result);
}

bool isRoutine(const StopCommand &command, const CommandResult &result)
{
    const bool isExpected = command.isServing ? command.reason == StopReason::JobEnded : command.reason != StopReason::Orphaned;
    return isExpected && std::holds_alternative<CommandExecuted>(result);
}

bool isRoutine(const RunEnded &end)
{
    return !end.isServing && end.endReason == RunEndReason::Completed;
}

/// Logs the result of a command about a run. @p input is its characteristic parameter.
template<typename Command>
static void logRunCommand(LogLevel level, const char *message, const Command &command, const LogField &input, const CommandResult &result)
{
    logMessage(LogPriority::Outcome,
               level,
               "owner",
               message,
               {{"job_id", command.task.job},
                {"task", command.task.toString()},
                {"run", command.run},
                {"worker", command.worker.id},
                input,
                {"outcome", resultName(result)},
                {"detail", resultDetail(result)}});
}

void logResult(const StartCommand &command, const CommandResult &result)
{
    constexpr const char *Message = "start command result";
    const LogField epoch("epoch", static_cast<long long>(command.fencingToken));
    if (!command.isServing) {
        logRunCommand(LogLevel::Info, Message, command, epoch, result);
        return;
    }
    logMessage(LogPriority::Outcome,
               LogLevel::Info,
               "owner",
               Message,
               {{"job_id", command.task.job},
                {"task", command.task.toString()},
                {"run", command.run},
                {"worker", command.worker.id},
                epoch,
                {"outcome", resultName(result)},
                {"detail", resultDetail(result)},
                command.withoutRun ? timeField("without_run_ms", command.withoutRun) : LogField("without_run_ms", "first run")});
}

void logResult(const StopCommand &command, const CommandResult &result)
{
    logRunCommand(LogLevel::Info, "stop command result", command, {"reason", stopReasonName(command.reason)}, result);
}

void logResult(const ThrottleCommand &command, const CommandResult &result)
{
    logRunCommand(LogLevel::Debug, "throttle command result", command, {"percent", command.speedPercent}, result);
}

const char *evidenceName(RunEndEvidence evidence)
{
    switch (evidence) {
    case RunEndEvidence::Report:
        return "report";
    case RunEndEvidence::MissingInReport:
        return "missing in report";
    case RunEndEvidence::FencedOff:
        return "fenced off";
    case RunEndEvidence::WorkerRestarted:
        return "worker restarted";
    case RunEndEvidence::ProcessEnded:
        return "process ended";
    case RunEndEvidence::StopConfirmed:
        return "stop confirmed";
    case RunEndEvidence::LeaseExpired:
        return "lease expired";
    }
    return "unknown";
}

void logAction(const RunEnded &end)
{
    logMessage(LogPriority::Outcome,
               LogLevel::Info,
               "owner",
               "run ended",
               {{"job_id", end.task.job},
                {"task", end.task.toString()},
                {"run", end.run},
                {"worker", end.worker},
                {"ending", endReasonName(end.endReason)},
                {"failures", end.failures},
                {"evidence", evidenceName(end.evidence)},
                {"starts", end.startsSent}});
}

void logAction(const LateEndIgnored &end)
{
    logMessage(LogLevel::Warning,
               "owner",
               "late run end ignored",
               {{"job_id", end.task.job},
                {"task", end.task.toString()},
                {"run", end.run},
                {"worker", end.worker},
                {"newest_run", end.newestRun},
                {"newest_worker", end.newestWorker}});
}

void logAction(const StartsWithheld &withheld)
{
    logMessage(LogLevel::Warning,
               "owner",
               "starts withheld",
               {{"jobs_read_age_ms", withheld.jobsReadAge.count()}, timeField("workers_read_age_ms", withheld.workersReadAge)});
}

void logAction(const StartsResumed &resumed)
{
    logMessage(LogPriority::Essential, LogLevel::Info, "owner", "starts resumed", {{"withheld_ms", resumed.withheldFor.count()}});
}

void logStepDown(std::int64_t term, const std::string &reason, const StepDown &rejection)
{
    constexpr const char *Message = "stepped down as owner";
    const LogField epoch("epoch", static_cast<long long>(term));
    if (rejection.worker.empty()) {
        logMessage(LogLevel::Warning, "owner", Message, {epoch, {"reason", reason}});
        return;
    }
    logMessage(LogLevel::Warning,
               "owner",
               Message,
               {epoch,
                {"reason", reason},
                {"worker", rejection.worker},
                {"token", static_cast<long long>(rejection.fencingToken)},
                {"newest_token", static_cast<long long>(rejection.newestToken)},
                {"detail", rejection.detail}});
}

const char *adviceOutcome(const AdviceResult &result, std::size_t usableTickets)
{
    const auto *error = std::get_if<Error>(&result);
    if (error != nullptr) {
        return error->code == ErrorCode::Timeout ? "timeout" : "failed";
    }
    const bool allowsWorkers = !std::get<PlacementAdvice>(result).tickets.empty();
    return allowsWorkers && usableTickets == 0 ? "unused" : "decided";
}

void logAdvice(const RequestAdvice &request, const AdviceResult &result, std::size_t usableTickets, Duration responseTime)
{
    const auto *advice = std::get_if<PlacementAdvice>(&result);
    const auto *error = std::get_if<Error>(&result);
    logMessage(LogLevel::Info,
               "owner",
               "advice request result",
               {{"job_id", request.step.job},
                {"step", request.step.step},
                {"request", static_cast<long long>(request.number)},
                {"outcome", adviceOutcome(result, usableTickets)},
                {"workers", request.workers.size()},
                {"allowed", advice != nullptr ? advice->tickets.size() : 0},
                {"usable", usableTickets},
                {"response_ms", std::chrono::duration_cast<std::chrono::milliseconds>(responseTime).count()},
                {"service_ms", std::chrono::duration_cast<std::chrono::milliseconds>(request.serviceTime).count()},
                {"error", error != nullptr ? error->message : std::string()}});
}

void logLiveWorkers(const LiveWorkersResult &result)
{
    if (const auto *error = std::get_if<Error>(&result)) {
        logMessage(LogPriority::StateChange, LogLevel::Warning, "owner", "cannot list live workers", {{"error", error->message}});
        return;
    }
    logMessage(LogPriority::StateChange, LogLevel::Info, "owner", "live workers listed", {{"workers", std::get<std::set<std::string>>(result).size()}});
}

/// Returns "MILLICORES:WORKERS" for each size, with the number of workers that have as much unreserved capacity.
static std::string workersByFreeCapacity(const DispatchSummary &load)
{
    std::string text;
    for (const auto &[milliCores, workers] : load.workersByFreeMilliCores) {
        text += (text.empty() ? "" : ",") + std::to_string(milliCores) + ":" + std::to_string(workers);
    }
    return text;
}

static const char *kindName(TaskKind kind)
{
    switch (kind) {
    case TaskKind::Reserved:
        return "reserved";
    case TaskKind::BestEffort:
        return "best_effort";
    case TaskKind::Serving:
        return "serving";
    }
    return "unknown";
}

static const char *obstacleName(PlacementObstacle obstacle)
{
    switch (obstacle) {
    case PlacementObstacle::Unavailable:
        return "unavailable";
    case PlacementObstacle::Quarantine:
        return "quarantine";
    case PlacementObstacle::WorkerPool:
        return "pool";
    case PlacementObstacle::ProcessorCapacity:
        return "processor_capacity";
    case PlacementObstacle::Memory:
        return "memory";
    case PlacementObstacle::Accelerators:
        return "accelerators";
    case PlacementObstacle::RackOrLabel:
        return "rack_or_label";
    case PlacementObstacle::TasksPerWorker:
        return "tasks_per_worker";
    case PlacementObstacle::Advice:
        return "advice";
    case PlacementObstacle::Reserved:
        return "reserved";
    case PlacementObstacle::ShortTaskReserve:
        return "short_task_reserve";
    case PlacementObstacle::OverTarget:
        return "over_target";
    case PlacementObstacle::IdleProcessorTime:
        return "idle_time";
    case PlacementObstacle::Headroom:
        return "headroom";
    }
    return "unknown";
}

/// Returns "OBSTACLE:WORKERS" for each obstacle.
static std::string workersByObstacle(const WaitingTasks &waiting)
{
    std::string obstacles;
    for (const auto &[obstacle, workers] : waiting.workers) {
        obstacles += (obstacles.empty() ? "" : ",") + std::string(obstacleName(obstacle)) + ":" + std::to_string(workers);
    }
    return obstacles;
}

static void logWaitingTasks(const WaitingTasks &waiting)
{
    logMessage(LogPriority::Essential,
               LogLevel::Info,
               "owner",
               "tasks waiting",
               {{"kind", kindName(waiting.kind)},
                {"up_to_millicores", static_cast<long long>(waiting.maximumMilliCores)},
                {"tasks", waiting.tasks},
                {"steps", waiting.steps},
                {"job_id", waiting.jobId},
                {"since_release_ms", static_cast<long long>(waiting.sinceRelease.count())},
                {"millicores", static_cast<long long>(waiting.milliCores)},
                {"memory_mb", static_cast<long long>(waiting.memoryBytes / BytesPerMegabyte)},
                {"suitable_workers", waiting.suitableWorkers},
                {"obstacles", workersByObstacle(waiting)}});
}

void logAction(const OverdueStep &overdue)
{
    const WaitingTasks &waiting = overdue.waiting;
    logMessage(LogLevel::Warning,
               "owner",
               "task waits although room is free",
               {{"job_id", overdue.step.job},
                {"step", std::to_string(overdue.step.occurrence) + "." + std::to_string(overdue.step.step)},
                {"task", overdue.step.toString()},
                {"kind", kindName(waiting.kind)},
                {"waiting_ms", static_cast<long long>(overdue.waitingTime.count())},
                {"beside_room_ms", static_cast<long long>(overdue.besideRoom.count())},
                {"since_release_ms", static_cast<long long>(waiting.sinceRelease.count())},
                {"tasks", waiting.tasks},
                {"assigned_tasks", overdue.assignedTasks},
                {"millicores", static_cast<long long>(waiting.milliCores)},
                {"memory_mb", static_cast<long long>(waiting.memoryBytes / BytesPerMegabyte)},
                {"places", overdue.places},
                {"suitable_workers", waiting.suitableWorkers},
                {"obstacles", workersByObstacle(waiting)},
                {"pool_millicores", static_cast<long long>(overdue.milliCores)},
                {"free_millicores", static_cast<long long>(overdue.freeMilliCores)},
                {"unused_millicores", static_cast<long long>(overdue.unusedMilliCores)},
                {"idle_millicores", static_cast<long long>(overdue.idleMilliCores)},
                {"jobs_read_age_ms", static_cast<long long>(overdue.jobsReadAge.count())},
                timeField("workers_read_age_ms", overdue.workersReadAge),
                {"oldest_report_age_ms", static_cast<long long>(overdue.oldestReportAge.count())},
                {"unreported_steps", overdue.unreportedSteps}});
}

void logLoad(std::int64_t term, const DispatchSummary &load)
{
    logMessage(LogPriority::Essential,
               LogLevel::Info,
               "owner",
               "load",
               {{"epoch", static_cast<long long>(term)},
                {"workers", load.workers},
                {"registered", load.registeredWorkers},
                {"draining", load.drainingWorkers},
                {"unreachable", load.unreachableWorkers},
                {"open_runs", load.openRuns},
                {"unreachable_runs", load.unreachableRuns},
                {"waiting_counted", load.pendingReserved},
                {"waiting_filling", load.pendingBestEffort},
                {"waiting_serving", load.pendingServing},
                {"millicores", static_cast<long long>(load.milliCores)},
                {"serving_millicores", static_cast<long long>(load.servingMilliCores)},
                {"counted_millicores", static_cast<long long>(load.countedMilliCores)},
                {"free_millicores", static_cast<long long>(load.freeMilliCores)},
                {"idle_millicores", static_cast<long long>(load.idleMilliCores)},
                {"workers_by_free_millicores", workersByFreeCapacity(load)},
                {"start_window", load.startWindow},
                {"waiting_for_window", load.waitingForWindow},
                {"owner_late_ms", static_cast<long long>(load.ownerLateness.count())},
                {"poll_interval_ms", static_cast<long long>(load.minimumPollInterval.count())},
                {"placement_passes", static_cast<long long>(load.placementWork.passes)},
                {"visited_jobs", static_cast<long long>(load.placementWork.visitedJobs)},
                {"examined_workers", static_cast<long long>(load.placementWork.examinedWorkers)}});
    for (const WaitingTasks &waiting : load.waiting) {
        logWaitingTasks(waiting);
    }
}

/// Appends fields with the number, the mean and the maximum of @p delays, in milliseconds.
static void appendDelays(std::vector<LogField> &fields, const std::string &name, const DelaySummary &delays)
{
    fields.emplace_back(name, delays.count);
    fields.emplace_back(name + "_mean_ms", static_cast<long long>(delays.mean().count()));
    fields.emplace_back(name + "_longest_ms", static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(delays.longest).count()));
}

void logDelays(std::int64_t term, const OwnerDelays &delays, TimePoint now)
{
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(now - delays.beganAt);
    std::vector<LogField> fields{{"epoch", static_cast<long long>(term)},
                                 {"interval_ms", static_cast<long long>(interval.count())},
                                 {"processor_ms", static_cast<long long>(delays.processorTime().count())}};
    appendDelays(fields, "tick_delays", delays.ticks);
    appendDelays(fields, "tick_times", delays.tickTimes);
    appendDelays(fields, "job_reads", delays.reads);
    appendDelays(fields, "batches", delays.batches);
    appendDelays(fields, "start_responses", delays.startResponses);
    appendDelays(fields, "poll_responses", delays.pollResponses);
    fields.emplace_back("open_starts", delays.openStarts);
    fields.emplace_back("open_polls", delays.openPolls);
    appendDelays(fields, "background_turns", delays.backgroundTurns);
    logMessage(LogPriority::Essential, LogLevel::Info, "owner", "delays", fields);
}

void logStageDelays(std::int64_t term, TaskKind kind, const StageDelays &delays)
{
    std::vector<LogField> fields{{"epoch", static_cast<long long>(term)}, {"kind", kindName(kind)}};
    appendDelays(fields, "job_reads", delays.reads);
    appendDelays(fields, "placements", delays.placements);
    appendDelays(fields, "intents", delays.intents);
    appendDelays(fields, "start_responses", delays.responses);
    appendDelays(fields, "run_ends", delays.ends);
    logMessage(LogPriority::Essential, LogLevel::Info, "owner", "stage delays", fields);
}

/// Returns a field with the time from the acceptance of a job to its first start.
static LogField waitingField(const JobEnded &end)
{
    return end.hasStarted ? timeField("waiting_ms", end.history.firstStart) : LogField("waiting_ms", "not started");
}

/// Returns a field with the time from the first start of a job to its end.
static LogField runningField(const JobEnded &end)
{
    std::optional<std::chrono::milliseconds> running;
    if (end.history.firstStart) {
        running = end.sinceAccepted - *end.history.firstStart;
    }
    return end.hasStarted ? timeField("running_ms", running) : LogField("running_ms", "not started");
}

void logAction(const JobEnded &end)
{
    const JobHistory &history = end.history;
    logMessage(LogPriority::RequestEnd,
               LogLevel::Info,
               "owner",
               "job ended",
               {{"job_id", end.jobId},
                {"outcome", end.phase},
                {"after_ms", end.sinceAccepted.count()},
                waitingField(end),
                runningField(end),
                {"last_task", history.endedRuns() > 0 ? history.lastTask.toString() : std::string()},
                {"last_run", history.lastRun},
                {"last_worker", history.lastWorker},
                timeField("last_run_ms", history.lastRunTime),
                {"runs", history.endedRuns()},
                {"failed", history.failedRuns},
                {"lapsed", history.lapsedRuns},
                {"stopped", history.stoppedRuns},
                {"starts_without_response", history.startsWithoutResponse},
                {"starts_not_sent", history.startsNotSent},
                {"starts_refused", history.startsRejected},
                {"starts_withdrawn", history.startsWithdrawn},
                {"counted_from_ms", end.countedFrom.count()},
                {"queue", end.queue}});
}

} // namespace Hyssop
