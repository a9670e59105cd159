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
    bool hasChanges() const { return !m_changed.empty(); }

    /// Returns the jobs with changes and forgets the changes.
    std::vector<JobRun *> takeChanged();

    /// Returns the jobs that have not ended.
    std::vector<JobRun *> activeJobs();

    std::map<std::string, JobRun> &jobs() { return m_jobs; }

private:
    std::map<std::string, JobRun> m_jobs;
    std::set<std::string> m_active;
    std::set<std::string> m_changed;
};

} // namespace Hyssop
