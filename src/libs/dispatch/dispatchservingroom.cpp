#include "dispatcher.h"

#include "servingroom.h"
#include "shorttaskplaces.h"

#include <jobtopic/servingdemand.h>

#include <algorithm>
#include <vector>

namespace Hyssop {

namespace Internal {

// Serving tasks may have this part of a worker pool, also if the largest short tasks need whole workers.
constexpr std::int64_t MinimumServingDivisor = 2;

/// Returns what the serving tasks of @p job reserve or will reserve, wherever they run.
static std::int64_t unfinishedServingDemand(const JobExecution &job)
{
    if (job.occurrences.empty()) {
        return servingDemand(job.submission); // the first occurrence is not released yet
    }
    std::int64_t milliCores = 0;
    for (const auto &[occurrence, steps] : job.occurrences) {
        for (std::size_t index = 0; index < steps.size(); ++index) {
            const Wire::TaskStep &step = job.submission.steps[index];
            milliCores += isServingStep(step) ? (step.taskCount - steps[index].done) * step.milliCores : 0;
        }
    }
    return milliCores;
}

} // namespace Internal

std::vector<ServingRoom> Dispatcher::servingRoom()
{
    if (!m_workersReadAt) {
        return {};
    }
    std::map<std::string, ServingRoom> rooms;
    std::vector<WorkerState *> staying;
    std::map<std::string, std::int64_t> placed; // capacity that serving runs have reserved, by worker pool
    for (auto &[id, worker] : m_workers) {
        // A worker whose last poll has failed counts, because its runs do as well.
        const bool isStaying = worker.registered && !worker.info.draining && !m_evacuated.contains(worker.info.failureDomain);
        if (isStaying && worker.info.capacity.milliCores > 0) {
            rooms[worker.info.workerPool].capacity += worker.info.capacity.milliCores;
            placed[worker.info.workerPool] += worker.servingCommitted;
            staying.push_back(&worker);
        }
    }
    for (auto &[workerPool, room] : rooms) {
        room.workerPool = workerPool;
        room.milliCores = room.capacity - m_shortTaskReserve.milliCores(workerPool, room.capacity);
    }
    for (const JobExecution *job : m_jobs.activeJobs()) {
        const QueueInfo *queue = m_queues.find(job->submission.queue);
        const auto room = queue != nullptr ? rooms.find(queue->workerPool) : rooms.end();
        if (room != rooms.end()) {
            room->second.milliCores -= Internal::unfinishedServingDemand(*job);
        }
    }
    std::vector<ServingRoom> result;
    result.reserve(rooms.size());
    for (auto &[workerPool, room] : rooms) {
        const std::int64_t reserve = m_shortTaskReserve.milliCores(workerPool, room.capacity);
        const std::int64_t demand = room.capacity - reserve - room.milliCores;
        const std::int64_t notPlaced = std::max<std::int64_t>(demand - placed[workerPool], 0);
        const std::int64_t inPlaces = ShortTaskPlaces(staying, workerPool, m_shortTaskReserve).available() - notPlaced;
        const std::int64_t minimum = room.capacity / Internal::MinimumServingDivisor - demand;
        room.milliCores = std::min(room.milliCores, std::max(inPlaces, minimum));
        result.push_back(std::move(room));
    }
    return result;
}

} // namespace Hyssop
