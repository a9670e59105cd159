#pragma once

#include "workercommands.h"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// The worker executed the command.
struct CommandExecuted
{
    WorkerTime clock{0}; // the worker's clock at the response; 0: unknown
};

enum class RejectionReason {
    Fenced, // the worker has seen a higher fencing token
    Superseded, // the worker has already seen this run or a later one of the task
    Expired, // the lease end in the command has passed
    InsufficientCapacity,
    MissingTicket,
    Invalid, // the worker cannot interpret the command
    Unhealthy, // the worker cannot start runs at present
    WrongWorker, // a different worker uses this address
};

/// The worker rejected the command; it will not be executed later either.
struct CommandRejected
{
    RejectionReason reason = RejectionReason::Invalid;
    std::string detail;
};

/// The command did not reach the worker.
struct CommandNotSent
{
    std::string reason;
};

/// The command may have been executed, or may still be executed later.
struct CommandUndetermined
{
    std::string reason;
};

using CommandResult = std::variant<CommandExecuted, CommandRejected, CommandNotSent, CommandUndetermined>;

/// Why a run ended.
enum class RunEndReason {
    Completed,
    Failed,
    Stopped,
    LeaseExpired,
    PeerEnded, // another task of the gang ended
    GangIncomplete, // the other tasks of the gang did not start in time
};

/// A run that a worker reports as present.
struct ReportedRun
{
    TaskId task;
    int run = 0;
    std::string checkpoint;
    int progressPercent = 0; // progress; 100 for a serving task once it serves at full speed
    double load = 0; // serving task: tail latency in ms; other tasks: processor use in thousandths of a core
};

/// A run that a worker reports as ended.
struct ReportedRunEnd
{
    std::int64_t sequence = 0; // number of this end since the worker process started, from 1
    TaskId task;
    int run = 0;
    RunEndReason endReason = RunEndReason::Failed;
    std::string checkpoint;
};

/// State of a worker in the response to a poll.
struct WorkerReport
{
    WorkerTime clock{0};
    std::chrono::milliseconds processStartedAt{0}; // Unix time at which the worker process started; 0: unknown
    std::vector<ReportedRun> runs;
    std::vector<ReportedRunEnd> ends;
    std::size_t malformedRuns = 0; // runs of the worker that are not in the list because they cannot be decoded
};

/// The connection to the worker was refused. Its process may have ended, but a network partition that resets connections looks the same.
struct WorkerNotListening
{
    std::string reason;
};

using PollResult = std::variant<WorkerReport, CommandRejected, CommandNotSent, CommandUndetermined, WorkerNotListening>;

} // namespace Hyssop
