#include "roomreservations.h"

#include "workerranking.h"
#include "workerstate.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <vector>

namespace Hyssop {

namespace Internal {

// In a pass; steps for which no worker is suitable count for the second limit only.
constexpr int MaximumSteps = 8;
constexpr int MaximumSearches = 32;
// Of the workers on which a task could run, one in so many is reserved at the same time.
constexpr std::size_t ReservedWorkersDivisor = 4;

struct ReservationCandidate
{
    bool isOwn = false; // reserved for the same step
    std::int64_t free = 0;
    WorkerState *worker = nullptr;

    bool operator>(const ReservationCandidate &other) const { return std::tie(isOwn, free) > std::tie(other.isOwn, other.free); }
};

static bool isSameStep(const TaskId &left, const TaskId &right)
{
    return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
}

/// Returns true if a task that needs @p task has room beside the serving tasks of @p worker.
static bool fitsBesideServing(const WorkerState &worker, const Resources &task)
{
    const Resources &capacity = worker.info.capacity;
    return task.milliCores <= capacity.milliCores - worker.servingCommitted && task.memoryBytes <= capacity.memoryBytes - worker.servingMemoryBytes;
}

} // namespace Internal

void RoomReservations::beginPass()
{
    ++m_pass;
    m_reserved.clear();
    m_searches = 0;
    m_searchedSteps = 0;
}

void RoomReservations::reserve(const WorkerRanking &ranking, const PlacementRequest &request, std::size_t tasks)
{
    if (m_searches >= Internal::MaximumSearches || m_searchedSteps >= Internal::MaximumSteps || request.stepId == nullptr) {
        return;
    }
    ++m_searches;
    std::size_t suitable = 0;
    std::vector<Internal::ReservationCandidate> candidates;
    for (WorkerState *worker : ranking.workers()) {
        if (!Internal::fitsBesideServing(*worker, request.profile->reserved) || !ranking.lacksOnlyRoom(*worker, request)) {
            continue;
        }
        ++suitable;
        const bool isReserved = holds(*worker);
        const bool isOwn = isReserved && Internal::isSameStep(worker->reservation->step, *request.stepId);
        if (!isReserved || isOwn || request.key->isMoreUrgentThan(worker->reservation->key)) {
            candidates.push_back({isOwn, worker->freeCapacity().milliCores, worker});
        }
    }
    m_searchedSteps += suitable > 0 ? 1 : 0;
    std::size_t &reserved = m_reserved[request.workerPool];
    const std::size_t most = std::max<std::size_t>(suitable / Internal::ReservedWorkersDivisor, 1);
    const std::size_t count = std::min({candidates.size(), tasks, most - std::min(most, reserved)});
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(candidates.begin(), end, candidates.end(), std::greater<>());
    SchedulingKey key = *request.key;
    key.jobId = {}; // the job may be removed before the reservation
    for (auto candidate = candidates.begin(); candidate != end; ++candidate) {
        candidate->worker->reservation = RoomReservation{*request.stepId, key, request.profile->reserved, m_pass};
    }
    reserved += count;
}

bool RoomReservations::allows(const WorkerState &worker, const PlacementRequest &request) const
{
    if (!holds(worker) || request.stepId == nullptr) {
        return true;
    }
    if (Internal::isSameStep(worker.reservation->step, *request.stepId) || request.key->isMoreUrgentThan(worker.reservation->key)) {
        return true;
    }
    const Resources &kept = worker.reservation->task;
    const Resources left = worker.freeCapacity() - request.profile->reserved;
    return kept.memoryBytes <= left.memoryBytes && (request.step->fillsIdle || kept.milliCores <= left.milliCores);
}

bool RoomReservations::holds(const WorkerState &worker) const
{
    return worker.reservation && worker.reservation->pass + 1 >= m_pass;
}

} // namespace Hyssop
