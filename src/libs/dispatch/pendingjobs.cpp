#include "pendingjobs.h"

#include "jobexecution.h"
#include "taskkind.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

/// What a job waits for.
struct PendingState
{
    bool isPending = false; // a ready step has a pending task, or an occurrence is not released
    bool isUrgent = false; // the same without best-effort steps and jobs that have no others
};

static PendingState pendingStateOf(const JobExecution &job)
{
    if (job.isEnded()) {
        return {};
    }
    const bool hasUnreleased = job.finishedOccurrences + static_cast<int>(job.occurrences.size()) < job.occurrenceCount();
    PendingState state{hasUnreleased, hasUnreleased && hasUrgentStep(job.submission)};
    for (const auto &[occurrence, steps] : job.occurrences) {
        for (std::size_t index = 0; index < steps.size(); ++index) {
            const Wire::TaskStep &step = job.submission.steps[index];
            if (steps[index].pending > 0 && isReady(steps, step)) {
                state.isPending = true;
                state.isUrgent = state.isUrgent || isUrgent(step);
            }
        }
    }
    return state;
}

static void setMember(std::set<JobExecution *> &jobs, JobExecution &job, bool isMember)
{
    if (isMember) {
        jobs.insert(&job);
    } else {
        jobs.erase(&job);
    }
}

static PendingJobs::ShortTaskDemand shortTaskDemandOf(const JobExecution &job)
{
    PendingJobs::ShortTaskDemand demand;
    if (job.isEnded()) {
        return demand;
    }
    for (const auto &[occurrence, steps] : job.occurrences) {
        for (std::size_t index = 0; index < steps.size(); ++index) {
            const Wire::TaskStep &step = job.submission.steps[index];
            if (!step.longRunning && !step.fillsIdle && !steps[index].isDone() && isReady(steps, step)) {
                ++demand.stepsBySize[step.milliCores];
                demand.milliCores += step.milliCores * (step.taskCount - steps[index].done);
                ++demand.steps;
            }
        }
    }
    return demand;
}

} // namespace Internal

void PendingJobs::clear()
{
    m_jobs.clear();
    m_urgentJobs.clear();
    m_demandOfJobs.clear();
    m_shortTaskDemand.clear();
}

void PendingJobs::update(JobExecution &job)
{
    const Internal::PendingState state = Internal::pendingStateOf(job);
    Internal::setMember(m_jobs, job, state.isPending);
    Internal::setMember(m_urgentJobs, job, state.isUrgent);
    setShortTaskDemand(job, Internal::shortTaskDemandOf(job));
}

void PendingJobs::remove(JobExecution &job)
{
    m_jobs.erase(&job);
    m_urgentJobs.erase(&job);
    setShortTaskDemand(job, {});
}

void PendingJobs::setShortTaskDemand(JobExecution &job, const ShortTaskDemand &demand)
{
    const auto known = m_demandOfJobs.find(&job);
    if (known == m_demandOfJobs.end() && demand.steps == 0) {
        return;
    }
    const ShortTaskDemand previous = known != m_demandOfJobs.end() ? known->second : ShortTaskDemand();
    ShortTaskDemand &total = m_shortTaskDemand[job.submission.queue];
    total.milliCores += demand.milliCores - previous.milliCores;
    total.steps += demand.steps - previous.steps;
    for (const auto &[size, steps] : demand.stepsBySize) {
        total.stepsBySize[size] += steps;
    }
    for (const auto &[size, steps] : previous.stepsBySize) {
        total.stepsBySize[size] -= steps;
    }
    std::erase_if(total.stepsBySize, [](const auto &item) { return item.second == 0; });
    if (total.steps == 0) {
        m_shortTaskDemand.erase(job.submission.queue);
    }
    if (demand.steps > 0) {
        m_demandOfJobs[&job] = demand;
    } else {
        m_demandOfJobs.erase(known);
    }
}

} // namespace Hyssop
