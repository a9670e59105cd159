#include "jobregistry.h"

#include "jobprogress.h"

#include <jobtopic/jobtable.h>
#include <ports/taskid.h>

#include <utility>

namespace Hyssop {

void JobRegistry::clear()
{
    m_jobs.clear();
    m_active.clear();
    m_changed.clear();
    m_urgent.clear();
}

JobExecution &JobRegistry::add(const std::string &jobId, const TopicJob &entry)
{
    if (JobExecution *known = find(jobId)) {
        return *known;
    }
    JobExecution &job = m_jobs.emplace(jobId, restoreJob(jobId, entry)).first->second;
    if (!job.isEnded()) {
        m_active.insert(jobId);
    }
    return job;
}

void JobRegistry::remove(const std::string &jobId)
{
    m_jobs.erase(jobId);
    m_active.erase(jobId);
    m_changed.erase(jobId);
    m_urgent.erase(jobId);
}

JobExecution *JobRegistry::find(const std::string &jobId)
{
    const auto job = m_jobs.find(jobId);
    return job != m_jobs.end() ? &job->second : nullptr;
}

StepExecution *JobRegistry::stepOf(const TaskId &id)
{
    JobExecution *job = find(id.job);
    if (job == nullptr) {
        return nullptr;
    }
    const auto steps = job->occurrences.find(id.occurrence);
    if (steps == job->occurrences.end() || id.step < 0 || id.step >= static_cast<int>(steps->second.size())) {
        return nullptr;
    }
    return &steps->second[static_cast<std::size_t>(id.step)];
}

TaskExecution *JobRegistry::task(const TaskId &id)
{
    StepExecution *step = stepOf(id);
    if (step == nullptr || id.index < 0 || id.index >= static_cast<int>(step->tasks.size())) {
        return nullptr;
    }
    return &step->tasks[static_cast<std::size_t>(id.index)];
}

void JobRegistry::markChanged(JobExecution &job)
{
    m_changed.insert(job.id);
}

void JobRegistry::markUrgent(JobExecution &job)
{
    markChanged(job);
    m_urgent.insert(job.id);
}

std::vector<JobExecution *> JobRegistry::takeChanged()
{
    m_urgent.clear();
    return jobsOf(std::exchange(m_changed, {}));
}

std::vector<JobExecution *> JobRegistry::takeUrgent()
{
    const std::set<std::string> taken = std::exchange(m_urgent, {});
    for (const std::string &jobId : taken) {
        m_changed.erase(jobId);
    }
    return jobsOf(taken);
}

std::vector<JobExecution *> JobRegistry::jobsOf(const std::set<std::string> &ids)
{
    std::vector<JobExecution *> jobs;
    for (const std::string &jobId : ids) {
        if (JobExecution *job = find(jobId)) {
            jobs.push_back(job);
        }
    }
    return jobs;
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
