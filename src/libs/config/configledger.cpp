#include "configledger.h"

#include <wire/logposition.h>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Hyssop {

constexpr std::size_t MaximumBodySize = 64 * 1024; // a contract has 1 to 4 KiB
constexpr std::size_t MaximumNameLength = 200; // of keys, change ids and operators
constexpr std::int64_t MaximumRevision = std::int64_t(1) << 53; // a larger revision is corrupt; the limit also prevents overflow
constexpr std::size_t MaximumCachedVerdicts = 10'000;
constexpr std::size_t MaximumAuditBytes = 4 * 1024 * 1024;

static bool isValidName(std::string_view text)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= MaximumNameLength && text.find_first_not_of(Allowed) == std::string_view::npos;
}

static bool isValidKey(std::string_view key)
{
    const std::size_t slash = key.find('/');
    if (slash == std::string_view::npos) {
        return false;
    }
    const std::string_view kind = key.substr(0, slash);
    return (kind == "contract" || kind == "domain") && isValidName(key.substr(slash + 1));
}

static Wire::ConfigEntry entryOf(const Wire::ConfigSnapshot &snapshot)
{
    Wire::ConfigEntry entry;
    entry.key = snapshot.key;
    entry.revision = snapshot.revision;
    entry.body = snapshot.body;
    entry.changeId = snapshot.changeId;
    entry.operatorName = snapshot.operatorName;
    entry.acceptedAtMs = snapshot.acceptedAtMs;
    entry.removed = snapshot.removed;
    return entry;
}

static std::size_t sizeOf(const Wire::AuditEntry &entry)
{
    return sizeof entry + entry.operatorName.size() + entry.key.size() + entry.reason.size() + entry.changeId.size() + entry.body.size();
}

static std::string conflictReason(const Wire::ConfigChange &change, const Wire::ConfigEntry &current)
{
    std::string reason = "based on revision " + std::to_string(change.baseRevision) + ", but the revision is " + std::to_string(current.revision);
    if (current.revision > 0) {
        reason += " (change " + current.changeId + " by " + current.operatorName + ")";
    }
    return reason;
}

ConfigLedger::ConfigLedger(BodyCheck bodyCheck)
    : m_bodyCheck(std::move(bodyCheck))
{
}

std::optional<std::string> ConfigLedger::validate(const Wire::ConfigChange &change) const
{
    if (!isValidKey(change.key)) {
        return "the key must be contract/CUSTOMER or domain/FAILURE-DOMAIN";
    }
    if (!isValidName(change.changeId)) {
        return "the change id must consist of 1 to 200 letters, digits, \".\", \"_\" or \"-\"";
    }
    if (change.operatorName.empty() || change.operatorName.size() > MaximumNameLength) {
        return "the operator name must have 1 to 200 bytes";
    }
    if (change.baseRevision < 0) {
        return "the base revision must not be negative";
    }
    if (change.body.size() > MaximumBodySize) {
        return "the body has " + std::to_string(change.body.size()) + " bytes; the limit is " + std::to_string(MaximumBodySize);
    }
    if (change.removed) {
        return change.baseRevision == 0 ? std::optional<std::string>("a key that does not exist can't be removed") : std::nullopt;
    }
    return m_bodyCheck(change.key, change.body);
}

void ConfigLedger::setOldestOffset(std::int64_t oldest)
{
    if (oldest <= m_knownUpTo + 1) {
        m_headReached = m_headReached || m_firstVisible <= FirstLogOffset;
        return;
    }
    if (m_appliedUpTo >= 0) {
        ++m_counters.gaps;
    }
    // Accepted changes may have expired unread, so the revisions known are only lower bounds.
    for (auto &[key, state] : m_keys) {
        state.settled = false;
        if (state.entry.revision == 0) {
            // If such a key is considered new at the head, it is new as of the first visible offset.
            state.pending.clear();
            state.asOf = oldest - 1;
        }
    }
    m_knownUpTo = oldest - 1;
    m_firstVisible = oldest;
    m_unknownKeysAsOf = oldest - 1;
    m_headReached = false;
}

void ConfigLedger::apply(std::int64_t offset, WallTime time, const Wire::Record &record)
{
    advanceTo(offset);
    m_times.record(offset, time);
    if (record.__isset.configChange) {
        applyChange(offset, time, record.configChange);
    } else if (record.__isset.configSnapshot) {
        applySnapshot(offset, record.configSnapshot);
    } else {
        ++m_counters.invalidRecords;
    }
}

