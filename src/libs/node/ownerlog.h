#pragma once

#include <dispatch/dispatchactions.h>

#include <string>

namespace Hyssop {

/// Logs an action of the dispatcher that changes the owner's state.
void logAction(const RunEnded &end);
void logAction(const JobEnded &end);
void logAction(const WorkerRestarted &worker);
void logAction(const WorkerLeaseExpired &worker);

/// Logs the result of a command.
void logResult(const StartCommand &command, const CommandResult &result);
void logResult(const StopCommand &command, const CommandResult &result);
void logResult(const ThrottleCommand &command, const CommandResult &result);

/// Returns the outcome of a command for logs and metrics.
const char *resultName(const CommandResult &result);

/// Returns @p reason for logs and metrics.
const char *stopReasonName(StopReason reason);

} // namespace Hyssop
