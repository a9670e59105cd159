#include "idempotencytable.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr std::size_t MaximumKeys = 32768;
constexpr std::size_t MaximumKeysOfCustomer = 16384; // one customer can't use up the table
constexpr std::size_t MaximumBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t MaximumNotRunRequests = 4096;

} // namespace Internal

IntentVerdict IdempotencyTable::applyIntent(const Wire::RequestIntent &intent, WallTime time, std::chrono::microseconds window)
{
    expire(time);
    const IdempotencyKey key{intent.customer, intent.serviceName, intent.key};
    const auto [position, isNew] = m_entries.try_emplace(key);
    IdempotencyEntry &entry = position->second;
    if (!isNew) {
        if (entry.requestId == intent.requestId) {
            return IntentVerdict::First;
        }
        return entry.bodyHash == intent.bodyHash ? IntentVerdict::Duplicate : IntentVerdict::BodyMismatch;
    }
    // The gateway gave this request up before its intent reached the log.
    if (std::ranges::find(m_notRunRequests, intent.requestId) != m_notRunRequests.end()) {
        m_entries.erase(position);
        return IntentVerdict::First;
    }
    entry.requestId = intent.requestId;
    entry.bodyHash = intent.bodyHash;
    entry.expiresAt = m_latest + window;
    ++m_keysOfCustomer[key.customer];
    m_expiries.emplace(entry.expiresAt, key);
    return IntentVerdict::First;
}

void IdempotencyTable::applyOutcome(const Wire::RequestOutcome &outcome, WallTime time)
{
    expire(time);
    const IdempotencyKey key{outcome.customer, outcome.serviceName, outcome.key};
    const auto position = m_entries.find(key);
    const bool holdsKey = position != m_entries.end() && position->second.requestId == outcome.requestId;
    if (outcome.notRun) {
        rememberNotRun(outcome.requestId);
        if (holdsKey && !position->second.outcome) {
            remove(position);
        }
        return;
    }
    if (holdsKey && !position->second.outcome) {
        position->second.outcome = outcome;
        keepBody(key, position->second);
    }
}

const IdempotencyEntry *IdempotencyTable::find(const IdempotencyKey &key) const
{
    const auto position = m_entries.find(key);
    return position == m_entries.end() ? nullptr : &position->second;
}

bool IdempotencyTable::hasRoom(const std::string &customer) const
{
    const auto count = m_keysOfCustomer.find(customer);
    const std::size_t used = count == m_keysOfCustomer.end() ? 0 : count->second;
    return m_entries.size() < Internal::MaximumKeys && used < Internal::MaximumKeysOfCustomer;
}

std::size_t IdempotencyTable::size() const
{
    return m_entries.size();
}

std::size_t IdempotencyTable::bodyBytes() const
{
    return m_bodyBytes;
}

void IdempotencyTable::expire(WallTime time)
{
    // The log's clock may step back; the table's time does not.
    m_latest = std::max(m_latest, time);
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_latest) {
        remove(m_entries.find(m_expiries.begin()->second));
    }
}

void IdempotencyTable::remove(std::map<IdempotencyKey, IdempotencyEntry>::iterator entry)
{
    if (entry->second.outcome) {
        m_bodyBytes -= entry->second.outcome->body.size();
    }
    const auto count = m_keysOfCustomer.find(entry->first.customer);
    if (--count->second == 0) {
        m_keysOfCustomer.erase(count);
    }
    const auto [begin, end] = m_expiries.equal_range(entry->second.expiresAt);
    m_expiries.erase(std::find_if(begin, end, [&](const auto &expiry) { return expiry.second == entry->first; }));
    m_entries.erase(entry);
}

void IdempotencyTable::keepBody(const IdempotencyKey &key, IdempotencyEntry &entry)
{
    m_bodyBytes += entry.outcome->body.size();
    m_bodies.emplace_back(key, entry.requestId);
    while (m_bodyBytes > Internal::MaximumBodyBytes || m_bodies.size() > Internal::MaximumKeys) {
        const auto [oldestKey, requestId] = m_bodies.front();
        m_bodies.pop_front();
        const auto position = m_entries.find(oldestKey);
        if (position == m_entries.end() || position->second.requestId != requestId) {
            continue;
        }
        // The key stays taken; only the answer's body is no longer available.
        Wire::RequestOutcome &outcome = *position->second.outcome;
        m_bodyBytes -= outcome.body.size();
        outcome.truncated = outcome.truncated || !outcome.body.empty();
        outcome.body.clear();
        outcome.body.shrink_to_fit();
    }
}

void IdempotencyTable::rememberNotRun(const std::string &requestId)
{
    m_notRunRequests.push_back(requestId);
    if (m_notRunRequests.size() > Internal::MaximumNotRunRequests) {
        m_notRunRequests.pop_front();
    }
}

} // namespace Hyssop
