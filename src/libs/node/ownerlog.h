#pragma once

#include <dispatch/dispatchactions.h>
#include <ports/adviceservice.h>
#include <ports/machinedirectory.h>
#include <utils/clock.h>

#include <cstdint>
#include <string>

namespace Hyssop {

struct DispatchSummary;
struct OwnerDelays;
struct StageDelays;
enum class TaskKind;

/// Returns true if the result needs no line of its own: RunLog combines it with others.
bool isRoutine(const StartCommand &command, const CommandResult &result);
bool isRoutine(const StopCommand &command, const CommandResult &result);
bool isRoutine(const RunEnded &end);

/// Logs an action of the dispatcher that changes the owner's state.
void logAction(const RunEnded &end);
void logAction(const LateEndIgnored &end);
void logAction(const JobEnded &end);
void logAction(const StartsWithheld &withheld);
void logAction(const StartsResumed &resumed);
void logAction(const OverdueStep &overdue);

/// Logs that the ownership of @p term is given up. @p rejection is empty unless a worker's response is the reason.
void logStepDown(std::int64_t term, const std::string &reason, const StepDown &rejection);

/// Logs the answer to a request for the live workers.
void logLiveWorkers(const LiveWorkersResult &result);

/// Returns the name of a result of a request for advice, of whose tickets so many can be used.
const char *adviceOutcome(const AdviceResult &result, std::size_t usableTickets);

void logAdvice(const RequestAdvice &request, const AdviceResult &result, std::size_t usableTickets, Duration responseTime);

/// Logs the load of the owner of @p term.
void logLoad(std::int64_t term, const DispatchSummary &load);

/// Logs @p delays of the owner of @p term in the interval that ends at @p now.
void logDelays(std::int64_t term, const OwnerDelays &delays, TimePoint now);

/// Logs @p delays of the tasks of @p kind in the same interval.
void logStageDelays(std::int64_t term, TaskKind kind, const StageDelays &delays);

/// Logs the result of a command.
void logResult(const StartCommand &command, const CommandResult &result);
void logResult(const StopCommand &command, const CommandResult &result);
void logResult(const ThrottleCommand &command, const CommandResult &result);

/// Returns the outcome of a command for logs and metrics.
const char *resultName(const CommandResult &result);

/// Returns the way in which a run has ended for logs.
const char *endReasonName(RunEndReason endReason);

/// Returns how the end of a run was learned for logs.
const char *evidenceName(RunEndEvidence evidence);

/// Returns @p reason for logs and metrics.
const char *stopReasonName(StopReason reason);

} // namespace Hyssop
