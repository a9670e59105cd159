#pragma once

#include "jobrun.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

struct JobEntry;
struct TaskId;

/// The jobs that the owner knows, by id.
class JobBook
{
public:
    void clear();

    /// Adds a job from the job topic. Returns the present one if it is known.
    JobRun &add(const std::string &jobId, const JobEntry &entry);

    void remove(const std::string &jobId);

    JobRun *find(const std::string &jobId);

    /// Returns a task, or a null pointer if there is no such one (any more).
    TaskRun *task(const TaskId &id);
    StepRun *stepOf(const TaskId &id);

    /// Notes that the durable progress of @p job is behind.
    void markChanged(JobRun &job);

    /// The same for a change that somebody waits for: an intent, or the end of the job.
    void markUrgent(JobRun &job);

    /// Returns the jobs with changes, or those with urgent ones only, and forgets their changes.
    std::vector<JobRun *> takeChanged();
    std::vector<JobRun *> takeUrgent();

    /// Returns the jobs that have not ended.
    std::vector<JobRun *> activeJobs();

    std::map<std::string, JobRun> &jobs() { return m_jobs; }

private:
    std::vector<JobRun *> jobsOf(const std::set<std::string> &ids);

    std::map<std::string, JobRun> m_jobs;
    std::set<std::string> m_active;
    std::set<std::string> m_changed;
    std::set<std::string> m_urgent; // part of m_changed
};

} // namespace Hyssop
