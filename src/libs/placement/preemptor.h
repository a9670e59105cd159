#pragma once

#include "placementstate.h"

#include <optional>
#include <vector>

namespace Hyssop::Internal {

/// Batch tasks on one worker to evict for a pending task.
struct Preemption
{
    std::uint32_t worker = NoId;
    std::vector<std::uint32_t> victims; // empty if evictions in progress already free enough
    double cost = 0;
};

/// Chooses the batch tasks to evict for an urgent or service task, or to relieve a service that exceeds its objective.
class Preemptor
{
public:
    explicit Preemptor(PlacementState &state)
        : m_state(state)
    {
    }

    /// Returns the cheapest preemption among a bounded random sample of workers. Protected tasks are evicted only for urgent
    /// tasks, and only if evicting the others does not free enough.
    std::optional<Preemption> choose(std::uint32_t task, const Resources &amount);

    /// Returns the unprotected batch task with the largest effect on the services of @p worker, or NoId.
    std::uint32_t mostInterfering(std::uint32_t worker) const;

    /// Returns the effect of a batch task on the services colocated with it.
    double interferenceOf(std::uint32_t task) const;

    /// Returns true if the task has almost finished, or if its eviction would lose much work because it has no checkpoint.
    bool isProtected(std::uint32_t task) const;

private:
    std::optional<Preemption> victimsOn(std::uint32_t worker, const Resources &amount, bool includeProtected) const;
    double lostWork(std::uint32_t task) const;

    PlacementState &m_state;
};

} // namespace Hyssop::Internal
