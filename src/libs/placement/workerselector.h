#pragma once

#include "placementstate.h"

namespace Hyssop::Internal {

enum class SelectionOutcome : std::uint8_t {
    Found,
    NoCapacity, // the task fits on no worker
    Unsuitable, // on all examined workers the task would slow a service too much, or it failed there before
};

struct Selection
{
    SelectionOutcome outcome = SelectionOutcome::NoCapacity;
    std::uint32_t worker = NoId;
};

/// Chooses the worker for a task among a bounded random sample of the workers on which it fits.
class WorkerSelector
{
public:
    explicit WorkerSelector(PlacementState &state)
        : m_state(state)
    {
    }

    Selection select(std::uint32_t task, const Resources &amount, TimePoint now);

    /// Returns true if @p task may run on @p worker, regardless of free capacity.
    bool permitted(const TaskRecord &task, std::uint32_t worker) const;

private:
    /// Returns the cost of placing @p task on @p worker; infinite if this is not allowed.
    double cost(const TaskRecord &task, std::uint32_t worker, bool explore, double effectLimitFactor) const;
    double batchCost(const TaskRecord &task, std::uint32_t worker, bool explore, double effectLimitFactor) const;
    double serviceCost(const TaskRecord &task, std::uint32_t worker) const;

    PlacementState &m_state;
};

} // namespace Hyssop::Internal
