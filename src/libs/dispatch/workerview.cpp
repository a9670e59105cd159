#include "workerview.h"

namespace Hyssop {

// Share of its declared processor time that a filling task uses in the mean.
constexpr double FillingLoad = 0.85;

void WorkerView::addRun(const TaskId &task, const RunUse &use)
{
    removeRun(task);
    runs.emplace(task, use);
    committed += use.counted;
    idleCommitted += use.idleMilliCores;
    servingCommitted += use.servingMilliCores;
    outlook.at = TimePoint();
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
    outlook.at = TimePoint();
}

bool WorkerView::takesWork(const std::set<std::string> &evacuatedDomains) const
{
    return listed && !info.draining && clock && failedPolls == 0 && !evacuatedDomains.contains(info.failureDomain);
}

std::int64_t WorkerView::expectedIdle(const ServingOutlook &next) const
{
    const std::int64_t counted = committed.milliCores - servingCommitted;
    const auto filling = static_cast<std::int64_t>(static_cast<double>(idleCommitted - next.endingMilliCores) * FillingLoad);
    return info.capacity.milliCores - counted - next.milliCores - filling;
}

} // namespace Hyssop
