#pragma once

#include "workerstate.h"

#include "hyssop_types.h"

#include <utils/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Hyssop {

class WorkerRanking;
struct PlacementRequest;

/// Remembers requests for which no worker was suitable, across scheduling passes.
///
/// Load pattern: tasks wait for room in hundreds of steps, while a few workers gain room between two passes. A request finds no
/// worker if a similar one that is not larger has found none, and no worker has gained room for that one since. Only the workers that
/// gained room are examined for it, and all workers after a bounded time, because forecasts and quarantines change with time.
class UnschedulableRequests
{
public:
    void clear();

    /// Begins a pass. Forgets the requests that fit a worker that has gained room or become selectable since the last pass, and
    /// those that are too old.
    void beginPass(const WorkerRanking &ranking, TimePoint now);

    /// Returns true if no worker is suitable for @p request.
    bool contains(const PlacementRequest &request) const;

    /// Adds @p request, for which no worker is suitable. Its rack, tickets and limit per worker must not be the reason.
    void record(const PlacementRequest &request, TimePoint now);

private:
    /// Conditions that are the same for similar requests.
    struct Kind
    {
        std::string workerPool;
        std::string label;
        bool isBestEffort = false;
        bool isOverdue = false; // of best-effort tasks, for which a reduced speed is sufficient
        std::uint32_t image = 0; // of best-effort tasks, which interfere with serving tasks

        bool operator<(const Kind &other) const
        {
            return std::tie(workerPool, label, isBestEffort, isOverdue, image)
                < std::tie(other.workerPool, other.label, other.isBestEffort, other.isOverdue, other.image);
        }
    };

    struct Entry
    {
        Wire::TaskStep step; // without a limit per worker
        RunProfile profile;
        TimePoint recordedAt{};
    };

    static Kind kindOf(const PlacementRequest &request);
    static bool isTooOld(const Kind &kind, const Entry &entry, TimePoint now);

    /// Returns true if a request of @p right needs at least the resources of @p left.
    static bool needsNoMore(const RunProfile &left, const RunProfile &right);

    /// Returns the workers that have gained room or become selectable since the last pass.
    std::vector<WorkerState *> workersWithNewRoom(const WorkerRanking &ranking);

    std::map<Kind, std::vector<Entry>> m_entries;
    std::size_t m_entryCount = 0;
    std::uint64_t m_pass = 0;
};

} // namespace Hyssop
