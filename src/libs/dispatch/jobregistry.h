#pragma once

#include "jobexecution.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

struct TopicJob;
struct TaskId;

/// All jobs that the owner knows, and which of them have changes to store.
class JobRegistry
{
public:
    void clear();

    /// Adds a job from the job topic. Returns the existing one if the id is known.
    JobExecution &add(const std::string &jobId, const TopicJob &entry);

    void remove(const std::string &jobId);

    JobExecution *find(const std::string &jobId);

    /// Returns the task or its step, or a null pointer if it does not exist (any more).
    TaskExecution *task(const TaskId &id);
    StepExecution *stepOf(const TaskId &id);

    /// Marks the stored progress of @p job as outdated.
    void markChanged(JobExecution &job);

    /// Does the same for a change that must not be delayed: an intent, or the end of the job.
    void markUrgent(JobExecution &job);

    /// Returns the jobs with changes, or only those with urgent ones, and clears their marks.
    std::vector<JobExecution *> takeChanged();
    std::vector<JobExecution *> takeUrgent();

    /// Returns the jobs that have not ended.
    std::vector<JobExecution *> activeJobs();

    std::map<std::string, JobExecution> &jobs() { return m_jobs; }

private:
    std::vector<JobExecution *> jobsOf(const std::set<std::string> &ids);

    std::map<std::string, JobExecution> m_jobs;
    std::set<std::string> m_active;
    std::set<std::string> m_changed;
    std::set<std::string> m_urgent; // subset of m_changed
};

} // namespace Hyssop
