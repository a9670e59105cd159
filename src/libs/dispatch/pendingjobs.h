#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Hyssop {

struct JobExecution;

/// Selects the jobs that a placement pass has to visit, and sums up what short tasks need.
///
/// Load pattern: most tasks of the active jobs run or wait for an earlier step. Only jobs that change are examined again.
class PendingJobs
{
public:
    bool operator==(const PendingJobs &other) const = default;

    /// Processor time that the ready short tasks of a queue need.
    struct ShortTaskDemand
    {
        std::int64_t milliCores = 0; // of running and pending tasks
        std::map<std::int64_t, int> stepsBySize; // number of steps by the size of their tasks in thousandths of a core
        int steps = 0; // that are ready

        bool operator==(const ShortTaskDemand &other) const = default;

        std::int64_t smallestTask() const { return stepsBySize.empty() ? 0 : stepsBySize.begin()->first; }
        std::int64_t largestTask() const { return stepsBySize.empty() ? 0 : stepsBySize.rbegin()->first; }
    };

    void clear();

    /// Takes into account that the tasks, the occurrences or the state of @p job have changed.
    void update(JobExecution &job);

    void remove(JobExecution &job);

    /// Returns the jobs that have a pending task in a ready step, or an occurrence that is not released yet.
    const std::set<JobExecution *> &jobs() const { return m_jobs; }

    /// Returns those of jobs() that have such a task in a step that is not best-effort, or an occurrence that is not released yet.
    const std::set<JobExecution *> &urgentJobs() const { return m_urgentJobs; }

    /// Returns what the ready short tasks need, by queue.
    const std::map<std::string, ShortTaskDemand> &shortTaskDemand() const { return m_shortTaskDemand; }

private:
    void setShortTaskDemand(JobExecution &job, const ShortTaskDemand &demand);

    std::set<JobExecution *> m_jobs;
    std::set<JobExecution *> m_urgentJobs;
    std::map<JobExecution *, ShortTaskDemand> m_demandOfJobs; // of jobs with ready short tasks
    std::map<std::string, ShortTaskDemand> m_shortTaskDemand; // by queue
};

} // namespace Hyssop
