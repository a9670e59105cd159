#include "workerranking.h"

#include "colocationpolicy.h"
#include "roomreservations.h"
#include "shorttaskplaces.h"
#include "taskkind.h"
#include "workerstate.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// No task is placed on a worker without a report for this long.
constexpr std::chrono::milliseconds WorkerTimeout{2500};
// Forecasts for the serving runs on a worker are recomputed after this time.
constexpr std::chrono::milliseconds MaximumForecastAge{100};
// Score of a best-effort task for the rack that holds the data, in thousandths of a core that is expected to be idle.
constexpr std::int64_t DataRackBonus = 1'000'000;
// Loss of preference of serving tasks for taking a reserved place. It outweighs a different image and the data rack.
constexpr int ReservedPlacePenalty = 4;
// Suitable workers among which the one for a best-effort task is chosen.
constexpr std::size_t MinimumCandidates = 96;
constexpr std::size_t CandidatesPerTask = 8;
// More than the preference for the rack that holds the data.
constexpr int SoundWorkerPreference = 2;
// Loss of preference of serving tasks for a worker that fails runs. It outweighs the other preferences except for RejectionPenalty.
constexpr int ServingFailurePenalty = 8;
// More than all other preferences together.
constexpr int RejectionPenalty = 16;
// The same for best-effort tasks, in thousandths of a core that is expected to be idle.
constexpr std::int64_t BestEffortRejectionPenalty = 100'000'000;

static bool hasLabel(const WorkerState &worker, const std::string &label)
{
    return label.empty() || std::ranges::find(worker.info.labels, label) != worker.info.labels.end();
}

static int openTasks(const PlacementRequest &request, const std::string &worker)
{
    if (request.stepTasksByWorker == nullptr) {
        return 0;
    }
    const auto count = request.stepTasksByWorker->find(worker);
    return count != request.stepTasksByWorker->end() ? count->second : 0;
}

static bool isInDataRack(const WorkerState &worker, const Wire::TaskStep &step)
{
    return !step.dataRack.empty() && worker.info.rack == step.dataRack;
}

/// Returns 1 if all serving runs of @p worker have @p image, 0 if it has none, and -1 if some have another one.
static int imageMatch(const WorkerState &worker, std::uint32_t image)
{
    if (worker.servingRunsByImage.empty()) {
        return 0;
    }
    return worker.servingRunsByImage.size() == 1 && worker.servingRunsByImage.contains(image) ? 1 : -1;
}

/// Returns how well @p worker suits a task with reserved capacity, before its free capacity counts.
static int preference(const WorkerState &worker, const PlacementRequest &request, TimePoint now)
{
    const int common = (isInDataRack(worker, *request.step) ? 1 : 0) - (worker.health.hasMissedStartsLately(now) ? RejectionPenalty : 0);
    if (request.step->longRunning) {
        const bool sparesPlaces = request.shortTaskPlaces == nullptr || request.shortTaskPlaces->allows(worker, request.profile->servingMilliCores);
        const bool hasFailedTask = request.failedOn != nullptr && *request.failedOn == worker.info.id;
        const int penalty = (sparesPlaces ? 0 : ReservedPlacePenalty) + (hasFailedTask || worker.health.isSuspect() ? ServingFailurePenalty : 0);
        return common + imageMatch(worker, request.profile->image) - penalty;
    }
    // A worker that fails its runs soon has room again, and would be the best fit for the same task.
    return common + (worker.health.isSuspect() ? 0 : SoundWorkerPreference);
}

/// Returns an upper bound of preference() for tasks of @p step.
static int maximumPreference(const Wire::TaskStep &step)
{
    return (step.dataRack.empty() ? 0 : 1) + (step.longRunning ? 1 : SoundWorkerPreference);
}

} // namespace Internal

