#pragma once

namespace Hyssop {

namespace Wire {
class TaskStep;
}

/// What a task needs processor time for.
enum class TaskKind {
    Reserved, // processor capacity until the task has completed
    BestEffort, // what other tasks leave idle
    Serving, // processor capacity until the job is cancelled
};

TaskKind kindOf(const Wire::TaskStep &step);

} // namespace Hyssop
