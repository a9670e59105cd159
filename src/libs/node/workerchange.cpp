#include "workerchange.h"

#include "logfields.h"

namespace Hyssop {

namespace Internal {

static WorkerChange changeOf(const WorkerRegistered &event)
{
    return {"worker registered", event.worker, {{"address", event.address}, {"failure_domain", event.failureDomain}, {"open_runs", event.openRuns}}};
}

static WorkerChange changeOf(const WorkerDraining &event)
{
    return {"worker draining", event.worker, {timeField("remaining_ms", event.remaining), {"open_runs", event.openRuns}}};
}

static WorkerChange changeOf(const WorkerUnregistered &event)
{
    return {"worker unregistered",
            event.worker,
            {{"open_runs", event.openRuns}, {"failed_polls", event.failedPolls}, timeField("since_report_ms", event.sinceReport)}};
}

/// Returns the part of an error that is the same for many workers: "connection to ADDRESS: CAUSE" names the address of one.
static std::string causeOf(const std::string &error)
{
    constexpr std::string_view Separator = ": ";
    const auto separator = error.rfind(Separator);
    return separator == std::string::npos ? error : error.substr(separator + Separator.size());
}

static WorkerChange changeOf(const WorkerUnreachable &event)
{
    return {"worker unreachable",
            event.worker,
            {{ErrorKey, event.reason},
             {"unanswered_polls", event.unansweredPolls},
             {"open_runs", event.openRuns},
             timeField("since_report_ms", event.sinceReport),
             {"lease_end_in_ms", event.untilLeaseEnd.count()}},
            causeOf(event.reason)};
}

static WorkerChange changeOf(const WorkerReachableAgain &event)
{
    return {"worker reachable again",
            event.worker,
            {{"open_runs", event.openRuns}, {"failed_polls", event.failedPolls}, timeField("since_report_ms", event.sinceReport)}};
}

static WorkerChange changeOf(const WorkerQuarantined &event)
{
    return {"worker quarantined", event.worker, {{"count", event.count}, {"remaining_ms", event.remaining.count()}, {"open_runs", event.openRuns}}};
}

static WorkerChange changeOf(const WorkerSoundAgain &event)
{
    return {"worker sound again", event.worker, {{"open_runs", event.openRuns}}};
}

static WorkerChange changeOf(const WorkerRestarted &event)
{
    return {"worker restarted",
            event.worker,
            {{"clock_ms", event.clock.count()}, {"expected_clock_ms", event.expectedClock.count()}, {"open_runs", event.openRuns}},
            {},
            LogLevel::Warning};
}

static WorkerChange changeOf(const WorkerLeaseExpired &event)
{
    return {"leases of unreachable worker expired", event.worker, {{"failed_polls", event.failedPolls}, {"open_runs", event.openRuns}}, {}, LogLevel::Warning};
}

static WorkerChange changeOf(const WorkerProcessEnded &event)
{
    return {"worker process has ended", event.worker, {{"failed_polls", event.failedPolls}, {"ended_runs", event.endedRuns}}, {}, LogLevel::Warning};
}

} // namespace Internal

WorkerChange describe(const WorkerEvent &event)
{
    return std::visit([](const auto &typed) { return Internal::changeOf(typed); }, event);
}

} // namespace Hyssop
