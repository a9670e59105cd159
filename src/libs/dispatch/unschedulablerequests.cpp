#include "unschedulablerequests.h"

#include "workerranking.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr std::size_t MaximumEntries = 500;
constexpr std::chrono::milliseconds MaximumAge{500};
// Forecasts change with time, without any event on the worker.
constexpr std::chrono::milliseconds MaximumBestEffortAge{100};

} // namespace Internal

void UnschedulableRequests::clear()
{
    m_entries.clear();
    m_entryCount = 0;
}

void UnschedulableRequests::beginPass(const WorkerRanking &ranking, TimePoint now)
{
    const std::vector<WorkerState *> workers = workersWithNewRoom(ranking);
    const auto isObsolete = [&](const Kind &kind, const Entry &entry) {
        if (isTooOld(kind, entry, now)) {
            return true;
        }
        PlacementRequest request;
        request.step = &entry.step;
        request.workerPool = kind.workerPool;
        request.profile = &entry.profile;
        request.isOverdue = kind.isOverdue;
        return std::ranges::any_of(workers, [&](WorkerState *worker) { return ranking.fits(*worker, request); });
    };
    for (auto &item : m_entries) {
        m_entryCount -= std::erase_if(item.second, [&](const Entry &entry) { return isObsolete(item.first, entry); });
    }
    std::erase_if(m_entries, [](const auto &item) { return item.second.empty(); });
}

bool UnschedulableRequests::contains(const PlacementRequest &request) const
{
    if (m_entries.empty()) {
        return false;
    }
    const auto similar = m_entries.find(kindOf(request));
    return similar != m_entries.end() && std::ranges::any_of(similar->second, [&](const Entry &known) { return needsNoMore(known.profile, *request.profile); });
}

void UnschedulableRequests::record(const PlacementRequest &request, TimePoint now)
{
    std::vector<Entry> &entries = m_entries[kindOf(request)];
    m_entryCount -= std::erase_if(entries, [&](const Entry &known) { return needsNoMore(*request.profile, known.profile); });
    if (m_entryCount >= Internal::MaximumEntries) {
        return;
    }
    Entry entry{*request.step, *request.profile, now};
    entry.step.perWorker = 0;
    entries.push_back(std::move(entry));
    ++m_entryCount;
}

UnschedulableRequests::Kind UnschedulableRequests::kindOf(const PlacementRequest &request)
{
    Kind kind{request.workerPool, request.step->label, request.step->fillsIdle, false, 0};
    if (kind.isBestEffort) {
        kind.isOverdue = request.isOverdue;
        kind.image = request.profile->image;
    }
    return kind;
}

bool UnschedulableRequests::isTooOld(const Kind &kind, const Entry &entry, TimePoint now)
{
    return now - entry.recordedAt > (kind.isBestEffort ? Internal::MaximumBestEffortAge : Internal::MaximumAge);
}

bool UnschedulableRequests::needsNoMore(const RunProfile &left, const RunProfile &right)
{
    return left.reserved.fitsIn(right.reserved) && left.bestEffortMilliCores <= right.bestEffortMilliCores;
}

std::vector<WorkerState *> UnschedulableRequests::workersWithNewRoom(const WorkerRanking &ranking)
{
    std::vector<WorkerState *> workers;
    for (WorkerState *worker : ranking.workers()) {
        const bool wasSelectable = m_pass > 0 && worker->selectableInPass == m_pass;
        if (!wasSelectable || worker->examinedRoomVersion != worker->roomVersion) {
            workers.push_back(worker);
        }
        worker->selectableInPass = m_pass + 1;
        worker->examinedRoomVersion = worker->roomVersion;
    }
    ++m_pass;
    return workers;
}

} // namespace Hyssop
