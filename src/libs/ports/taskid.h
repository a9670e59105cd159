#pragma once

#include <string>
#include <tuple>

namespace Hyssop {

/// Identifies a task by job, occurrence of the job, step, and index of the task within the step. Numbers start at 0.
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

    /// Returns "JOB.OCCURRENCE.STEP.INDEX".
    std::string toString() const { return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index); }
};

} // namespace Hyssop
