#include "jobregistry.h"

#include "jobprogress.h"
#include "taskkind.h"

#include <jobtopic/jobtable.h>
#include <ports/taskid.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Hyssop {

void JobRegistry::clear()
{
    m_pendingJobs.clear();
    m_pendingChanges.clear();
    m_jobsById.clear();
    m_jobs.clear();
    m_active.clear();
    m_changed.clear();
    m_urgent.clear();
    m_urgentBestEffort.clear();
    m_pass.clear();
}

JobExecution &JobRegistry::add(const std::string &jobId, const TopicJob &entry)
{
    if (JobExecution *known = find(jobId)) {
        return *known;
    }
    const auto item = m_jobs.emplace(jobId, restoreJob(jobId, entry)).first;
    JobExecution &job = item->second;
    m_jobsById.emplace(item->first, &job);
    if (!job.isEnded()) {
        m_active.insert(jobId);
        m_pendingChanges.insert(&job);
    }
    return job;
}

void JobRegistry::remove(const std::string &jobId)
{
    if (JobExecution *job = find(jobId)) {
        m_pendingJobs.remove(*job);
        m_pendingChanges.erase(job);
    }
    m_jobsById.erase(jobId);
    m_jobs.erase(jobId);
    m_active.erase(jobId);
    m_changed.erase(jobId);
    m_urgent.erase(jobId);
    m_urgentBestEffort.erase(jobId);
    m_pass.erase(jobId);
}

JobExecution *JobRegistry::find(const std::string &jobId)
{
    const auto job = m_jobsById.find(jobId);
    return job != m_jobsById.end() ? job->second : nullptr;
}

StepExecution *JobRegistry::stepOf(const TaskId &id)
{
    JobExecution *job = find(id.job);
    return job != nullptr ? job->findStep(id) : nullptr;
}

TaskExecution *JobRegistry::task(const TaskId &id)
{
    JobExecution *job = find(id.job);
    return job != nullptr ? job->findTask(id) : nullptr;
}

void JobRegistry::markChanged(JobExecution &job)
{
    m_changed.insert(job.id);
    m_pendingChanges.insert(&job);
}

void JobRegistry::markUrgent(JobExecution &job)
{
    markChanged(job);
    (hasUrgentStep(job.submission) ? m_urgent : m_urgentBestEffort).insert(job.id);
}

JobExecution *JobRegistry::takeUrgent(bool includesBestEffort)
{
    std::set<std::string> &jobs = m_urgent.empty() && includesBestEffort ? m_urgentBestEffort : m_urgent;
    if (jobs.empty()) {
        return nullptr;
    }
    const std::string jobId = std::move(jobs.extract(jobs.begin()).value());
    m_changed.erase(jobId);
    m_pass.erase(jobId);
    return find(jobId);
}

void JobRegistry::beginPass()
{
    m_pass = std::exchange(m_changed, {});
}

JobExecution *JobRegistry::takeNextOfPass()
{
    if (m_pass.empty()) {
        return nullptr;
    }
    return find(m_pass.extract(m_pass.begin()).value());
}

const PendingJobs &JobRegistry::pendingJobs()
{
    for (JobExecution *job : std::exchange(m_pendingChanges, {})) {
        m_pendingJobs.update(*job);
    }
    assert(arePendingJobsConsistent());
    return m_pendingJobs;
}

bool JobRegistry::arePendingJobsConsistent()
{
    PendingJobs expected;
    for (JobExecution *job : activeJobs()) {
        for (const auto &[occurrence, steps] : job->occurrences) {
            if (!std::ranges::all_of(steps, &StepExecution::isConsistent)) {
                return false;
            }
        }
        expected.update(*job);
    }
    return m_pendingJobs == expected;
}

std::vector<JobExecution *> JobRegistry::activeJobs()
{
    std::vector<JobExecution *> active;
    for (auto id = m_active.begin(); id != m_active.end();) {
        JobExecution *job = find(*id);
        if (job == nullptr || job->isEnded()) {
            id = m_active.erase(id);
            continue;
        }
        active.push_back(job);
        ++id;
    }
    return active;
}

} // namespace Hyssop
