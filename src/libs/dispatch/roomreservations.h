#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Hyssop {

class WorkerRanking;
struct PlacementRequest;
struct WorkerState;

/// Decides for which waiting tasks workers are kept free until their room is in one piece.
///
/// Load pattern: more short tasks wait than there is room for, and the largest need several times as much as the smallest.
/// Each piece that becomes free is taken by a small task at once, so a large one never finds its room, although it is the next in
/// the scheduling order. The first steps in the order whose tasks find no worker therefore reserve the workers that lack least of
/// the room. Less urgent tasks start there only where they leave the reserved room, also those of jobs that were started before.
/// Serving tasks that have lost their run reserve room as well, because short tasks and smaller serving tasks would take it.
///
/// Invariant: what is reserved becomes free when the short tasks that run on the worker have ended, and a more urgent step is
/// never kept from a worker by a less urgent one.
class RoomReservations
{
public:
    /// Begins a scheduling pass, in which steps are considered in their order. Reservations that are not renewed in it end with it.
    void beginPass();

    /// Reserves workers for @p tasks tasks of the step of @p request, which have found none. Only a part of the workers is reserved,
    /// preferably those of the last pass, and only a few steps are considered in a pass.
    void reserve(const WorkerRanking &ranking, const PlacementRequest &request, std::size_t tasks);

    /// Returns true if a task of @p request may take room of @p worker.
    bool allows(const WorkerState &worker, const PlacementRequest &request) const;

private:
    /// Returns true if room of @p worker is reserved: in this pass, or in the last one and not given up since.
    bool holds(const WorkerState &worker) const;

    std::uint64_t m_pass = 0;
    std::map<std::string, std::size_t> m_reserved; // number of workers by pool, in this pass
    int m_searches = 0; // in this pass
    int m_searchedSteps = 0; // for which a worker was suitable
};

} // namespace Hyssop
