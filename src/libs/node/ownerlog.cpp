#include "ownerlog.h"

#include <observability/logging.h>
#include <utils/overloaded.h>

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

std::string resultDetail(const CommandResult &result)
{
    return std::visit(Overloaded{
                          [](const CommandExecuted &) { return std::string(); },
                          [](const CommandRejected &rejected) { return rejected.detail; },
                          [](const auto &failed) { return failed.reason; },
                      },
                      result);
}

static const char *endReasonName(RunEndReason endReason)
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

void logAction(const RunEnded &end)
{
    logMessage(LogLevel::Info,
               "owner",
               "run ended",
               {{"job_id", end.task.job},
                {"task", end.task.toString()},
                {"run", end.run},
                {"worker", end.worker},
                {"ending", endReasonName(end.endReason)},
                {"failures", end.failures}});
}

void logAction(const WorkerRestarted &worker)
{
    logMessage(
        LogPriority::StateChange,
        LogLevel::Warning,
        "owner",
        "worker restarted",
        {{"worker", worker.worker}, {"clock_ms", worker.clock.count()}, {"expected_clock_ms", worker.expectedClock.count()}, {"open_runs", worker.openRuns}});
}

void logAction(const WorkerLeaseExpired &worker)
{
    logMessage(LogPriority::StateChange,
               LogLevel::Warning,
               "owner",
               "leases of unreachable worker expired",
               {{"worker", worker.worker}, {"failed_polls", worker.failedPolls}, {"open_runs", worker.openRuns}});
}

void logAction(const JobEnded &end)
{
    logMessage(LogLevel::Info, "owner", "job ended", {{"job_id", end.jobId}, {"outcome", end.phase}, {"after_ms", end.sinceAccepted.count()}});
}

} // namespace Hyssop