void ConfigLedger::advanceTo(std::int64_t offset)
{
    assert(offset >= m_appliedUpTo);
    m_appliedUpTo = offset;
    m_knownUpTo = std::max(m_knownUpTo, offset);
}

void ConfigLedger::settleAtHead()
{
    if (m_headReached) {
        return;
    }
    m_headReached = true;
    for (auto &[key, state] : m_keys) {
        if (!state.settled && state.entry.revision == 0) {
            settle(state);
        }
    }
}

void ConfigLedger::mergePeerState(const std::vector<Wire::ConfigEntry> &entries, std::int64_t head)
{
    const bool isBase = head >= m_firstVisible - 1;
    for (const Wire::ConfigEntry &entry : entries) {
        KeyState &state = stateOf(entry.key);
        if (entry.revision > state.entry.revision) {
            setEntry(state, entry);
            state.asOf = std::max(state.asOf, head);
        }
    }
    if (!isBase) {
        return;
    }
    m_knownUpTo = std::max(m_knownUpTo, head);
    m_unknownKeysAsOf = std::max(m_unknownKeysAsOf, head);
    m_headReached = true;
    for (auto &[key, state] : m_keys) {
        if (!state.settled) {
            state.asOf = std::max(state.asOf, head);
            settle(state);
        }
    }
}

void ConfigLedger::settleProvisional()
{
    for (auto &[key, state] : m_keys) {
        if (!state.settled) {
            settle(state);
        }
    }
}

bool ConfigLedger::isComplete() const
{
    return m_headReached && std::ranges::all_of(m_keys, [](const auto &item) { return item.second.settled; });
}

