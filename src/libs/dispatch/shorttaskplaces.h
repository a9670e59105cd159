#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop {

class ShortTaskReserve;
struct WorkerState;

/// Capacity of a worker pool that serving tasks leave in places for short tasks. A worker is such a place if the largest short
/// task would fit beside its serving tasks.
///
/// Load pattern: serving tasks are started one after the other on a nearly full pool. Each leaves a sufficient sum of
/// capacity, but after a few of them only pieces are left.
class ShortTaskPlaces
{
public:
    ShortTaskPlaces(const std::vector<WorkerState *> &workers, const std::string &workerPool, const ShortTaskReserve &reserve);

    /// Returns true if the reserve stays free after the start of a serving task of @p milliCores on @p worker.
    bool allows(const WorkerState &worker, std::int64_t milliCores) const;

    /// Takes into account that a serving task of @p milliCores is about to be started on @p worker.
    void handleServingTask(const WorkerState &worker, std::int64_t milliCores);

    /// Returns the capacity that serving tasks may still take from the places; negative if they have taken too much.
    std::int64_t available() const { return m_inPlaces - m_reserved; }

private:
    /// Returns the capacity in places that a serving task of @p milliCores takes.
    std::int64_t reduction(const WorkerState &worker, std::int64_t milliCores) const;

    std::int64_t m_placeSize = 0;
    std::int64_t m_inPlaces = 0;
    std::int64_t m_reserved = 0;
};

} // namespace Hyssop
