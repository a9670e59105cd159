#pragma once

#include <ports/commandresults.h>
#include <ports/keyedrecord.h>

#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// Appends records to the job topic at the owner's next sequence number.
struct AppendRecords
{
    std::vector<KeyedRecord> records;
};

/// Asks the advice service which of the workers may run a step.
struct RequestAdvice
{
    TaskId step; // the task index is unused
    std::vector<std::string> workers;
};

/// Gives up the ownership: a worker has seen the fencing token of a later owner.
struct StepDown
{
};

/// Log event: a run has ended.
struct RunEnded
{
    TaskId task;
    int run = 0;
    std::string worker;
    RunEndReason endReason = RunEndReason::Failed;
    int failures = 0; // failed runs of the task so far
};

/// Log event: a job has ended.
struct JobEnded
{
    std::string jobId;
    std::string phase;
    std::chrono::milliseconds sinceAccepted{0};
};

/// Log event: the process of a worker has restarted under the same id, or must be assumed to have.
struct WorkerRestarted
{
    std::string worker;
    WorkerTime clock{0}; // reported by the worker
    WorkerTime expectedClock{0}; // lower bound without a restart
    std::size_t openRuns = 0;
};

/// Log event: the lease of a worker that does not answer has expired; its runs are considered ended.
struct WorkerLeaseExpired
{
    std::string worker;
    int failedPolls = 0;
    std::size_t openRuns = 0;
};

/// Log event: the process of a worker has ended; the runs that it had confirmed have ended with it.
struct WorkerProcessEnded
{
    std::string worker;
    int failedPolls = 0;
    std::size_t endedRuns = 0;
};

using DispatchAction = std::variant<StartCommand,
                                    StopCommand,
                                    ThrottleCommand,
                                    PollCommand,
                                    AppendRecords,
                                    RequestAdvice,
                                    StepDown,
                                    RunEnded,
                                    JobEnded,
                                    WorkerRestarted,
                                    WorkerLeaseExpired,
                                    WorkerProcessEnded>;

} // namespace Hyssop
