#pragma once

#include "jobhistory.h"
#include "stepexecution.h"

#include "hyssop_types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

struct TaskId;

/// Execution state of a job, as the owner knows it.
struct JobExecution
{
    std::string id;
    Wire::StepJob submission;
    WallTime acceptedAt{};
    std::map<int, std::vector<StepExecution>> occurrences; // steps of the released occurrences from finishedOccurrences on
    int finishedOccurrences = 0; // all occurrences below this number are done
    bool cancelled = false;
    bool failed = false;
    bool completed = false;
    bool hasStarted = false; // a worker has confirmed a run
    bool hasFailedLately = false; // a run has failed in this term, and none has succeeded since
    bool submissionCompacted = false; // the submission of the ended job was, or is being, replaced by its compacted form
    std::int64_t endedAtMs = 0; // Unix time; 0: not ended
    std::optional<Wire::JobProgress> storedPhase; // newest record in the job topic, or being written; none: no record
    bool hasRunsInJobTopic = false; // where an earlier version has written them
    bool hasStoredRuns = false; // a record in the runs topic exists or is being written
    JobHistory history;

    bool isEnded() const { return cancelled || failed || completed; }
    int occurrenceCount() const { return submission.repeatCount > 0 ? submission.repeatCount : 1; }

    /// Returns from when on the tasks of @p occurrence may run.
    WallTime releaseTime(int occurrence) const
    {
        return submission.repeatCount == 0 ? acceptedAt : WallTime(std::chrono::milliseconds(submission.startAtMs + occurrence * submission.intervalMs));
    }

    const Wire::TaskStep &step(int index) const { return submission.steps[static_cast<std::size_t>(index)]; }

    /// Returns the task of @p id, which belongs to this job, or its step, or a null pointer if it does not exist (any more).
    TaskExecution *findTask(const TaskId &id);
    StepExecution *findStep(const TaskId &id);
};

} // namespace Hyssop
