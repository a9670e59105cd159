#pragma once

#include <ports/commandresults.h>
#include <ports/keyedrecord.h>

#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// Appends records to the job topic at the owner's next position.
struct StoreRecords
{
    std::vector<KeyedRecord> records;
};

/// Asks the advice service which of the workers may run a step.
struct AskAdvice
{
    TaskId step; // the index is unused
    std::vector<std::string> workers;
};

/// A worker has seen an order of a later owner.
struct GiveUpOwnership
{
};

/// For the log: a run has ended.
struct RunEnded
{
    TaskId task;
    int run = 0;
    std::string worker;
    RunEndReason endReason = RunEndReason::Failed;
    int failures = 0; // of the task so far
};

/// For the log: a job has ended.
struct JobEnded
{
    std::string jobId;
    std::string phase;
    std::chrono::milliseconds sinceAccepted{0};
};

/// For the log: a worker is taken for one that has started anew under the same id.
struct WorkerReborn
{
    std::string worker;
    WorkerTime clock{0}; // that it told
    WorkerTime expectedClock{0}; // at least, if it were the same life
    std::size_t openRuns = 0;
};

/// For the log: all leases on a worker that does not answer have ended.
struct WorkerWrittenOff
{
    std::string worker;
    int failedPolls = 0;
    std::size_t openRuns = 0;
};

using DispatchAction = std::variant<StartCommand,
                                    StopCommand,
                                    ThrottleCommand,
                                    PollCommand,
                                    StoreRecords,
                                    AskAdvice,
                                    GiveUpOwnership,
                                    RunEnded,
                                    JobEnded,
                                    WorkerReborn,
                                    WorkerWrittenOff>;

} // namespace Hyssop
