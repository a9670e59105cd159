#pragma once

#include "placementstate.h"

namespace Hyssop::Internal {

enum class SelectionOutcome : std::uint8_t {
    Found,
    NoCapacity, // no worker has room
    Unsuitable, // the examined workers with room would slow a service too much or failed the task before
};

struct Selection
{
    SelectionOutcome outcome = SelectionOutcome::NoCapacity;
    std::uint32_t worker = NoId;
};

/// Chooses the worker for a task among a bounded random sample of the workers with room for it.
class WorkerSelector
{
public:
    explicit WorkerSelector(PlacementState &state)
        : m_state(state)
    {
    }

    Selection select(std::uint32_t task, const Resources &amount, TimePoint now);

    /// Returns true if @p task may run on @p worker, room aside.
    bool permitted(const TaskRecord &task, std::uint32_t worker) const;

private:
    /// Returns the cost of the worker, lower is better; infinite if it must not be used.
    double cost(const TaskRecord &task, std::uint32_t worker, bool explore, double effectLimitFactor) const;
    double batchCost(const TaskRecord &task, std::uint32_t worker, bool explore, double effectLimitFactor) const;
    double serviceCost(const TaskRecord &task, std::uint32_t worker) const;

    PlacementState &m_state;
};

} // namespace Hyssop::Internal
