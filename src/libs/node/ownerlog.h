#pragma once

#include <dispatch/dispatchactions.h>

#include <string>

namespace Hyssop {

/// Logs an action of the dispatcher that changes the owner's state.
void logAction(const RunEnded &end);
void logAction(const JobEnded &end);
void logAction(const WorkerRestarted &worker);
void logAction(const WorkerLeaseExpired &worker);
void logAction(const WorkerProcessEnded &worker);

/// Return the outcome of a command for logs and metrics, and details of a failure.
const char *resultName(const CommandResult &result);
std::string resultDetail(const CommandResult &result);

} // namespace Hyssop
