#pragma once

#include "taskid.h"

#include <utils/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Hyssop {

/// Reading of a worker's own monotonic clock.
using WorkerTime = std::chrono::milliseconds;

/// Worker that a command is sent to.
struct WorkerAddress
{
    std::string id; // a worker with another id rejects the command
    std::string address; // IP-ADDRESS:PORT
};

/// Starts a run of a task.
struct StartCommand
{
    WorkerAddress worker;
    TaskId task;
    int run = 0;
    std::string payload;
    std::string checkpoint; // empty: start from the beginning
    std::string ticket; // issued by the advice service; empty: none
    std::int64_t fencingToken = 0;
    WorkerTime leaseEnd{0}; // the worker rejects the command after this time
    bool isServing = false; // a serving task; for logs and metrics, not sent to the worker
    bool isBestEffort = false; // others are sent first; not sent to the worker
    std::chrono::milliseconds responseTimeout{800}; // how long to wait for the response; not sent to the worker
    std::optional<std::chrono::milliseconds> withoutRun{}; // time since a run of a serving task was last known; none: its first run; not sent either
    TimePoint sentAt{}; // on the clock of the owner; not sent either
    std::size_t startsAhead = 0; // starts of the owner in flight at that time; not sent either
};

/// Why the owner stops a run; for logs and metrics, not sent to the worker.
enum class StopReason {
    JobEnded, // cancelled or failed
    WorkerDraining,
    WorkerRestarted,
    Stalled, // no progress
    PausedTooLong, // throttled to a standstill in favour of a serving task
    StartUndetermined, // no start command of the run was answered
    StartAbandoned, // an earlier start command of the run may still be executed
    Orphaned, // the run is not expected on this worker
};

/// Stops a run, or prevents it from starting later.
struct StopCommand
{
    WorkerAddress worker;
    TaskId task;
    int run = 0;
    std::int64_t fencingToken = 0;
    StopReason reason = StopReason::JobEnded;
    bool isServing = false; // a serving task; for logs and metrics, not sent to the worker
};

/// Sets the share of time during which a running task may execute (duty cycle).
struct ThrottleCommand
{
    WorkerAddress worker;
    TaskId task;
    int run = 0;
    int speedPercent = 100;
    std::int64_t fencingToken = 0;
};

/// Renews the lease of all runs on a worker and requests a report of its runs.
struct PollCommand
{
    WorkerAddress worker;
    std::uint64_t number = 0; // among the polls of a term; not sent to the worker
    bool isRepeated = false; // sent while another poll is open: acknowledges no end, and grants no later lease than the other
    std::int64_t fencingToken = 0;
    std::int64_t acknowledgedSequence = 0; // the worker may discard ends up to this sequence number
    std::optional<WorkerTime> leaseEnd; // none: the lease is not renewed
    std::chrono::milliseconds wait{0}; // how long the worker may delay the response until a run ends (long poll)
    std::chrono::milliseconds responseTimeout{900}; // how long to wait for the response beyond that; not sent to the worker
};

} // namespace Hyssop
