#pragma once

#include "offsettimes.h"

#include "hyssop_types.h"

#include <utils/clock.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Hyssop {

/// Events since the start, for metrics.
struct ConfigLedgerCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unusableBodies = 0; // accepted bodies that this version can't use
    std::uint64_t invalidRecords = 0; // snapshots with invalid values, records of an unknown kind
    std::uint64_t contradictions = 0; // snapshots that disagree with the changes read
    std::uint64_t gaps = 0; // records expired before they were read
};

/// Result of one change.
struct ConfigVerdict
{
    Wire::ChangeVerdict::type verdict = Wire::ChangeVerdict::Unknown; // Accepted, Conflict, or Unknown for a change that is older than the reader's base
    std::int64_t revision = 0; // of the key after the change
    std::string message;
};

/// The body of a key that is in use. It is older than the newest revision if this version can't use the newest body.
struct ConfigBodyInUse
{
    std::int64_t revision = 0;
    std::string body;
};

/// Configuration state, derived from the `config` stream. Performs no I/O.
///
/// A change is accepted if and only if its base is the key's revision at its offset. Readers decide this independently
/// of the body, so that readers of different versions agree.
///
/// A reader of a truncated log defers its verdicts on a key until it has a base: a snapshot whose writer had read
/// everything that this reader can't see. A key for which the retained log holds no snapshot at all is considered new
/// once the head is reached. This relies on instances republishing a snapshot of every key, removed ones included,
/// before its last snapshot (or the change that created it) expires; see dueKeys(). The age that counts is that of the
/// last snapshot and not of the last change, because a change alone is no base for a verdict. A snapshot that is no
/// base is provisional: it gives a lower bound of the revision, and the key waits for a better snapshot or for a peer's
/// state.
class ConfigLedger
{
public:
    /// Returns why this version can't use a body; no value if it can.
    using BodyCheck = std::function<std::optional<std::string>(const std::string &key, const std::string &body)>;

    explicit ConfigLedger(BodyCheck bodyCheck);

    /// Returns why @p change must not be written to the log; no value for a valid change.
    std::optional<std::string> validate(const Wire::ConfigChange &change) const;

    /// Sets the first offset that the log still retains. The state is not complete before the first call. Call before
    /// the records of each read are applied. The log numbers the records of a stream 1, 2, 3 and so on.
    void setOldestOffset(std::int64_t oldest);

    /// Applies one record. @p time is the log's time of the record. Offsets must not fall.
    void apply(std::int64_t offset, WallTime time, const Wire::Record &record);

    /// Records that everything up to @p offset has been read. Call after each read, to account for batches without
    /// configuration records and batches that the tailer has dropped.
    void advanceTo(std::int64_t offset);

    /// Call when everything up to a head that was read after setOldestOffset() has been applied.
    void settleAtHead();

    /// Merges the complete state of a ready peer that has applied everything up to @p head. Never lowers a revision.
    void mergePeerState(const std::vector<Wire::ConfigEntry> &entries, std::int64_t head);

    /// Settles the keys that are still provisional on the known revisions. Use only if no peer has newer state.
    void settleProvisional();

    /// True if the state is complete as of appliedUpTo().
    bool isComplete() const;
    std::vector<std::string> provisionalKeys() const;

    /// Last offset that is part of the state; -1 before the first.
    std::int64_t appliedUpTo() const;

    /// Offset as of which a complete state holds; above appliedUpTo() after the state of a peer was merged.
    std::int64_t knownUpTo() const;

    std::optional<Wire::ConfigEntry> entry(const std::string &key) const;
    /// All keys in order, removed ones included.
    std::vector<Wire::ConfigEntry> entries() const;
    /// No value for an unknown or removed key, or if no revision was usable.
    std::optional<ConfigBodyInUse> bodyInUse(const std::string &key) const;
    std::vector<std::string> keysInUse(std::string_view prefix) const;

    /// Verdict on a change; no value if the change was not read, or was read long ago.
    std::optional<ConfigVerdict> verdict(const std::string &key, const std::string &changeId) const;

    /// Newest audit entries first, whose key begins with @p keyPrefix. About 4 MiB of entries are kept.
    std::vector<Wire::AuditEntry> audit(std::string_view keyPrefix, std::size_t maximum) const;

    /// Hash over all (key, revision) pairs.
    std::int64_t digest() const;
    /// Increases with every change of the state.
    std::uint64_t generation() const;
    const ConfigLedgerCounters &counters() const;

    /// Keys that need a new snapshot: the last record that serves as a base is at least @p age old at @p now.
    std::vector<std::string> dueKeys(WallTime now, Duration age) const;
    /// Snapshot of a known key. Call between batches only: it states that everything up to appliedUpTo() is included.
    Wire::Record snapshot(const std::string &key) const;

private:
    struct PendingChange
    {
        std::int64_t offset;
        WallTime time;
        Wire::ConfigChange change;
    };

    struct KeyState
    {
        Wire::ConfigEntry entry; // revision 0: the key does not exist
        bool settled = false; // the revision is exact as of asOf, so verdicts can be given
        std::int64_t asOf = -1; // later changes are not contained in entry
        std::int64_t changedAt = -1; // offset of the last accepted change that was seen
        std::vector<PendingChange> pending; // changes that wait for a base
        ConfigBodyInUse inUse; // revision 0: none
        std::optional<WallTime> baseTime; // time of the newest record from which a truncated log can be read
    };

    struct DecidedChange
    {
        std::string key;
        ConfigVerdict verdict;
    };

    KeyState &stateOf(const std::string &key);
    void applyChange(std::int64_t offset, WallTime time, const Wire::ConfigChange &change);
    void applySnapshot(std::int64_t offset, const Wire::ConfigSnapshot &snapshot);
    void compareSnapshot(KeyState &state, const Wire::ConfigEntry &entry, std::int64_t readUpTo);
    void decide(KeyState &state, const PendingChange &pending);
    void accept(KeyState &state, const PendingChange &pending);
    void setEntry(KeyState &state, const Wire::ConfigEntry &entry);
    void settle(KeyState &state);
    void cacheVerdict(const Wire::ConfigChange &change, const ConfigVerdict &verdict);
    void recordVerdict(const PendingChange &pending, const ConfigVerdict &verdict);
    void appendAudit(Wire::AuditEntry entry);

    BodyCheck m_bodyCheck;
    std::map<std::string, KeyState> m_keys;
    std::unordered_map<std::string, DecidedChange> m_decided; // by change id
    std::deque<std::string> m_decidedOrder;
    std::deque<Wire::AuditEntry> m_audit;
    std::size_t m_auditBytes = 0;
    Internal::OffsetTimes m_times;
    std::int64_t m_appliedUpTo = -1;
    std::int64_t m_firstVisible = 1; // everything below was not seen by this reader
    std::int64_t m_knownUpTo = 0; // the state contains everything up to here that matters
    std::int64_t m_unknownKeysAsOf = 0; // a key without state had revision 0 at this offset
    bool m_headReached = false; // false: a key without a snapshot may exist nevertheless
    std::uint64_t m_generation = 0;
    ConfigLedgerCounters m_counters;
};

} // namespace Hyssop
