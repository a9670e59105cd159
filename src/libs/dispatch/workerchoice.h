#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

struct RunUse;
struct WorkerView;

/// Conditions on the worker of one task.
struct PlacementWish
{
    const Wire::TaskStep *step = nullptr;
    std::string service;
    std::string rack; // only this rack; empty: any
    const std::map<std::string, std::string> *tickets = nullptr; // only these workers, by id; null: any
    const std::map<std::string, int> *tasksOfStep = nullptr; // open tasks of the same step by worker
};

/// Returns what a task of @p step uses on its worker.
RunUse useOf(const Wire::TaskStep &step, int run);

/// Decides where a task runs.
///
/// Load pattern: serving tasks hold most of the counted capacity while filling tasks want what these leave idle. Counted
/// tasks go where most capacity is free. Filling tasks go where most processor time is idle, and not where the serving
/// tasks are already slow.
class WorkerChoice
{
public:
    /// Takes a snapshot of the workers that may get work at @p now. The views must outlive this object.
    WorkerChoice(std::vector<WorkerView *> workers, const std::set<std::string> &evacuatedDomains, TimePoint now);

    /// Returns the best worker, or a null pointer if none fits now.
    WorkerView *choose(const PlacementWish &wish) const;

    /// Returns racks in the order of their free processor capacity, most first.
    std::vector<std::string> racksByRoom(const std::string &service) const;

private:
    bool fits(const WorkerView &worker, const PlacementWish &wish) const;

    std::vector<WorkerView *> m_workers;
    TimePoint m_now;
};

} // namespace Hyssop
