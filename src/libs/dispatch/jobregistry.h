#pragma once

#include "jobexecution.h"
#include "pendingjobs.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
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

    bool isUrgent(const std::string &jobId) const { return m_urgent.contains(jobId) || m_urgentBestEffort.contains(jobId); }

    /// Returns a job with an urgent change and clears its marks, or a null pointer if there is none. Jobs with best-effort steps only come last,
    /// and only if @p includesBestEffort.
    JobExecution *takeUrgent(bool includesBestEffort = true);

    /// Returns true if a job that has other steps than best-effort ones has an urgent change.
    bool hasUrgent() const { return !m_urgent.empty(); }

    /// Begins a pass over all jobs that are marked as changed now. The previous pass must be finished.
    void beginPass();

    /// Returns the next job of the pass and clears its mark, or a null pointer at the end of the pass.
    JobExecution *takeNextOfPass();

    /// Returns true if the pass has jobs left.
    bool isPassUnfinished() const { return !m_pass.empty(); }

    /// Returns the jobs that a placement pass has to visit, as of now.
    const PendingJobs &pendingJobs();

    /// Takes into account that an occurrence of @p job was released.
    void markReleased(JobExecution &job) { m_pendingChanges.insert(&job); }

    /// Returns the jobs that have not ended.
    std::vector<JobExecution *> activeJobs();

    std::map<std::string, JobExecution> &jobs() { return m_jobs; }

private:
    /// Returns true if the counters of all steps and the jobs with pending tasks are as a search in all jobs finds them.
    bool arePendingJobsConsistent();

    std::map<std::string, JobExecution> m_jobs;
    std::unordered_map<std::string_view, JobExecution *> m_jobsById; // each report asks for the jobs of all its runs
    PendingJobs m_pendingJobs;
    std::set<JobExecution *> m_pendingChanges; // changed since m_pendingJobs was up to date
    std::set<std::string> m_active;
    std::set<std::string> m_changed; // since the begin of the pass
    std::set<std::string> m_urgent; // each is also changed or in the pass
    std::set<std::string> m_urgentBestEffort; // the same, of jobs that have only best-effort steps
    std::set<std::string> m_pass; // jobs that the pass has not reached yet
};

} // namespace Hyssop
