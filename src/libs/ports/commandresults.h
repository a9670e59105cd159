#pragma once

#include "workercommands.h"

#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// The order is carried out.
struct CommandExecuted
{
    WorkerTime clock{0};
};

enum class RejectionReason {
    Fenced, // the worker has seen a higher fencing token
    Superseded, // this run or a higher one was there before
    Expired, // the lease end of the order has passed
    InsufficientCapacity,
    MissingTicket,
    Invalid, // the worker does not understand the order
    Unhealthy, // the worker can't start anything now
    WrongWorker, // another worker lives at this address
};

/// The order was not carried out and will not be.
struct CommandRejected
{
    RejectionReason reason = RejectionReason::Invalid;
    std::string detail;
};

/// Nothing reached the worker.
struct CommandNotSent
{
    std::string reason;
};

/// The order may be carried out now or later.
struct CommandUndetermined
{
    std::string reason;
};

using CommandResult = std::variant<CommandExecuted, CommandRejected, CommandNotSent, CommandUndetermined>;

enum class RunEndReason {
    Completed,
    Failed,
    Stopped,
    LeaseExpired,
    PeerEnded, // another task of the gang ended
    GangIncomplete, // the other tasks of the gang did not come in time
};

/// A run that a worker lists as present.
struct ReportedRun
{
    TaskId task;
    int run = 0;
    std::string checkpoint;
    int progressPercent = 0; // progress; of a serving task 100: it serves at full pace
    double load = 0; // serving task: tail of the response times in ms; other tasks: thousandths of a core in use
};

/// A run that a worker lists as ended.
struct ReportedRunEnd
{
    std::int64_t sequence = 0; // counts the ends in one life of the worker, from 1
    TaskId task;
    int run = 0;
    RunEndReason endReason = RunEndReason::Failed;
    std::string checkpoint;
};

/// Answer to a poll.
struct WorkerReport
{
    WorkerTime clock{0};
    std::chrono::milliseconds processStartedAt{0}; // Unix time of the worker's start; 0: not told
    std::vector<ReportedRun> runs;
    std::vector<ReportedRunEnd> ends;
};

using PollResult = std::variant<WorkerReport, CommandRejected, CommandNotSent, CommandUndetermined>;

} // namespace Hyssop
