#include "ownerlog.h"

#include <observability/logging.h>
#include <utils/overloaded.h>

namespace Hyssop {

const char *answerName(const CommandResult &answer)
{
    return std::visit(Overloaded{
                          [](const CommandExecuted &) { return "done"; },
                          [](const CommandRejected &) { return "refused"; },
                          [](const CommandNotSent &) { return "unsent"; },
                          [](const CommandUndetermined &) { return "unknown"; },
                      },
                      answer);
}

std::string answerDetail(const CommandResult &answer)
{
    return std::visit(Overloaded{
                          [](const CommandExecuted &) { return std::string(); },
                          [](const CommandRejected &refusal) { return refusal.detail; },
                          [](const auto &failure) { return failure.reason; },
                      },
                      answer);
}

static const char *endingName(RunEndReason endReason)
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
                {"ending", endingName(end.endReason)},
                {"failures", end.failures}});
}

void logAction(const WorkerRestarted &worker)
{
    logMessage(
        LogLevel::Warning,
        "owner",
        "worker has started anew",
        {{"worker", worker.worker}, {"clock_ms", worker.clock.count()}, {"expected_clock_ms", worker.expectedClock.count()}, {"open_runs", worker.openRuns}});
}

void logAction(const WorkerLeaseExpired &worker)
{
    logMessage(LogLevel::Warning,
               "owner",
               "leases on a worker have ended",
               {{"worker", worker.worker}, {"failed_polls", worker.failedPolls}, {"open_runs", worker.openRuns}});
}

void logAction(const JobEnded &end)
{
    logMessage(LogLevel::Info, "owner", "job ended", {{"job_id", end.jobId}, {"outcome", end.phase}, {"after_ms", end.sinceAccepted.count()}});
}

} // namespace Hyssop
