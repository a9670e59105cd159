#pragma once

#include "hyssop_types.h"

#include <string>

namespace Hyssop {

struct JobEntry;
struct JobRun;

/// Builds the owner's view of a job from the job topic. Open runs become TaskPhase::Ordered: the worker knows more.
JobRun restoreJob(const std::string &jobId, const JobEntry &entry);

/// Adds an occurrence with all its steps to a job.
void addOccurrence(JobRun &job, int occurrence);

/// Returns what has to be durable about a job.
Wire::JobProgress progressOf(const JobRun &job);

} // namespace Hyssop
