#pragma once

#include "jobhistory.h"
#include "overduestep.h"

#include <ports/commandresults.h>
#include <ports/keyedrecord.h>
#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// Appends records to the job topic and to the runs topic, each at the owner's next sequence number there. Either may be empty. They are
/// durable together when both appends are.
struct AppendRecords
{
    std::vector<KeyedRecord> records;
    std::vector<KeyedRecord> runs;
};

/// Asks the advice service which of the workers may run a step.
struct RequestAdvice
{
    TaskId step; // the task index is unused
    std::vector<std::string> workers;
    std::int64_t number = 0; // of the request, in this process
    Duration serviceTime{0}; // that the service needs, as announced
    std::chrono::milliseconds timeout{0}; // until no response is expected any more
};

/// Asks the platform which worker processes exist.
struct ListLiveWorkers
{
};

/// Gives up the ownership: a worker has seen the fencing token of a later owner.
struct StepDown
{
    std::string worker;
    std::int64_t fencingToken = 0; // of the rejected command
    std::int64_t newestToken = 0; // for commands to this worker
    std::string detail; // reported by the worker
};

/// How the owner learned that a run has ended.
enum class RunEndEvidence {
    Report, // a worker reported the end
    MissingInReport, // the worker's report did not list the run any more
    FencedOff, // the report of a poll with a higher fencing token than all start commands did not list the run
    WorkerRestarted, // another process of the worker reported
    ProcessEnded, // the worker is not in the list of live workers, or its address belongs to another one
    StopConfirmed, // the stop was confirmed by a worker that did not report afterwards
    LeaseExpired, // none: the lease must have expired
};

/// Log event: a run has ended.
struct RunEnded
{
    TaskId task;
    int run = 0;
    std::string worker;
    RunEndReason endReason = RunEndReason::Failed;
    int failures = 0; // failed runs of the task so far
    bool isServing = false; // a serving task
    RunEndEvidence evidence = RunEndEvidence::Report;
    int startsSent = 0; // start commands that the worker may have executed; 0: sent by an earlier owner
};

/// Log event: a worker has listed the end of a run that was considered lost, after another run of the task was started.
struct LateEndIgnored
{
    TaskId task;
    int run = 0;
    std::string worker;
    int newestRun = 0;
    std::string newestWorker;
};

/// Log event: a job has ended.
struct JobEnded
{
    std::string jobId;
    std::string phase;
    std::chrono::milliseconds sinceAccepted{0};
    bool hasStarted = false; // a worker has confirmed a run
    std::chrono::milliseconds countedFrom{0}; // time from the acceptance to the beginning of the term
    JobHistory history; // in this term
    std::string queue;
};

/// Log event: a run was assigned to a worker, and its start command was not sent.
struct StartWithdrawn
{
    TaskId task;
    int run = 0;
    std::string worker;
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

/// Log event: the process of a worker is proved to have ended, and runs that it had confirmed have ended with it.
struct WorkerProcessEnded
{
    std::string worker;
    int failedPolls = 0;
    std::size_t endedRuns = 0;
};

/// Log event: a worker was registered with the platform during the term.
struct WorkerRegistered
{
    std::string worker;
    std::string address;
    std::string failureDomain;
    std::size_t openRuns = 0;
};

/// Log event: the platform begins to withdraw a worker.
struct WorkerDraining
{
    std::string worker;
    std::optional<std::chrono::milliseconds> remaining; // unknown for some workers
    std::size_t openRuns = 0;
};

/// Log event: a worker is no longer registered with the platform.
struct WorkerUnregistered
{
    std::string worker;
    int failedPolls = 0;
    std::size_t openRuns = 0;
    std::optional<std::chrono::milliseconds> sinceReport; // none: it never reported in this term
};

/// Log event: the first regular poll of a worker after a report has failed, and so have those that repeated it.
struct WorkerUnreachable
{
    std::string worker;
    std::string reason;
    int unansweredPolls = 0; // that were sent after the last report
    std::size_t openRuns = 0;
    std::optional<std::chrono::milliseconds> sinceReport; // none: it never reported in this term
    std::chrono::milliseconds untilLeaseEnd{0}; // time until all runs have certainly ended
};

/// Log event: a worker reports again after failed polls.
struct WorkerReachableAgain
{
    std::string worker;
    int failedPolls = 0;
    std::size_t openRuns = 0;
    std::optional<std::chrono::milliseconds> sinceReport; // none: this is its first report in this term
};

/// Log event: a worker has failed or stalled what it was given and gets no task for some time.
struct WorkerQuarantined
{
    std::string worker;
    int count = 0; // consecutive quarantines
    std::chrono::milliseconds remaining{0};
    std::size_t openRuns = 0;
};

/// Log event: a quarantined worker counts as sound again.
struct WorkerSoundAgain
{
    std::string worker;
    std::size_t openRuns = 0;
};

/// Log event: no task is started from now on, because reading a topic lags behind.
struct StartsWithheld
{
    std::chrono::milliseconds jobsReadAge{0}; // age of the last read of the job topic
    std::optional<std::chrono::milliseconds> workersReadAge; // the same for the registrations; none: not read in this term
};

/// Log event: tasks are started again.
struct StartsResumed
{
    std::chrono::milliseconds withheldFor{0};
};

using DispatchAction = std::variant<StartCommand,
                                    StopCommand,
                                    ThrottleCommand,
                                    PollCommand,
                                    AppendRecords,
                                    RequestAdvice,
                                    ListLiveWorkers,
                                    StepDown,
                                    RunEnded,
                                    LateEndIgnored,
                                    JobEnded,
                                    StartWithdrawn,
                                    WorkerRestarted,
                                    WorkerLeaseExpired,
                                    WorkerProcessEnded,
                                    WorkerRegistered,
                                    WorkerDraining,
                                    WorkerUnregistered,
                                    WorkerUnreachable,
                                    WorkerReachableAgain,
                                    WorkerQuarantined,
                                    WorkerSoundAgain,
                                    StartsWithheld,
                                    StartsResumed,
                                    OverdueStep>;

} // namespace Hyssop
