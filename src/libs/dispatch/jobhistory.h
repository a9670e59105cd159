#pragma once

#include <ports/taskid.h>

#include <chrono>
#include <optional>
#include <string>

namespace Hyssop {

/// What this owner has seen of the runs of a job, to explain in its log how long the job took.
struct JobHistory
{
    std::optional<std::chrono::milliseconds> firstStart; // since the job was accepted; none: no start, or before this term
    int completedRuns = 0;
    int failedRuns = 0;
    int lapsedRuns = 0;
    int stoppedRuns = 0;
    int incompleteRuns = 0; // ended because of other tasks of their gang
    int startsWithoutResponse = 0;
    int startsNotSent = 0;
    int startsRejected = 0;
    int startsWithdrawn = 0; // the worker had become unavailable, or starts were withheld, before the command was sent

    // The run that ended last.
    TaskId lastTask;
    int lastRun = 0;
    std::string lastWorker;
    std::optional<std::chrono::milliseconds> lastRunTime; // since the confirmation of its start

    int endedRuns() const { return completedRuns + failedRuns + lapsedRuns + stoppedRuns + incompleteRuns; }
};

} // namespace Hyssop
