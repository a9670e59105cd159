#pragma once

#include "jobexecution.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

struct JobEntry;
struct TaskId;

/// The jobs that the owner knows, by id.
class JobRegistry
{
public:
    void clear();

    /// Adds a job from the job topic. Returns the present one if it is known.
    JobExecution &add(const std::string &jobId, const JobEntry &entry);

    void remove(const std::string &jobId);

    JobExecution *find(const std::string &jobId);

    /// Returns a task, or a null pointer if there is no such one (any more).
    TaskExecution *task(const TaskId &id);
    StepExecution *stepOf(const TaskId &id);

    /// Notes that the durable progress of @p job is behind.
    void markChanged(JobExecution &job);

    /// The same for a change that somebody waits for: an intent, or the end of the job.
    void markUrgent(JobExecution &job);

    /// Returns the jobs with changes, or those with urgent ones only, and forgets their changes.
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
    std::set<std::string> m_urgent; // part of m_changed
};

} // namespace Hyssop
