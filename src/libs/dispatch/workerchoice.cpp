#include "workerchoice.h"

#include "sharingrule.h"
#include "shorttaskreserve.h"
#include "workerview.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A worker without an answered call for this long gets no work.
constexpr std::chrono::milliseconds LongestSilence{2500};
constexpr std::size_t RememberedWishes = 100;
// What serving runs use and can bear is computed again after this time.
constexpr std::chrono::milliseconds OutlookAge{100};
// A filling task starts where at least this share of its processor time is expected to be idle.
constexpr int LeastIdlePercent = 80;
// Preference for the rack of the data, in thousandths of a core of free capacity.
constexpr std::int64_t DataRackBonus = 1'000'000;
// Weight of added utilization, in thousandths of a core.
constexpr double DisturbanceWeight = 200'000;
// Preference of serving tasks for workers that serve with the same image only, in thousandths of a core; a worker that
// serves with another image is avoided by as much.
constexpr std::int64_t SameImageBonus = 1'000'000;

static bool mayGetWork(const WorkerView &worker, const std::set<std::string> &evacuatedDomains, TimePoint now)
{
    if (!worker.takesWork(evacuatedDomains) || now - worker.lastContact > LongestSilence) {
        return false;
    }
    return worker.trust.accepts(now, worker.runs.size());
}

static bool hasLabel(const WorkerView &worker, const std::string &label)
{
    return label.empty() || std::ranges::find(worker.info.labels, label) != worker.info.labels.end();
}

static int openTasks(const PlacementWish &wish, const std::string &worker)
{
    if (wish.tasksOfStep == nullptr) {
        return 0;
    }
    const auto count = wish.tasksOfStep->find(worker);
    return count != wish.tasksOfStep->end() ? count->second : 0;
}

} // namespace Internal

RunUse useOf(const Wire::TaskStep &step, int run)
{
    RunUse use;
    use.run = run;
    use.counted.milliCores = step.fillsIdle ? 0 : step.milliCores;
    use.counted.memoryBytes = step.memoryMb * BytesPerMegabyte;
    use.counted.accelerators = step.accelerators;
    use.idleMilliCores = step.fillsIdle ? step.milliCores : 0;
    use.servingMilliCores = step.longRunning && !step.fillsIdle ? step.milliCores : 0;
    return use;
}

WorkerChoice::WorkerChoice(std::vector<WorkerView *> workers, const std::set<std::string> &evacuatedDomains, const SharingRule &sharing, TimePoint now)
    : m_workers(std::move(workers))
    , m_sharing(sharing)
    , m_now(now)
{
    std::erase_if(m_workers, [&](const WorkerView *worker) { return !Internal::mayGetWork(*worker, evacuatedDomains, now); });
}

WorkerView *WorkerChoice::choose(const PlacementWish &wish) const
{
    WorkerView *best = nullptr;
    std::int64_t bestScore = 0;
    for (WorkerView *worker : m_workers) {
        if (!fits(*worker, wish)) {
            continue;
        }
        const std::int64_t workerScore = score(*worker, wish);
        if (best == nullptr || workerScore > bestScore) {
            best = worker;
            bestScore = workerScore;
        }
    }
    return best;
}

bool WorkerChoice::hasRoomForServing(const std::string &service, const RunUse &use, const ShortTaskReserve &reserve) const
{
    std::int64_t capacity = 0;
    std::int64_t free = -use.counted.milliCores;
    for (const WorkerView *worker : m_workers) {
        if (worker->info.service == service) {
            capacity += worker->info.capacity.milliCores;
            free += worker->info.capacity.milliCores - worker->servingCommitted;
        }
    }
    return free >= reserve.milliCores(service, capacity);
}

std::vector<std::string> WorkerChoice::racksByRoom(const std::string &service) const
{
    std::map<std::string, std::int64_t> room;
    for (const WorkerView *worker : m_workers) {
        if (worker->info.service == service) {
            room[worker->info.rack] += worker->freeCapacity().milliCores;
        }
    }
    std::vector<std::string> racks;
    racks.reserve(room.size());
    for (const auto &[rack, free] : room) {
        racks.push_back(rack);
    }
    std::ranges::sort(racks, [&](const std::string &left, const std::string &right) { return room[left] > room[right]; });
    return racks;
}

std::vector<WorkerChoice::Candidate> WorkerChoice::rank(const PlacementWish &wish)
{
    std::vector<Candidate> candidates;
    if (isHopeless(wish)) {
        return candidates;
    }
    for (WorkerView *worker : m_workers) {
        if (fits(*worker, wish)) {
            candidates.emplace_back(score(*worker, wish), worker);
        }
    }
    if (candidates.empty()) {
        noteHopeless(wish);
    }
    std::ranges::make_heap(candidates);
    return candidates;
}

