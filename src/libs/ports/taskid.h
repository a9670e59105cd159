#pragma once

#include <compare>
#include <string>

namespace Hyssop {

/// Names one task: a job, its occurrence, a step and the task's index in it (all from 0).
struct TaskId
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskId &other) const = default;

    /// For logs.
    std::string toString() const { return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index); }
};

} // namespace Hyssop
