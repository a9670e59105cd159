#pragma once

namespace Hyssop {

namespace Wire {
class StepJob;
class TaskStep;
} // namespace Wire

/// What a task needs processor time for.
enum class TaskKind {
    Reserved, // processor capacity until the task has completed
    BestEffort, // what other tasks leave idle
    Serving, // processor capacity until the job is cancelled
};

TaskKind kindOf(const Wire::TaskStep &step);

/// Returns true if a task of @p step comes before best-effort tasks: it serves, or reserves capacity until it has completed.
bool isUrgent(const Wire::TaskStep &step);

/// Returns true if @p job has a step with such tasks.
bool hasUrgentStep(const Wire::StepJob &job);

} // namespace Hyssop
