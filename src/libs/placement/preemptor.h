#pragma once

#include "placementstate.h"

#include <optional>
#include <vector>

namespace Hyssop::Internal {

/// Batch tasks of one worker that make room for a waiting task.
struct Preemption
{
    std::uint32_t worker = NoId;
    std::vector<std::uint32_t> victims; // may be empty if enough is being freed already
    double cost = 0;
};

/// Chooses which batch tasks give way to an urgent or service task, and which task is evicted beside a slow service.
class Preemptor
{
public:
    explicit Preemptor(PlacementState &state)
        : m_state(state)
    {
    }

    /// Returns the cheapest preemption among a bounded random sample of workers. Protected tasks are chosen only for
    /// urgent tasks and only if nothing else frees enough.
    std::optional<Preemption> choose(std::uint32_t task, const Resources &amount);

    /// Returns the unprotected batch task of @p worker with the largest effect on its services, or None.
    std::uint32_t mostInterfering(std::uint32_t worker) const;

    /// Returns the effect of a batch task on the services beside it.
    double interferenceOf(std::uint32_t task) const;

    /// Returns true if the task is near its end or would lose much work: it has no checkpoint after having run a while.
    bool isProtected(std::uint32_t task) const;

private:
    std::optional<Preemption> victimsOn(std::uint32_t worker, const Resources &amount, bool includeProtected) const;
    double lostWork(std::uint32_t task) const;

    PlacementState &m_state;
};

} // namespace Hyssop::Internal
