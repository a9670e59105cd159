#include "workerview.h"

namespace Hyssop {

// Share of its declared processor time that a serving task uses on average.
constexpr int ServingUsePercent = 50;

void WorkerView::addRun(const TaskId &task, const RunUse &use)
{
    removeRun(task);
    runs.emplace(task, use);
    committed += use.counted;
    idleCommitted += use.idleMilliCores;
    servingCommitted += use.servingMilliCores;
}

void WorkerView::removeRun(const TaskId &task)
{
    const auto run = runs.find(task);
    if (run == runs.end()) {
        return;
    }
    committed -= run->second.counted;
    idleCommitted -= run->second.idleMilliCores;
    servingCommitted -= run->second.servingMilliCores;
    runs.erase(run);
}

bool WorkerView::takesWork(const std::set<std::string> &evacuatedDomains) const
{
    return listed && !info.draining && clock && failedPolls == 0 && !evacuatedDomains.contains(info.failureDomain);
}

std::int64_t WorkerView::expectedIdle() const
{
    const std::int64_t servingIdle = servingCommitted * (100 - ServingUsePercent) / 100;
    return info.capacity.milliCores - committed.milliCores + servingIdle - idleCommitted;
}

} // namespace Hyssop
