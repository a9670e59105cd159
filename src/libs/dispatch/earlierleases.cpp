#include "earlierleases.h"

#include <algorithm>

namespace Hyssop {

// Most workers report within this time after a takeover. They should not be listed, because that delays the renewal of their leases
// until the next record is durable.
constexpr std::chrono::milliseconds ListingDelay{1000};
// The same for workers that have not reported to the previous owner either. Otherwise the times of a short term would be lost.
constexpr std::chrono::milliseconds RepeatedListingDelay{300};
// Every instance reads each record.
constexpr std::chrono::milliseconds MinimumRecordInterval{100};
// Bounds the size of a record to a few kilobytes.
constexpr std::size_t MaximumListedWorkers = 256;

EarlierLeases::EarlierLeases(std::int64_t term, TimePoint latestEnd)
    : m_term(term)
    , m_latestEnd(latestEnd)
{
}

void EarlierLeases::restore(const Wire::SilentWorkers &record, TimePoint readAt)
{
    if (record.term + 1 != m_term) {
        return; // an owner between has told nothing and may have granted leases
    }
    for (const Wire::SilentWorker &worker : record.workers) {
        m_restoredEnds[worker.worker] = std::min(readAt + std::chrono::milliseconds(worker.leaseMs), m_latestEnd);
    }
}

TimePoint EarlierLeases::endOn(const std::string &worker) const
{
    const auto restored = m_restoredEnds.find(worker);
    return restored != m_restoredEnds.end() ? restored->second : m_latestEnd;
}

bool EarlierLeases::canGrant(const std::string &worker) const
{
    return !m_stored.contains(worker) && !(m_appended && m_appended->contains(worker));
}

std::set<std::string> EarlierLeases::workersToList(TimePoint now) const
{
    std::set<std::string> workers;
    for (const std::string &worker : m_silent) {
        const auto delay = m_restoredEnds.contains(worker) ? RepeatedListingDelay : ListingDelay;
        if (now - *m_beganAt >= delay && workers.size() < MaximumListedWorkers) {
            workers.insert(worker);
        }
    }
    return workers;
}

std::optional<Wire::SilentWorkers> EarlierLeases::takeRecord(TimePoint now)
{
    m_beganAt = m_beganAt.value_or(now);
    if (m_appended || now - m_recordAt < MinimumRecordInterval) {
        return std::nullopt;
    }
    std::set<std::string> workers = workersToList(now);
    if (workers == m_stored) {
        return std::nullopt;
    }
    Wire::SilentWorkers record;
    record.term = m_term;
    for (const std::string &worker : workers) {
        Wire::SilentWorker &silent = record.workers.emplace_back();
        silent.worker = worker;
        silent.leaseMs = std::max(std::chrono::ceil<std::chrono::milliseconds>(endOn(worker) - now), std::chrono::milliseconds(0)).count();
    }
    m_appended = std::move(workers);
    m_recordAt = now;
    return record;
}

bool EarlierLeases::recordStored()
{
    if (!m_appended) {
        return false;
    }
    m_stored = std::move(*m_appended);
    m_appended.reset();
    return true;
}

} // namespace Hyssop
