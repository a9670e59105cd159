#pragma once

#include "workerstate.h"

#include "hyssop_types.h"

#include <utils/clock.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

class ColocationPolicy;
class ShortTaskReserve;

/// Conditions on the worker of one task.
struct PlacementRequest
{
    const Wire::TaskStep *step = nullptr;
    std::string service;
    std::string rack; // only this rack; empty: any
    const std::map<std::string, std::string> *tickets = nullptr; // only these workers, by id; null: any
    const RunProfile *profile = nullptr; // what the task uses
    const std::map<std::string, int> *stepTasksByWorker = nullptr; // open tasks of the same step by worker
};

/// Returns what a task of @p step uses on its worker.
RunProfile profileOf(const Wire::TaskStep &step, int run);

/// Decides where a task runs.
///
/// Load pattern: serving tasks hold most of the counted capacity while filling tasks want what these leave idle. Counted
/// tasks go where most capacity is free; serving tasks are packed on few workers, which leaves others to the filling tasks
/// that disturb them. Filling tasks go where most processor time is idle and no serving task comes near its target.
class WorkerRanking
{
public:
    /// Takes a snapshot of the workers that may get work at @p now. The views and @p colocationPolicy must outlive this object.
    WorkerRanking(std::vector<WorkerState *> workers, const std::set<std::string> &evacuatedDomains, const ColocationPolicy &colocationPolicy, TimePoint now);

    /// Returns the best worker, or a null pointer if none fits now.
    WorkerState *choose(const PlacementRequest &request) const;

    /// A worker that fits, with its score.
    using Candidate = std::pair<std::int64_t, WorkerState *>;

    /// Returns all workers that fit, as a heap. Wishes that are no smaller than one that found no worker find none at once.
    std::vector<Candidate> rankCandidates(const PlacementRequest &request);

    /// Returns the best of @p candidates, whose scores may be out of date, or a null pointer. The worker stays in the heap.
    WorkerState *bestCandidate(std::vector<Candidate> &candidates, const PlacementRequest &request) const;

    /// Returns true if the reserve for short tasks stays free after a serving task has begun to use @p profile.
    bool leavesShortTaskReserve(const std::string &service, const RunProfile &profile, const ShortTaskReserve &reserve) const;

    /// Returns racks in the order of their free processor capacity, most first.
    std::vector<std::string> racksByFreeCapacity(const std::string &service) const;

private:
    bool fits(WorkerState &worker, const PlacementRequest &request) const;
    bool canColocate(WorkerState &worker, const PlacementRequest &request) const;

    std::int64_t score(WorkerState &worker, const PlacementRequest &request) const;
    std::int64_t servingScore(const WorkerState &worker, const PlacementRequest &request) const;
    std::int64_t bestEffortScore(WorkerState &worker, const PlacementRequest &request) const;

    /// Returns the outlook of the worker's serving runs, which is computed again when it is out of date.
    const ServingForecast &forecastOf(WorkerState &worker) const;

    /// A wish without other conditions than its size that found no worker.
    struct UnschedulableRequest
    {
        std::string service;
        std::string label;
        RunProfile profile;
    };
    bool isUnschedulable(const PlacementRequest &request) const;
    void recordUnschedulable(const PlacementRequest &request);

    std::vector<WorkerState *> m_workers;
    std::vector<UnschedulableRequest> m_unschedulable;
    const ColocationPolicy &m_colocation;
    TimePoint m_now;
};

} // namespace Hyssop
