#pragma once

#include <ports/workercommands.h>
#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Hyssop {

enum class TaskPhase {
    Pending, // no open run
    Assigned, // a run has a worker, and its intent is not durable yet
    Starting, // the start command was sent and no result is known yet
    Running,
    Stopping, // the run is being stopped
    Done,
};

/// Execution state of a task, as the owner knows it.
struct TaskExecution
{
    TaskPhase phase = TaskPhase::Pending;
    int run = 0; // number of the newest run, from 1
    int failures = 0; // failed runs
    std::string failedOn; // worker of the last run in this term that failed or whose start had no response; empty: none
    int unreportedRun = 0; // newest run that this owner considered ended without a report of its end; 0: none
    std::string checkpoint;
    std::string worker; // worker of the open run
    TimePoint phaseSince{};
    int startsSent = 0; // start commands of this run that the worker may execute
    std::int64_t startToken = 0; // highest fencing token of these commands
    std::chrono::milliseconds startProcess{0}; // start of the process to which all of them were sent; 0: unknown
    bool startPending = false; // the last start command was not answered yet, so it may still be executed
    TimePoint startOutstandingUntil{}; // until then, a start command without a response may be executed
    bool startConfirmed = false; // the worker has confirmed the start of this run
    bool listed = false; // a report of the current process has listed this run
    TimePoint confirmedAt{}; // when the worker last confirmed the start or the stop
    StopReason stopReason = StopReason::JobEnded; // of the last stop
    bool stopConfirmed = false;
    int progressPercent = -1; // reported progress; -1: no report yet
    TimePoint progressSince{};
    int firstProgressPercent = -1; // progress in the first report of this run
    TimePoint firstProgressAt{};
    double load = 0; // as reported by the worker
    int speedPercent = 100; // as last confirmed by the worker
    bool isSpeedKnown = true; // false: an earlier owner, or a command without a response, may have changed it
    int initialSpeedPercent = 100; // to which the run is set as soon as its start is confirmed
    TimePoint speedSince{};
    std::optional<TimePoint> withoutRunSince; // the last run was stopped, or last reported, then
    TimePoint notBefore{}; // the next run is not started before

    /// Returns true if a run exists or may exist on a worker, or is about to be started.
    bool isOpen() const { return phase != TaskPhase::Pending && phase != TaskPhase::Done; }

    /// Returns true if the run may be paused or slowed down, so that a lack of progress is no evidence of a stall.
    bool mayBeThrottled() const { return !isSpeedKnown || speedPercent < 100; }

    /// Notes that the worker has confirmed @p percent as the speed of the run. The time for which it may have been throttled does not
    /// count as time without progress.
    void setSpeed(int percent, TimePoint now);

    /// Notes that the speed of the run may differ from the one that was last confirmed.
    void setSpeedUnknown(TimePoint now);
};

} // namespace Hyssop
