#pragma once

#include <dispatch/dispatchactions.h>

#include <string>

namespace Hyssop {

/// Writes a line for a decision of the dispatcher that changes what the owner believes.
void logAction(const RunEnded &end);
void logAction(const JobEnded &end);
void logAction(const WorkerRestarted &worker);
void logAction(const WorkerLeaseExpired &worker);

/// Outcome of an order for the log, and what is known of its cause.
const char *answerName(const CommandResult &answer);
std::string answerDetail(const CommandResult &answer);

} // namespace Hyssop