RunProfile profileOf(const Wire::TaskStep &step, int run)
{
    RunProfile profile;
    profile.run = run;
    profile.reserved.milliCores = step.fillsIdle ? 0 : step.milliCores;
    profile.reserved.memoryBytes = step.memoryMb * BytesPerMegabyte;
    profile.reserved.accelerators = step.accelerators;
    profile.bestEffortMilliCores = step.fillsIdle ? step.milliCores : 0;
    profile.servingMilliCores = step.longRunning && !step.fillsIdle ? step.milliCores : 0;
    profile.isUrgent = kindOf(step) == TaskKind::Reserved;
    return profile;
}

WorkerRanking::WorkerRanking(std::vector<WorkerState *> workers,
                             const std::set<std::string> &evacuatedDomains,
                             const ColocationPolicy &colocationPolicy,
                             TimePoint now)
    : m_workers(std::move(workers))
    , m_evacuatedDomains(evacuatedDomains)
    , m_colocation(colocationPolicy)
    , m_idleCapacity(colocationPolicy)
    , m_now(now)
{
    std::erase_if(m_workers, [&](const WorkerState *worker) { return !isAvailable(*worker); });
    const auto refusing = std::stable_partition(m_workers.begin(), m_workers.end(), [&](const WorkerState *worker) { return worker->health.acceptsTask(now); });
    m_refusingWorkers.assign(refusing, m_workers.end());
    m_workers.erase(refusing, m_workers.end());
}

bool WorkerRanking::isAvailable(const WorkerState &worker) const
{
    return worker.isSchedulable(m_evacuatedDomains) && m_now - worker.lastReportAt <= Internal::WorkerTimeout;
}

WorkerState *WorkerRanking::choose(const PlacementRequest &request) const
{
    return request.step->fillsIdle ? chooseForBestEffort(request) : chooseForReserved(request);
}

WorkerState *WorkerRanking::chooseForReserved(const PlacementRequest &request) const
{
    const Wire::TaskStep &step = *request.step;
    const int maximumPreference = Internal::maximumPreference(step);
    WorkerState *best = nullptr;
    int bestPreference = 0;
    const auto visit = [&](WorkerState &worker) {
        const int preference = Internal::preference(worker, request, m_now);
        const bool isBetter = best == nullptr || preference > bestPreference;
        if (!isBetter || !fits(worker, request)) {
            return true;
        }
        best = &worker;
        bestPreference = preference;
        return preference < maximumPreference;
    };
    if (!m_index) {
        m_index.emplace(m_workers);
    }
    m_index->visit(request.workerPool, request.profile->reserved.milliCores, visit);
    return best;
}

WorkerState *WorkerRanking::chooseForBestEffort(const PlacementRequest &request) const
{
    WorkerState *best = nullptr;
    std::int64_t bestScore = 0;
    for (WorkerState *worker : m_workers) {
        if (!fits(*worker, request)) {
            continue;
        }
        const std::int64_t workerScore = bestEffortScore(*worker, request);
        if (best == nullptr || workerScore > bestScore) {
            best = worker;
            bestScore = workerScore;
        }
    }
    return best;
}

WorkerState *WorkerRanking::chooseForProbe(PlacementRequest request) const
{
    request.isProbe = true;
    WorkerState *best = nullptr;
    const auto doubt = [](const WorkerState &worker) { return std::pair(worker.health.consecutiveQuarantines(), worker.health.quarantinedUntil()); };
    for (WorkerState *worker : m_refusingWorkers) {
        if ((best == nullptr || doubt(*worker) < doubt(*best)) && fits(*worker, request)) {
            best = worker;
        }
    }
    return best;
}

bool WorkerRanking::isMostlyUnavailable(const PlacementRequest &request) const
{
    if (std::ranges::none_of(m_refusingWorkers, [this](const WorkerState *worker) { return worker->health.acceptsProbe(m_now); })) {
        return false;
    }
    const auto [known, isNew] = m_mostlyUnavailable.try_emplace({request.workerPool, request.step->label}, false);
    if (!isNew) {
        return known->second;
    }
    const auto capacity = [&](const std::vector<WorkerState *> &workers) {
        std::int64_t milliCores = 0;
        for (const WorkerState *worker : workers) {
            const bool isSuitable = worker->info.workerPool == request.workerPool && Internal::hasLabel(*worker, request.step->label);
            milliCores += isSuitable ? worker->info.capacity.milliCores : 0;
        }
        return milliCores;
    };
    known->second = capacity(m_refusingWorkers) >= capacity(m_workers);
    return known->second;
}

