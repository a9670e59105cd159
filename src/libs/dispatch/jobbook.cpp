#include "jobbook.h"

#include "jobprogress.h"

#include <jobtopic/jobtable.h>
#include <ports/taskid.h>

#include <utility>

namespace Hyssop {

void JobBook::clear()
{
    m_jobs.clear();
    m_active.clear();
    m_changed.clear();
    m_urgent.clear();
}

JobRun &JobBook::add(const std::string &jobId, const JobEntry &entry)
{
    if (JobRun *known = find(jobId)) {
        return *known;
    }
    JobRun &job = m_jobs.emplace(jobId, restoreJob(jobId, entry)).first->second;
    if (!job.isEnded()) {
        m_active.insert(jobId);
    }
    return job;
}

void JobBook::remove(const std::string &jobId)
{
    m_jobs.erase(jobId);
    m_active.erase(jobId);
    m_changed.erase(jobId);
    m_urgent.erase(jobId);
}

JobRun *JobBook::find(const std::string &jobId)
{
    const auto job = m_jobs.find(jobId);
    return job != m_jobs.end() ? &job->second : nullptr;
}

StepRun *JobBook::stepOf(const TaskId &id)
{
    JobRun *job = find(id.job);
    if (job == nullptr) {
        return nullptr;
    }
    const auto steps = job->occurrences.find(id.occurrence);
    if (steps == job->occurrences.end() || id.step < 0 || id.step >= static_cast<int>(steps->second.size())) {
        return nullptr;
    }
    return &steps->second[static_cast<std::size_t>(id.step)];
}

TaskRun *JobBook::task(const TaskId &id)
{
    StepRun *step = stepOf(id);
    if (step == nullptr || id.index < 0 || id.index >= static_cast<int>(step->tasks.size())) {
        return nullptr;
    }
    return &step->tasks[static_cast<std::size_t>(id.index)];
}

void JobBook::markChanged(JobRun &job)
{
    m_changed.insert(job.id);
}

void JobBook::markUrgent(JobRun &job)
{
    markChanged(job);
    m_urgent.insert(job.id);
}

std::vector<JobRun *> JobBook::takeChanged()
{
    m_urgent.clear();
    return jobsOf(std::exchange(m_changed, {}));
}

std::vector<JobRun *> JobBook::takeUrgent()
{
    const std::set<std::string> taken = std::exchange(m_urgent, {});
    for (const std::string &jobId : taken) {
        m_changed.erase(jobId);
    }
    return jobsOf(taken);
}

std::vector<JobRun *> JobBook::jobsOf(const std::set<std::string> &ids)
{
    std::vector<JobRun *> jobs;
    for (const std::string &jobId : ids) {
        if (JobRun *job = find(jobId)) {
            jobs.push_back(job);
        }
    }
    return jobs;
}

std::vector<JobRun *> JobBook::activeJobs()
{
    std::vector<JobRun *> active;
    for (auto id = m_active.begin(); id != m_active.end();) {
        JobRun *job = find(*id);
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