WorkerView *WorkerChoice::takeBest(std::vector<Candidate> &candidates, const PlacementWish &wish) const
{
    while (!candidates.empty()) {
        std::ranges::pop_heap(candidates);
        auto &[known, worker] = candidates.back();
        if (!fits(*worker, wish)) {
            candidates.pop_back();
            continue;
        }
        const std::int64_t present = score(*worker, wish);
        const bool isBest = present >= known || candidates.size() == 1 || present >= candidates.front().first;
        known = present;
        WorkerView *best = worker;
        std::ranges::push_heap(candidates);
        if (isBest) {
            return best;
        }
    }
    return nullptr;
}

bool WorkerChoice::isHopeless(const PlacementWish &wish) const
{
    return std::ranges::any_of(m_hopeless, [&](const Hopeless &known) {
        const bool alike = known.service == wish.service && known.label == wish.step->label && known.use.image == wish.use->image
            && known.use.fillsIdle == wish.use->fillsIdle;
        return alike && known.use.counted.fitsIn(wish.use->counted) && known.use.idleMilliCores <= wish.use->idleMilliCores;
    });
}

void WorkerChoice::noteHopeless(const PlacementWish &wish)
{
    const bool onlySize = wish.step->perWorker == 0 && wish.tickets == nullptr && wish.rack.empty();
    if (onlySize && m_hopeless.size() < Internal::RememberedWishes) {
        m_hopeless.push_back({wish.service, wish.step->label, *wish.use});
    }
}

std::int64_t WorkerChoice::score(WorkerView &worker, const PlacementWish &wish) const
{
    const Wire::TaskStep &step = *wish.step;
    const std::int64_t bonus = !step.dataRack.empty() && worker.info.rack == step.dataRack ? Internal::DataRackBonus : 0;
    if (step.fillsIdle) {
        return bonus + fillingScore(worker, wish);
    }
    const std::int64_t free = worker.freeCapacity().milliCores;
    return bonus + (step.longRunning ? servingScore(worker, wish) : free);
}

std::int64_t WorkerChoice::servingScore(const WorkerView &worker, const PlacementWish &wish) const
{
    std::int64_t images = 0;
    for (const auto &[id, run] : worker.runs) {
        if (run.tailTargetMs > 0) {
            images = run.image == wish.use->image ? std::max<std::int64_t>(images, 1) : -1;
            if (images < 0) {
                break;
            }
        }
    }
    return images * Internal::SameImageBonus - worker.freeCapacity().milliCores;
}

std::int64_t WorkerChoice::fillingScore(WorkerView &worker, const PlacementWish &wish) const
{
    const ServingOutlook &outlook = outlookOf(worker);
    double highest = 0;
    for (const ServingOutlook::Slack &slack : outlook.slacks) {
        highest = std::max(highest, m_sharing.added(slack.image, *wish.use, worker.info.capacity.milliCores));
    }
    return worker.expectedIdle(outlook) - static_cast<std::int64_t>(highest * Internal::DisturbanceWeight);
}

const ServingOutlook &WorkerChoice::outlookOf(WorkerView &worker) const
{
    if (worker.outlook.at == TimePoint() || m_now - worker.outlook.at > Internal::OutlookAge) {
        worker.outlook = m_sharing.outlook(worker, m_now);
    }
    return worker.outlook;
}

bool WorkerChoice::sharesWell(WorkerView &worker, const PlacementWish &wish) const
{
    const ServingOutlook &outlook = outlookOf(worker);
    if (worker.overTargetSince || worker.expectedIdle(outlook) * 100 < wish.step->milliCores * Internal::LeastIdlePercent) {
        return false;
    }
    const bool isShort = wish.step->estimateMs <= ServingOutlook::Soon.count();
    return std::ranges::all_of(outlook.slacks, [&](const ServingOutlook::Slack &slack) {
        const double added = m_sharing.added(slack.image, *wish.use, worker.info.capacity.milliCores);
        return added < SharingRule::HarmlessUtilization || added < (isShort ? slack.soon : slack.later);
    });
}

bool WorkerChoice::fits(WorkerView &worker, const PlacementWish &wish) const
{
    const Wire::TaskStep &step = *wish.step;
    if (!wish.use->counted.fitsIn(worker.freeCapacity())) {
        return false;
    }
    if (worker.info.service != wish.service || !worker.trust.accepts(m_now, worker.runs.size())) {
        return false;
    }
    if ((!wish.rack.empty() && worker.info.rack != wish.rack) || !Internal::hasLabel(worker, step.label)) {
        return false;
    }
    if (step.perWorker > 0 && Internal::openTasks(wish, worker.info.id) >= step.perWorker) {
        return false;
    }
    if (wish.tickets != nullptr && !wish.tickets->contains(worker.info.id)) {
        return false;
    }
    return !step.fillsIdle || sharesWell(worker, wish);
}

} // namespace Hyssop
