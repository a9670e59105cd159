#include "freeroom.h"

#include "workerstate.h"

#include "hyssop_types.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// Bounds the search for a failure that covers a step.
constexpr std::size_t MaximumFailures = 16;

static Resources neededBy(const Wire::TaskStep &step)
{
    Resources needed;
    needed.milliCores = step.milliCores;
    needed.memoryBytes = step.memoryMb * BytesPerMegabyte;
    needed.accelerators = step.accelerators;
    return needed;
}

static std::int64_t placesIn(const Resources &free, const Resources &needed, std::int64_t maximum)
{
    std::int64_t places = maximum;
    const auto limit = [&places](std::int64_t available, std::int64_t need) {
        if (need > 0) {
            places = std::min(places, std::max<std::int64_t>(available, 0) / need);
        }
    };
    limit(free.milliCores, needed.milliCores);
    limit(free.memoryBytes, needed.memoryBytes);
    limit(free.accelerators, needed.accelerators);
    return places;
}

} // namespace Internal

void FreeRoom::add(const WorkerState &worker)
{
    Pool &pool = m_pools[worker.info.workerPool];
    pool.workers.push_back(&worker);
    pool.milliCores += worker.info.capacity.milliCores;
    pool.freeMilliCores += std::max<std::int64_t>(worker.freeCapacity().milliCores, 0);
}

FreeRoom::Room &FreeRoom::roomFor(Pool &pool, const Wire::TaskStep &step)
{
    Room &room = step.fillsIdle ? pool.bestEffortRoom : pool.reservedRoom;
    if (room.entries.empty()) {
        for (const WorkerState *worker : pool.workers) {
            Entry entry{worker->freeCapacity(), worker};
            entry.free.milliCores -= step.fillsIdle ? worker->bestEffortCommitted : 0;
            room.entries.push_back(entry);
        }
        std::ranges::sort(room.entries, std::ranges::greater(), [](const Entry &entry) { return entry.free.milliCores; });
    }
    return room;
}

std::size_t FreeRoom::places(const Room &room, const Wire::TaskStep &step, const std::map<std::string, int> &openTasks, std::size_t maximum)
{
    const Resources needed = Internal::neededBy(step);
    std::size_t places = 0;
    for (const Entry &entry : room.entries) {
        if (places >= maximum || entry.free.milliCores < needed.milliCores) {
            break;
        }
        const std::vector<std::string> &labels = entry.worker->info.labels;
        if (!step.label.empty() && std::ranges::find(labels, step.label) == labels.end()) {
            continue;
        }
        auto limit = static_cast<std::int64_t>(maximum - places);
        if (step.perWorker > 0) {
            const auto open = openTasks.find(entry.worker->info.id);
            limit = std::clamp<std::int64_t>(step.perWorker - (open != openTasks.end() ? open->second : 0), 0, limit);
        }
        places += static_cast<std::size_t>(Internal::placesIn(entry.free, needed, limit));
    }
    return places;
}

std::size_t FreeRoom::places(const std::string &workerPool, const Wire::TaskStep &step, const std::map<std::string, int> &openTasks, std::size_t maximum)
{
    const auto pool = m_pools.find(workerPool);
    return pool != m_pools.end() ? places(roomFor(pool->second, step), step, openTasks, maximum) : 0;
}

bool FreeRoom::hasPlaces(const std::string &workerPool, const Wire::TaskStep &step, const std::map<std::string, int> &openTasks, std::size_t count)
{
    const auto pool = m_pools.find(workerPool);
    if (pool == m_pools.end()) {
        return false;
    }
    Room &room = roomFor(pool->second, step);
    if (step.perWorker > 0) {
        return places(room, step, openTasks, count) >= count;
    }
    const Resources needed = Internal::neededBy(step);
    const auto coversStep = [&](const Failure &known) { return known.label == step.label && known.needed.fitsIn(needed) && known.count <= count; };
    if (std::ranges::any_of(room.failures, coversStep)) {
        return false;
    }
    if (places(room, step, openTasks, count) >= count) {
        return true;
    }
    std::erase_if(room.failures, [&](const Failure &known) { return known.label == step.label && needed.fitsIn(known.needed) && count <= known.count; });
    if (room.failures.size() < Internal::MaximumFailures) {
        room.failures.push_back({step.label, needed, count});
    }
    return false;
}

bool FreeRoom::isLessThanHalfReserved(const std::string &workerPool) const
{
    const auto pool = m_pools.find(workerPool);
    return pool != m_pools.end() && pool->second.freeMilliCores * 2 > pool->second.milliCores;
}

std::vector<const WorkerState *> FreeRoom::workers(const std::string &workerPool) const
{
    const auto pool = m_pools.find(workerPool);
    return pool != m_pools.end() ? pool->second.workers : std::vector<const WorkerState *>();
}

} // namespace Hyssop
