#include "ownerlog.h"

#include <observability/logging.h>
#include <utils/overloaded.h>

namespace Hyssop {

const char *answerName(const OrderAnswer &answer)
{
    return std::visit(Overloaded{
                          [](const OrderDone &) { return "done"; },
                          [](const OrderRefused &) { return "refused"; },
                          [](const OrderUnsent &) { return "unsent"; },
                          [](const OrderUnknown &) { return "unknown"; },
                      },
                      answer);
}

std::string answerDetail(const OrderAnswer &answer)
{
    return std::visit(Overloaded{
                          [](const OrderDone &) { return std::string(); },
                          [](const OrderRefused &refusal) { return refusal.detail; },
                          [](const auto &failure) { return failure.reason; },
                      },
                      answer);
}

static const char *endingName(RunEnding ending)
{
    switch (ending) {
    case RunEnding::Done:
        return "done";
    case RunEnding::Failed:
        return "failed";
    case RunEnding::Stopped:
        return "stopped";
    case RunEnding::LeaseLapsed:
        return "lapsed";
    case RunEnding::PeerEnded:
        return "peer ended";
    case RunEnding::PeersMissing:
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
                {"ending", endingName(end.ending)},
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