std::vector<std::string> ConfigLedger::provisionalKeys() const
{
    std::vector<std::string> keys;
    for (const auto &[key, state] : m_keys) {
        if (!state.settled) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::int64_t ConfigLedger::appliedUpTo() const
{
    return m_appliedUpTo;
}

std::int64_t ConfigLedger::knownUpTo() const
{
    return m_knownUpTo;
}

std::optional<Wire::ConfigEntry> ConfigLedger::entry(const std::string &key) const
{
    const auto state = m_keys.find(key);
    return state == m_keys.end() || state->second.entry.revision == 0 ? std::nullopt : std::optional(state->second.entry);
}

std::vector<Wire::ConfigEntry> ConfigLedger::entries() const
{
    std::vector<Wire::ConfigEntry> result;
    for (const auto &[key, state] : m_keys) {
        if (state.entry.revision > 0) {
            result.push_back(state.entry);
        }
    }
    return result;
}

std::optional<ConfigBodyInUse> ConfigLedger::bodyInUse(const std::string &key) const
{
    const auto state = m_keys.find(key);
    return state == m_keys.end() || state->second.inUse.revision == 0 ? std::nullopt : std::optional(state->second.inUse);
}

std::vector<std::string> ConfigLedger::keysInUse(std::string_view prefix) const
{
    std::vector<std::string> keys;
    for (const auto &[key, state] : m_keys) {
        if (key.starts_with(prefix) && state.inUse.revision > 0) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::optional<ConfigVerdict> ConfigLedger::verdict(const std::string &key, const std::string &changeId) const
{
    const auto decided = m_decided.find(changeId);
    if (decided != m_decided.end() && decided->second.key == key) {
        return decided->second.verdict;
    }
    // The change may be known from a snapshot only.
    const auto state = m_keys.find(key);
    if (state != m_keys.end() && state->second.entry.revision > 0 && state->second.entry.changeId == changeId) {
        return ConfigVerdict{Wire::ChangeVerdict::Accepted, state->second.entry.revision, {}};
    }
    return std::nullopt;
}

std::vector<Wire::AuditEntry> ConfigLedger::audit(std::string_view keyPrefix, std::size_t maximum) const
{
    std::vector<Wire::AuditEntry> result;
    for (auto entry = m_audit.rbegin(); entry != m_audit.rend() && result.size() < maximum; ++entry) {
        if (entry->key.starts_with(keyPrefix)) {
            result.push_back(*entry);
        }
    }
    return result;
}

std::int64_t ConfigLedger::digest() const
{
    std::string text;
    for (const auto &[key, state] : m_keys) {
        if (state.entry.revision > 0) {
            text += key + '\0' + std::to_string(state.entry.revision) + '\n';
        }
    }
    return static_cast<std::int64_t>(XXH3_64bits(text.data(), text.size()));
}

std::uint64_t ConfigLedger::generation() const
{
    return m_generation;
}

const ConfigLedgerCounters &ConfigLedger::counters() const
{
    return m_counters;
}

std::vector<std::string> ConfigLedger::dueKeys(WallTime now, Duration age) const
{
    std::vector<std::string> keys;
    for (const auto &[key, state] : m_keys) {
        // An entry that was merged from a peer ahead of the log can't be published as of appliedUpTo().
        const bool known = state.settled && state.entry.revision > 0 && state.asOf <= m_appliedUpTo;
        if (known && (!state.baseTime || now - *state.baseTime >= age)) {
            keys.push_back(key);
        }
    }
    return keys;
}

Wire::Record ConfigLedger::snapshot(const std::string &key) const
{
    const auto state = m_keys.find(key);
    assert(state != m_keys.end() && state->second.settled && state->second.asOf <= m_appliedUpTo);
    const Wire::ConfigEntry &entry = state->second.entry;
    Wire::ConfigSnapshot snapshot;
    snapshot.key = entry.key;
    snapshot.revision = entry.revision;
    snapshot.body = entry.body;
    snapshot.changeId = entry.changeId;
    snapshot.operatorName = entry.operatorName;
    snapshot.acceptedAtMs = entry.acceptedAtMs;
    snapshot.readUpTo = m_appliedUpTo;
    snapshot.removed = entry.removed;
    Wire::Record record;
    record.__set_configSnapshot(snapshot);
    return record;
}

ConfigLedger::KeyState &ConfigLedger::stateOf(const std::string &key)
{
    const auto [position, isNew] = m_keys.try_emplace(key);
    if (isNew) {
        position->second.entry.key = key;
        position->second.asOf = m_unknownKeysAsOf;
        position->second.settled = m_headReached;
    }
    return position->second;
}

void ConfigLedger::applyChange(std::int64_t offset, WallTime time, const Wire::ConfigChange &change)
{
    KeyState &state = stateOf(change.key);
    PendingChange pending{offset, time, change};
    if (state.settled) {
        decide(state, pending);
    } else {
        state.pending.push_back(std::move(pending));
    }
}

void ConfigLedger::applySnapshot(std::int64_t offset, const Wire::ConfigSnapshot &snapshot)
{
    if (snapshot.revision < 1 || snapshot.revision > MaximumRevision || snapshot.readUpTo < -1 || snapshot.readUpTo >= offset) {
        ++m_counters.invalidRecords;
        return;
    }
    const Wire::ConfigEntry entry = entryOf(snapshot);
    KeyState &state = stateOf(snapshot.key);
    // The snapshot remains a base until the first record after those that its writer had read expires.
    const auto baseTime = m_times.timeAt(snapshot.readUpTo + 1);
    if (baseTime && (!state.baseTime || *baseTime > *state.baseTime)) {
        state.baseTime = baseTime;
    }
    if (state.settled) {
        compareSnapshot(state, entry, snapshot.readUpTo);
        return;
    }
    if (entry.revision > state.entry.revision) {
        setEntry(state, entry);
        state.asOf = snapshot.readUpTo;
    } else if (entry.revision == state.entry.revision) {
        state.asOf = std::max(state.asOf, snapshot.readUpTo);
    }
    if (snapshot.readUpTo >= m_firstVisible - 1) {
        settle(state);
    }
}

/// Compares a snapshot with an exact state. A correct writer's snapshot is never ahead of it.
void ConfigLedger::compareSnapshot(KeyState &state, const Wire::ConfigEntry &entry, std::int64_t readUpTo)
{
    if (entry.revision > state.entry.revision) {
        // This reader or the writer missed a change. The higher revision wins, as it does for readers that start here.
        ++m_counters.contradictions;
        setEntry(state, entry);
        state.asOf = std::max(state.asOf, readUpTo);
    } else if (entry.revision < state.entry.revision && readUpTo >= std::max(state.changedAt, state.asOf)) {
        // The writer had read far enough and still lacks the change. A snapshot of the correct state must follow soon.
        ++m_counters.contradictions;
        state.baseTime = std::nullopt;
    }
}

void ConfigLedger::decide(KeyState &state, const PendingChange &pending)
{
    const Wire::ConfigChange &change = pending.change;
    if (pending.offset <= state.asOf) {
        // Already contained in the entry; only the change that produced it can be distinguished from the others.
        if (change.changeId == state.entry.changeId) {
            recordVerdict(pending, {Wire::ChangeVerdict::Accepted, state.entry.revision, {}});
        } else if (!verdict(change.key, change.changeId)) {
            cacheVerdict(change, {Wire::ChangeVerdict::Unknown, state.entry.revision, "the verdict was given before this instance began to read"});
        }
        return;
    }
    if (change.baseRevision == state.entry.revision) {
        accept(state, pending);
        recordVerdict(pending, {Wire::ChangeVerdict::Accepted, state.entry.revision, {}});
        return;
    }
    // A repetition of a change that was or may have been accepted has an old base and changes nothing.
    const auto earlier = verdict(change.key, change.changeId);
    if (earlier && earlier->verdict != Wire::ChangeVerdict::Conflict) {
        return;
    }
    ++m_counters.conflicts;
    recordVerdict(pending, {Wire::ChangeVerdict::Conflict, state.entry.revision, conflictReason(change, state.entry)});
}

void ConfigLedger::accept(KeyState &state, const PendingChange &pending)
{
    const Wire::ConfigChange &change = pending.change;
    ++m_counters.accepted;
    if (state.entry.revision == 0) {
        // The change that creates a key is a base itself: nothing before it matters.
        state.baseTime = pending.time;
    }
    Wire::ConfigEntry entry;
    entry.key = change.key;
    entry.revision = change.baseRevision + 1;
    entry.body = change.body;
    entry.changeId = change.changeId;
    entry.operatorName = change.operatorName;
    entry.acceptedAtMs = sinceEpoch(pending.time).count();
    entry.removed = change.removed;
    setEntry(state, entry);
    state.changedAt = pending.offset;
}

void ConfigLedger::setEntry(KeyState &state, const Wire::ConfigEntry &entry)
{
    state.entry = entry;
    ++m_generation;
    if (entry.removed) {
        state.inUse = {};
    } else if (m_bodyCheck(entry.key, entry.body)) {
        ++m_counters.unusableBodies;
    } else {
        state.inUse = {entry.revision, entry.body};
    }
}

void ConfigLedger::settle(KeyState &state)
{
    state.settled = true;
    const std::vector<PendingChange> pending = std::exchange(state.pending, {});
    for (const PendingChange &change : pending) {
        decide(state, change);
    }
}

void ConfigLedger::cacheVerdict(const Wire::ConfigChange &change, const ConfigVerdict &verdict)
{
    if (m_decided.insert_or_assign(change.changeId, DecidedChange{change.key, verdict}).second) {
        m_decidedOrder.push_back(change.changeId);
    }
    if (m_decidedOrder.size() > MaximumCachedVerdicts) {
        m_decided.erase(m_decidedOrder.front());
        m_decidedOrder.pop_front();
    }
}

void ConfigLedger::recordVerdict(const PendingChange &pending, const ConfigVerdict &verdict)
{
    const Wire::ConfigChange &change = pending.change;
    cacheVerdict(change, verdict);
    Wire::AuditEntry entry;
    entry.offset = pending.offset;
    entry.timeMs = sinceEpoch(pending.time).count();
    entry.operatorName = change.operatorName;
    entry.key = change.key;
    entry.fromRevision = change.baseRevision;
    entry.toRevision = verdict.revision;
    entry.verdict = verdict.verdict;
    entry.reason = verdict.message;
    entry.changeId = change.changeId;
    entry.body = change.body;
    appendAudit(std::move(entry));
}

void ConfigLedger::appendAudit(Wire::AuditEntry entry)
{
    m_auditBytes += sizeOf(entry);
    // Deferred verdicts are appended late; the audit trail keeps the order of the log.
    const auto position = std::ranges::upper_bound(m_audit, entry.offset, {}, &Wire::AuditEntry::offset);
    m_audit.insert(position, std::move(entry));
    while (m_auditBytes > MaximumAuditBytes) {
        m_auditBytes -= sizeOf(m_audit.front());
        m_audit.pop_front();
    }
}

} // namespace Hyssop
