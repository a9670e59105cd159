#include "freecapacityindex.h"

#include "workerstate.h"

namespace Hyssop {

FreeCapacityIndex::FreeCapacityIndex(const std::vector<WorkerState *> &workers)
{
    for (WorkerState *worker : workers) {
        m_entries[worker->info.workerPool].push_back({worker->freeCapacity().milliCores, worker});
    }
    for (auto &[workerPool, entries] : m_entries) {
        std::ranges::stable_sort(entries, {}, &Entry::milliCores);
    }
}

void FreeCapacityIndex::update(WorkerState &worker)
{
    const auto pool = m_entries.find(worker.info.workerPool);
    if (pool == m_entries.end()) {
        return;
    }
    Entries &entries = pool->second;
    const auto entry = std::ranges::find(entries, &worker, &Entry::worker);
    if (entry == entries.end()) {
        return;
    }
    entry->milliCores = worker.freeCapacity().milliCores;
    const auto isBefore = [](const Entry &left, const Entry &right) { return left.milliCores < right.milliCores; };
    const auto position = std::upper_bound(entries.begin(), entry, *entry, isBefore);
    if (position != entry) {
        std::rotate(position, entry, entry + 1);
        return;
    }
    std::rotate(entry, entry + 1, std::lower_bound(entry + 1, entries.end(), *entry, isBefore));
}

} // namespace Hyssop