void WorkerRanking::capacityChanged(WorkerState &worker)
{
    if (m_index) {
        m_index->update(worker);
    }
}

std::vector<std::string> WorkerRanking::racksByFreeCapacity(const std::string &workerPool) const
{
    std::map<std::string, std::int64_t> freeByRack;
    for (const WorkerState *worker : m_workers) {
        if (worker->info.workerPool == workerPool) {
            freeByRack[worker->info.rack] += worker->freeCapacity().milliCores;
        }
    }
    std::vector<std::string> racks;
    racks.reserve(freeByRack.size());
    for (const auto &[rack, free] : freeByRack) {
        racks.push_back(rack);
    }
    std::ranges::sort(racks, [&](const std::string &left, const std::string &right) { return freeByRack[left] > freeByRack[right]; });
    return racks;
}

WorkerRanking::Candidates WorkerRanking::rankCandidates(const PlacementRequest &request, std::size_t tasks) const
{
    // Tasks whose data is in a rack, or that have to be in one, need the workers of that rack.
    const bool needsAll = !request.step->dataRack.empty() || !request.rack.empty();
    const std::size_t wanted = needsAll ? m_workers.size() : std::max(Internal::MinimumCandidates, tasks * Internal::CandidatesPerTask);
    Candidates candidates;
    std::size_t examined = 0;
    for (; examined < m_workers.size() && candidates.heap.size() < wanted; ++examined) {
        WorkerState *worker = m_workers[m_nextExamined % m_workers.size()];
        ++m_nextExamined;
        if (fits(*worker, request)) {
            candidates.heap.emplace_back(bestEffortScore(*worker, request), worker);
        }
    }
    candidates.isComplete = examined == m_workers.size();
    std::ranges::make_heap(candidates.heap);
    return candidates;
}

bool WorkerRanking::hasRoom(PlacementRequest request) const
{
    request.rack.clear();
    request.tickets = nullptr;
    request.stepTasksByWorker = nullptr;
    request.reservations = nullptr;
    request.mustLeavePlaces = false;
    if (!request.step->fillsIdle) {
        return chooseForReserved(request) != nullptr;
    }
    return std::ranges::any_of(m_workers, [&](WorkerState *worker) { return fits(*worker, request); });
}

WorkerState *WorkerRanking::bestCandidate(Candidates &candidates, const PlacementRequest &request) const
{
    WorkerState *best = bestOf(candidates.heap, request);
    if (best == nullptr && !candidates.isComplete) {
        candidates = rankCandidates(request, m_workers.size());
        best = bestOf(candidates.heap, request);
    }
    return best;
}

WorkerState *WorkerRanking::bestOf(std::vector<Candidate> &candidates, const PlacementRequest &request) const
{
    while (!candidates.empty()) {
        std::ranges::pop_heap(candidates);
        auto &[knownScore, worker] = candidates.back();
        if (!fits(*worker, request)) {
            candidates.pop_back();
            continue;
        }
        const std::int64_t currentScore = bestEffortScore(*worker, request);
        const bool isBest = currentScore >= knownScore || candidates.size() == 1 || currentScore >= candidates.front().first;
        knownScore = currentScore;
        WorkerState *best = worker;
        std::ranges::push_heap(candidates);
        if (isBest) {
            return best;
        }
    }
    return nullptr;
}

