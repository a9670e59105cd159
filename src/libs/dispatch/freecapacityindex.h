#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Hyssop {

struct WorkerState;

/// Workers in the order of their free processor capacity, by worker pool.
class FreeCapacityIndex
{
public:
    explicit FreeCapacityIndex(const std::vector<WorkerState *> &workers);

    /// Restores the order after the free capacity of @p worker has changed.
    void update(WorkerState &worker);

    /// Calls @p visitor with the workers of @p workerPool that have at least @p milliCores free, from the least to the most free
    /// capacity, until it returns false.
    template<typename Visitor>
    void visit(const std::string &workerPool, std::int64_t milliCores, Visitor visitor) const
    {
        for (const Entry &entry : entriesFrom(workerPool, milliCores)) {
            if (!visitor(*entry.worker)) {
                return;
            }
        }
    }

private:
    struct Entry
    {
        std::int64_t milliCores = 0; // free
        WorkerState *worker = nullptr;
    };

    using Entries = std::vector<Entry>;

    std::span<const Entry> entriesFrom(const std::string &workerPool, std::int64_t milliCores) const
    {
        const auto pool = m_entries.find(workerPool);
        if (pool == m_entries.end()) {
            return {};
        }
        return {std::ranges::lower_bound(pool->second, milliCores, {}, &Entry::milliCores), pool->second.end()};
    }

    std::map<std::string, Entries> m_entries; // in ascending order, by worker pool
};

} // namespace Hyssop
