#pragma once

#include "taskexecution.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

namespace Wire {
class TaskStep;
}

/// Execution state of a step in one occurrence of a job. The phase and the run number of a task are changed with setPhase() and
/// setRun(), except for changes between open phases.
struct StepExecution
{
    std::vector<TaskExecution> tasks;
    int done = 0;
    int pending = 0;
    int started = 0; // tasks that had a run and are not done
    bool hasBegun = false; // a task had a run
    bool isExpired = false; // the result of the job is worthless to its caller by now; see SchedulingKey
    int maximumFailures = 0; // of a task
    std::optional<TimePoint> readySince; // when this owner first found that a task may start
    std::optional<TimePoint> waitingSince; // since then no task has run; see updateWaiting()
    TimePoint latestNotBefore{}; // from then on, no pending task is held back by its notBefore

    /// Adds the tasks, which are pending.
    void addTasks(std::size_t count);

    void setPhase(TaskExecution &task, TaskPhase phase);
    void setRun(TaskExecution &task, int run);
    void setFailures(TaskExecution &task, int failures);

    /// Takes into account that a pending task may be started at @p now.
    void updateWaiting(TimePoint now);

    /// Returns the number of tasks that have a run now.
    int openTasks() const { return static_cast<int>(tasks.size()) - done - pending; }

    /// Returns true if a pending task may be started at @p now.
    bool hasPendingTask(TimePoint now) const;

    /// Returns true if the counters agree with the tasks.
    bool isConsistent() const;

    bool isDone() const { return done == static_cast<int>(tasks.size()); }
};

/// Returns true if all steps that @p step depends on are done.
bool isReady(const std::vector<StepExecution> &steps, const Wire::TaskStep &step);

/// Returns the number of open tasks of @p step by worker.
std::map<std::string, int> openTasksByWorker(const StepExecution &step);

/// Returns the same for @p execution if its definition, @p step, limits the number per worker, and nothing otherwise.
std::map<std::string, int> limitedTasksByWorker(const Wire::TaskStep &step, const StepExecution &execution);

} // namespace Hyssop