std::vector<AdviceCandidate> WorkerRanking::adviceCandidates(PlacementRequest request) const
{
    request.tickets = nullptr;
    std::vector<std::pair<bool, WorkerState *>> candidates; // whether there is room
    for (WorkerState *worker : m_workers) {
        if (worker->info.workerPool == request.workerPool && Internal::hasLabel(*worker, request.step->label)) {
            candidates.emplace_back(fits(*worker, request), worker);
        }
    }
    if (candidates.empty() && isMostlyUnavailable(request)) {
        request.isProbe = true;
        for (WorkerState *worker : m_refusingWorkers) {
            if (fits(*worker, request)) {
                candidates.emplace_back(true, worker);
            }
        }
    }
    std::ranges::stable_sort(
        candidates, std::ranges::greater(), [](const auto &candidate) { return std::pair(candidate.first, candidate.second->freeCapacity().milliCores); });
    std::vector<AdviceCandidate> result;
    result.reserve(candidates.size());
    for (const auto &[hasRoom, worker] : candidates) {
        result.push_back({worker->info.id, hasRoom});
    }
    return result;
}

std::int64_t WorkerRanking::bestEffortScore(WorkerState &worker, const PlacementRequest &request) const
{
    const std::int64_t bonus = Internal::isInDataRack(worker, *request.step) ? Internal::DataRackBonus : 0;
    const std::int64_t penalty = worker.health.hasMissedStartsLately(m_now) ? Internal::BestEffortRejectionPenalty : 0;
    return bonus - penalty + m_idleCapacity.score(worker, forecastOf(worker), {request.profile, request.isOverdue});
}

const ServingForecast &WorkerRanking::forecastOf(WorkerState &worker) const
{
    if (worker.forecast.at == TimePoint() || m_now - worker.forecast.at > Internal::MaximumForecastAge) {
        worker.forecast = m_colocation.forecast(worker, m_now);
    }
    return worker.forecast;
}

std::optional<PlacementObstacle> WorkerRanking::conditionObstacle(const WorkerState &worker, const PlacementRequest &request) const
{
    const Wire::TaskStep &step = *request.step;
    if (worker.info.workerPool != request.workerPool) {
        return PlacementObstacle::WorkerPool;
    }
    if (!(request.isProbe ? worker.health.acceptsProbe(m_now) : worker.health.acceptsTask(m_now))) {
        return PlacementObstacle::Quarantine;
    }
    if ((!request.rack.empty() && worker.info.rack != request.rack) || !Internal::hasLabel(worker, step.label)) {
        return PlacementObstacle::RackOrLabel;
    }
    if (step.perWorker > 0 && Internal::openTasks(request, worker.info.id) >= step.perWorker) {
        return PlacementObstacle::TasksPerWorker;
    }
    if (request.tickets != nullptr && !request.tickets->contains(worker.info.id)) {
        return PlacementObstacle::Advice;
    }
    return std::nullopt;
}

std::optional<PlacementObstacle> WorkerRanking::roomObstacle(const WorkerState &worker, const PlacementRequest &request)
{
    const Resources &needed = request.profile->reserved;
    const Resources free = worker.freeCapacity();
    if (needed.milliCores > free.milliCores) {
        return PlacementObstacle::ProcessorCapacity;
    }
    if (needed.memoryBytes > free.memoryBytes) {
        return PlacementObstacle::Memory;
    }
    return needed.fitsIn(free) ? std::nullopt : std::optional(PlacementObstacle::Accelerators);
}

bool WorkerRanking::lacksOnlyRoom(const WorkerState &worker, const PlacementRequest &request) const
{
    return !conditionObstacle(worker, request) && roomObstacle(worker, request) && request.profile->reserved.fitsIn(worker.info.capacity);
}

std::optional<PlacementObstacle> WorkerRanking::obstacle(WorkerState &worker, const PlacementRequest &request) const
{
    ++m_examinedWorkers;
    if (const auto condition = conditionObstacle(worker, request)) {
        return condition;
    }
    if (const auto room = roomObstacle(worker, request)) {
        return room;
    }
    if (request.reservations != nullptr && !request.reservations->allows(worker, request)) {
        return PlacementObstacle::Reserved;
    }
    if (request.mustLeavePlaces && !request.shortTaskPlaces->allows(worker, request.profile->servingMilliCores)) {
        return PlacementObstacle::ShortTaskReserve;
    }
    if (!request.step->fillsIdle) {
        return std::nullopt;
    }
    return m_idleCapacity.obstacle(worker, forecastOf(worker), {request.profile, request.isOverdue});
}

} // namespace Hyssop
