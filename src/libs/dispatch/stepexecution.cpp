#include "stepexecution.h"

#include "hyssop_types.h"

#include <algorithm>

namespace Hyssop {

void StepExecution::addTasks(std::size_t count)
{
    tasks.resize(tasks.size() + count);
    pending += static_cast<int>(count);
}

void StepExecution::setPhase(TaskExecution &task, TaskPhase phase)
{
    const int wasDone = task.phase == TaskPhase::Done ? 1 : 0;
    const int isDone = phase == TaskPhase::Done ? 1 : 0;
    pending += (phase == TaskPhase::Pending ? 1 : 0) - (task.phase == TaskPhase::Pending ? 1 : 0);
    done += isDone - wasDone;
    started -= task.run > 0 ? isDone - wasDone : 0;
    if (phase == TaskPhase::Pending) {
        latestNotBefore = std::max(latestNotBefore, task.notBefore);
    }
    // A start that has failed does not end the wait.
    if (phase == TaskPhase::Done || (task.isOpen() && task.startConfirmed)) {
        waitingSince.reset();
    }
    task.phase = phase;
}

void StepExecution::setRun(TaskExecution &task, int run)
{
    if (task.phase != TaskPhase::Done) {
        started += (run > 0 ? 1 : 0) - (task.run > 0 ? 1 : 0);
    }
    hasBegun = hasBegun || run > 0;
    task.run = run;
}

void StepExecution::setFailures(TaskExecution &task, int failures)
{
    task.failures = failures;
    maximumFailures = std::max(maximumFailures, failures);
}

void StepExecution::updateWaiting(TimePoint now)
{
    if (openTasks() == 0) {
        waitingSince = waitingSince.value_or(now);
    } else if (std::ranges::any_of(tasks, [](const TaskExecution &task) { return task.phase == TaskPhase::Running; })) {
        waitingSince.reset();
    }
}

bool StepExecution::hasPendingTask(TimePoint now) const
{
    if (pending == 0) {
        return false;
    }
    const auto isDue = [&](const TaskExecution &task) { return task.phase == TaskPhase::Pending && task.notBefore <= now; };
    return now >= latestNotBefore || std::ranges::any_of(tasks, isDue);
}

bool StepExecution::isConsistent() const
{
    const auto hasPhase = [](TaskPhase phase) { return [phase](const TaskExecution &task) { return task.phase == phase; }; };
    const auto isStarted = [](const TaskExecution &task) { return task.run > 0 && task.phase != TaskPhase::Done; };
    const auto isWithinBounds = [&](const TaskExecution &task) {
        return task.failures <= maximumFailures && (hasBegun || task.run == 0) && (task.phase != TaskPhase::Pending || task.notBefore <= latestNotBefore);
    };
    return pending == std::ranges::count_if(tasks, hasPhase(TaskPhase::Pending)) && done == std::ranges::count_if(tasks, hasPhase(TaskPhase::Done))
        && started == std::ranges::count_if(tasks, isStarted) && std::ranges::all_of(tasks, isWithinBounds);
}

bool isReady(const std::vector<StepExecution> &steps, const Wire::TaskStep &step)
{
    return std::ranges::all_of(step.after, [&](std::int32_t earlier) {
        const auto index = static_cast<std::size_t>(earlier);
        return index >= steps.size() || steps[index].isDone();
    });
}

std::map<std::string, int> openTasksByWorker(const StepExecution &step)
{
    std::map<std::string, int> counts;
    for (const TaskExecution &task : step.tasks) {
        if (task.isOpen()) {
            ++counts[task.worker];
        }
    }
    return counts;
}

std::map<std::string, int> limitedTasksByWorker(const Wire::TaskStep &step, const StepExecution &execution)
{
    return step.perWorker > 0 ? openTasksByWorker(execution) : std::map<std::string, int>();
}

} // namespace Hyssop
