#include "idempotencytable.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A full table takes less than half of the gateway's memory goal of 32 MB.
constexpr std::size_t MaximumKeys = 24576;
constexpr std::size_t MaximumKeysOfCustomer = MaximumKeys / 2; // one customer can't use up the table
constexpr std::size_t MaximumBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t MaximumNotRunRequests = 4096;

} // namespace Internal

IntentVerdict IdempotencyTable::applyIntent(const Wire::RequestIntent &intent, WallTime time, std::chrono::microseconds window)
{
    expire(time);
    const IdempotencyKey key{intent.customer, intent.serviceName, intent.key};
    const auto [slot, isNew] = m_slots.try_emplace(key);
    IdempotencyEntry &entry = slot->second.entry;
    if (!isNew) {
        if (entry.requestId == intent.requestId) {
            return IntentVerdict::First;
        }
        return entry.bodyHash == intent.bodyHash ? IntentVerdict::Duplicate : IntentVerdict::BodyMismatch;
    }
    // The gateway gave this request up before its intent reached the log.
    if (std::ranges::find(m_notRunRequests, intent.requestId) != m_notRunRequests.end()) {
        m_slots.erase(slot);
        return IntentVerdict::First;
    }
    entry.requestId = intent.requestId;
    entry.bodyHash = intent.bodyHash;
    entry.expiresAt = m_latest + window;
    ++m_keysOfCustomer[key.customer];
    slot->second.expiry = m_expiries.emplace(entry.expiresAt, slot);
    return IntentVerdict::First;
}

void IdempotencyTable::applyOutcome(const Wire::RequestOutcome &outcome, WallTime time)
{
    expire(time);
    const auto slot = m_slots.find({outcome.customer, outcome.serviceName, outcome.key});
    const bool holdsKey = slot != m_slots.end() && slot->second.entry.requestId == outcome.requestId;
    if (outcome.notRun) {
        rememberNotRun(outcome.requestId);
        if (holdsKey && !slot->second.entry.outcome) {
            remove(slot);
        }
        return;
    }
    if (holdsKey && !slot->second.entry.outcome) {
        slot->second.entry.outcome = RecordedOutcome{outcome.known, outcome.truncated, outcome.status, outcome.contentType, outcome.body};
        keepBody(slot);
    }
}

const IdempotencyEntry *IdempotencyTable::find(const IdempotencyKey &key) const
{
    const auto slot = m_slots.find(key);
    return slot == m_slots.end() ? nullptr : &slot->second.entry;
}

bool IdempotencyTable::hasRoom(const std::string &customer) const
{
    const auto count = m_keysOfCustomer.find(customer);
    const std::size_t used = count == m_keysOfCustomer.end() ? 0 : count->second;
    return m_slots.size() < Internal::MaximumKeys && used < Internal::MaximumKeysOfCustomer;
}

std::size_t IdempotencyTable::size() const
{
    return m_slots.size();
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
        remove(m_expiries.begin()->second);
    }
}

void IdempotencyTable::remove(Slots::iterator slot)
{
    dropBody(slot);
    const auto count = m_keysOfCustomer.find(slot->first.customer);
    if (--count->second == 0) {
        m_keysOfCustomer.erase(count);
    }
    m_expiries.erase(slot->second.expiry);
    m_slots.erase(slot);
}

void IdempotencyTable::keepBody(Slots::iterator slot)
{
    if (slot->second.entry.outcome->body.empty()) {
        return;
    }
    m_bodyBytes += slot->second.entry.outcome->body.size();
    slot->second.body = m_bodies.insert(m_bodies.end(), slot);
    while (m_bodyBytes > Internal::MaximumBodyBytes) {
        // The key stays taken; only the answer's body is no longer available.
        const auto oldest = m_bodies.front();
        oldest->second.entry.outcome->truncated = true;
        dropBody(oldest);
    }
}

void IdempotencyTable::dropBody(Slots::iterator slot)
{
    if (!slot->second.body) {
        return;
    }
    std::string &body = slot->second.entry.outcome->body;
    m_bodyBytes -= body.size();
    body.clear();
    body.shrink_to_fit();
    m_bodies.erase(*slot->second.body);
    slot->second.body.reset();
}

void IdempotencyTable::rememberNotRun(const std::string &requestId)
{
    m_notRunRequests.push_back(requestId);
    if (m_notRunRequests.size() > Internal::MaximumNotRunRequests) {
        m_notRunRequests.pop_front();
    }
}

} // namespace Hyssop
