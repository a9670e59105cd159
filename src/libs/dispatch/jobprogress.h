#pragma once

#include "hyssop_types.h"

#include <string>

namespace Hyssop {

struct JobEntry;
struct JobExecution;

/// Builds the owner's view of a job from the job topic. Open runs become TaskPhase::Ordered: the worker knows more.
JobExecution restoreJob(const std::string &jobId, const JobEntry &entry);

/// Adds an occurrence with all its steps to a job.
void addOccurrence(JobExecution &job, int occurrence);

/// Returns true if a run of the job may exist.
bool hasOpenRuns(const JobExecution &job);

/// Returns what has to be durable about a job. Of a job that has ended and has no open runs the phase is enough.
Wire::JobProgress progressOf(const JobExecution &job);

/// Returns what is left of the submission of a job that has ended: all that callers may still ask for.
Wire::StepJob compactedSubmission(const JobExecution &job);

} // namespace Hyssop
