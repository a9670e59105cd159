#include "shorttaskplaces.h"

#include "shorttaskreserve.h"
#include "workerstate.h"

#include <algorithm>

namespace Hyssop {

ShortTaskPlaces::ShortTaskPlaces(const std::vector<WorkerState *> &workers, const std::string &workerPool, const ShortTaskReserve &reserve)
{
    std::int64_t capacity = 0;
    std::int64_t largestWorker = 0;
    for (const WorkerState *worker : workers) {
        if (worker->info.workerPool == workerPool) {
            capacity += worker->info.capacity.milliCores;
            largestWorker = std::max(largestWorker, worker->info.capacity.milliCores);
        }
    }
    m_reserved = reserve.milliCores(workerPool, capacity);
    m_placeSize = std::min(reserve.placeSize(workerPool), largestWorker);
    for (const WorkerState *worker : workers) {
        if (worker->info.workerPool == workerPool) {
            const std::int64_t free = worker->info.capacity.milliCores - worker->servingCommitted;
            m_inPlaces += free >= m_placeSize ? free : 0;
        }
    }
}

bool ShortTaskPlaces::allows(const WorkerState &worker, std::int64_t milliCores) const
{
    const std::int64_t reduced = reduction(worker, milliCores);
    return reduced == 0 || m_inPlaces - reduced >= m_reserved;
}

void ShortTaskPlaces::handleServingTask(const WorkerState &worker, std::int64_t milliCores)
{
    m_inPlaces -= reduction(worker, milliCores);
}

std::int64_t ShortTaskPlaces::reduction(const WorkerState &worker, std::int64_t milliCores) const
{
    const std::int64_t free = worker.info.capacity.milliCores - worker.servingCommitted;
    if (free < m_placeSize) {
        return 0;
    }
    return free - milliCores >= m_placeSize ? milliCores : free;
}

} // namespace Hyssop
