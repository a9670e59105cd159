#pragma once

#include <string>
#include <tuple>

namespace Hyssop {

/// Names one task: a job, its occurrence, a step and the task's index in it (all from 0).
struct TaskId
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    bool operator==(const TaskId &other) const = default;
    bool operator<(const TaskId &other) const
    {
        return std::tie(job, occurrence, step, index) < std::tie(other.job, other.occurrence, other.step, other.index);
    }

    /// For logs.
    std::string toString() const { return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index); }
};

} // namespace Hyssop
