#pragma once

#include "workerview.h"

#include "hyssop_types.h"

#include <utils/clock.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

class SharingRule;
class ShortTaskReserve;

/// Conditions on the worker of one task.
struct PlacementWish
{
    const Wire::TaskStep *step = nullptr;
    std::string service;
    std::string rack; // only this rack; empty: any
    const std::map<std::string, std::string> *tickets = nullptr; // only these workers, by id; null: any
    const RunUse *use = nullptr; // what the task uses
    const std::map<std::string, int> *tasksOfStep = nullptr; // open tasks of the same step by worker
};

/// Returns what a task of @p step uses on its worker.
RunUse useOf(const Wire::TaskStep &step, int run);

/// Decides where a task runs.
///
/// Load pattern: serving tasks hold most of the counted capacity while filling tasks want what these leave idle. Counted
/// tasks go where most capacity is free; serving tasks are packed on few workers, which leaves others to the filling tasks
/// that disturb them. Filling tasks go where most processor time is idle and no serving task comes near its target.
class WorkerChoice
{
public:
    /// Takes a snapshot of the workers that may get work at @p now. The views and @p sharing must outlive this object.
    WorkerChoice(std::vector<WorkerView *> workers, const std::set<std::string> &evacuatedDomains, const SharingRule &sharing, TimePoint now);

    /// Returns the best worker, or a null pointer if none fits now.
    WorkerView *choose(const PlacementWish &wish) const;

    /// A worker that fits, with its score.
    using Candidate = std::pair<std::int64_t, WorkerView *>;

    /// Returns all workers that fit, as a heap. Wishes that are no smaller than one that found no worker find none at once.
    std::vector<Candidate> rank(const PlacementWish &wish);

    /// Returns the best of @p candidates, whose scores may be out of date, or a null pointer. The worker stays in the heap.
    WorkerView *takeBest(std::vector<Candidate> &candidates, const PlacementWish &wish) const;

    /// Returns true if the reserve for short tasks stays free after a serving task has begun to use @p use.
    bool hasRoomForServing(const std::string &service, const RunUse &use, const ShortTaskReserve &reserve) const;

    /// Returns racks in the order of their free processor capacity, most first.
    std::vector<std::string> racksByRoom(const std::string &service) const;

private:
    bool fits(WorkerView &worker, const PlacementWish &wish) const;
    bool sharesWell(WorkerView &worker, const PlacementWish &wish) const;

    std::int64_t score(WorkerView &worker, const PlacementWish &wish) const;
    std::int64_t servingScore(const WorkerView &worker, const PlacementWish &wish) const;
    std::int64_t fillingScore(WorkerView &worker, const PlacementWish &wish) const;

    /// Returns the outlook of the worker's serving runs, which is computed again when it is out of date.
    const ServingOutlook &outlookOf(WorkerView &worker) const;

    /// A wish without other conditions than its size that found no worker.
    struct Hopeless
    {
        std::string service;
        std::string label;
        RunUse use;
    };
    bool isHopeless(const PlacementWish &wish) const;
    void noteHopeless(const PlacementWish &wish);

    std::vector<WorkerView *> m_workers;
    std::vector<Hopeless> m_hopeless;
    const SharingRule &m_sharing;
    TimePoint m_now;
};

} // namespace Hyssop
