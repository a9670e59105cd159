#include "plainranking.h"

#include <dispatch/workerranking.h>
#include <dispatch/workerstate.h>

#include <algorithm>

namespace Hyssop::Testing {

namespace Internal {

constexpr std::int64_t DataRackBonus = 1'000'000;
constexpr std::int64_t SameImageBonus = 1'000'000;
constexpr std::int64_t SoundWorkerBonus = 2'000'000;
constexpr std::int64_t ServingFailurePenalty = 8'000'000;
constexpr std::int64_t RejectionPenalty = 16'000'000;

static std::int64_t servingScore(const WorkerState &worker, const PlacementRequest &request)
{
    std::int64_t imageMatch = 0;
    for (const auto &[id, run] : worker.runs) {
        if (run.tailTargetMs > 0) {
            imageMatch = run.image == request.profile->image && imageMatch >= 0 ? 1 : -1;
        }
    }
    const bool hasFailedTask = request.failedOn != nullptr && *request.failedOn == worker.info.id;
    const std::int64_t penalty = hasFailedTask || worker.health.isSuspect() ? ServingFailurePenalty : 0;
    return imageMatch * SameImageBonus - penalty - worker.freeCapacity().milliCores;
}

} // namespace Internal

std::int64_t plainScore(const WorkerState &worker, const PlacementRequest &request, TimePoint now)
{
    const Wire::TaskStep &step = *request.step;
    const std::int64_t penalty = worker.health.hasMissedStartsLately(now) ? Internal::RejectionPenalty : 0;
    const std::int64_t bonus = (!step.dataRack.empty() && worker.info.rack == step.dataRack ? Internal::DataRackBonus : 0) - penalty;
    if (step.longRunning) {
        return bonus + Internal::servingScore(worker, request);
    }
    return bonus + (worker.health.isSuspect() ? 0 : Internal::SoundWorkerBonus) - worker.freeCapacity().milliCores;
}

WorkerState *plainChoice(const std::vector<WorkerState *> &workers, const WorkerRanking &ranking, const PlacementRequest &request, TimePoint now)
{
    WorkerState *best = nullptr;
    for (WorkerState *worker : workers) {
        const bool isSuitable = ranking.isAvailable(*worker) && !ranking.obstacle(*worker, request);
        if (isSuitable && (best == nullptr || plainScore(*worker, request, now) > plainScore(*best, request, now))) {
            best = worker;
        }
    }
    return best;
}

} // namespace Hyssop::Testing
