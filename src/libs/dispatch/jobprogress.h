#pragma once

#include "hyssop_types.h"

#include <string>

namespace Hyssop {

struct TopicJob;
struct JobExecution;

/// Restores the execution state of a job from the job topic and the runs topic. Open runs become TaskPhase::Starting, until the reports of
/// their workers tell their state.
JobExecution restoreJob(const std::string &jobId, const TopicJob &entry);

/// Returns true if another occurrence may be released. The others are released when earlier ones have ended, which bounds the
/// size of a job whose occurrences all are due.
bool canAddOccurrence(const JobExecution &job);

/// Adds an occurrence with all its steps to a job.
void addOccurrence(JobExecution &job, int occurrence);

/// Returns true if a run of the job may exist on a worker.
bool hasOpenRuns(const JobExecution &job);

/// Returns the progress of a job to store. For an ended job without open runs this is the phase only.
Wire::JobProgress progressOf(const JobExecution &job);

/// Returns the part of the progress that every instance reads.
Wire::JobProgress phaseOf(const Wire::JobProgress &progress);

/// Returns the submission of an ended job, reduced to what callers can still query.
Wire::StepJob compactedSubmission(const JobExecution &job);

} // namespace Hyssop
