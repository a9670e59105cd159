#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Hyssop {

/// Knows when the leases that previous owners have granted end, and records for the next owner which workers have none of this owner.
///
/// A worker with runs of previous owners is silent until it reports in this term. It can't get a lease before, because that needs a
/// reading of its clock. If the term ends with a record that lists a silent worker, only leases of owners before this one remain there,
/// and the next owner need not wait for others. So a listed worker gets no lease until a later record without it is durable, and the
/// next owner must use the newest record of the term.
class EarlierLeases
{
public:
    EarlierLeases() = default;

    /// @p latestEnd is when all leases of previous owners have ended.
    EarlierLeases(std::int64_t term, TimePoint latestEnd);

    /// Takes @p record, which was read at @p readAt, into account if the owner directly before this one has written it. It must be the
    /// newest of that term.
    void restore(const Wire::SilentWorkers &record, TimePoint readAt);

    TimePoint latestEnd() const { return m_latestEnd; }

    /// Returns when all leases that previous owners have granted to @p worker have ended.
    TimePoint endOn(const std::string &worker) const;

    /// Returns the number of workers that the previous owner has recorded.
    std::size_t recordedWorkers() const { return m_restoredEnds.size(); }

    /// Adds a worker with runs of a previous owner. Must not be called after the begin of the term.
    void addWorker(const std::string &worker) { m_silent.insert(worker); }

    void handleReport(const std::string &worker) { m_silent.erase(worker); }

    /// Returns true if this owner may grant @p worker a lease.
    bool canGrant(const std::string &worker) const;

    /// Returns the next record if one is due. It has to be appended to the job topic after all earlier ones.
    std::optional<Wire::SilentWorkers> takeRecord(TimePoint now);

    /// Confirms that the last record, if there is one, is durable. Returns true if other workers than before may get leases.
    bool recordStored();

private:
    /// Returns the workers that a record has to list.
    std::set<std::string> workersToList(TimePoint now) const;

    std::int64_t m_term = 0;
    TimePoint m_latestEnd{};
    std::map<std::string, TimePoint> m_restoredEnds; // by worker; earlier than the latest one
    std::set<std::string> m_silent;
    std::set<std::string> m_stored; // workers in the newest durable record of the term
    std::optional<std::set<std::string>> m_appended; // workers in the record whose append has no response
    std::optional<TimePoint> m_beganAt; // of the first call of takeRecord()
    TimePoint m_recordAt{}; // of the last record
};

} // namespace Hyssop
