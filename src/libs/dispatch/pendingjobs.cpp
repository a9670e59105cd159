#include "pendingjobs.h"

#include "jobexecution.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

static bool hasReadyPendingTask(const JobExecution &job, const std::vector<StepExecution> &steps)
{
    for (std::size_t index = 0; index < steps.size(); ++index) {
        if (steps[index].pending > 0 && isReady(steps, job.submission.steps[index])) {
            return true;
        }
    }
    return false;
}

static bool isPending(const JobExecution &job)
{
    if (job.isEnded()) {
        return false;
    }
    const bool hasUnreleased = job.finishedOccurrences + static_cast<int>(job.occurrences.size()) < job.occurrenceCount();
    return hasUnreleased || std::ranges::any_of(job.occurrences, [&](const auto &item) { return hasReadyPendingTask(job, item.second); });
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
    m_demandOfJobs.clear();
    m_shortTaskDemand.clear();
}

void PendingJobs::update(JobExecution &job)
{
    if (Internal::isPending(job)) {
        m_jobs.insert(&job);
    } else {
        m_jobs.erase(&job);
    }
    setShortTaskDemand(job, Internal::shortTaskDemandOf(job));
}

void PendingJobs::remove(JobExecution &job)
{
    m_jobs.erase(&job);
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
