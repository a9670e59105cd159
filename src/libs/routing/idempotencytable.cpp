#include "idempotencytable.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A full table takes less than half of the gateway's memory target of 32 MB.
constexpr std::size_t MaximumKeys = 24576;
constexpr std::size_t MaximumKeysPerCustomer = MaximumKeys / 2; // one customer can't fill the table
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
    // The outcome "not run" of this request was recorded before its intent reached the log.
    if (std::ranges::find(m_notRunRequests, intent.requestId) != m_notRunRequests.end()) {
        m_slots.erase(slot);
        return IntentVerdict::First;
    }
    entry.requestId = intent.requestId;
    entry.bodyHash = intent.bodyHash;
    entry.expiresAt = m_latestTime + window;
    ++m_keysPerCustomer[key.customer];
    slot->second.expiry = m_expiries.emplace(entry.expiresAt, slot);
    return IntentVerdict::First;
}

void IdempotencyTable::applyOutcome(const Wire::RequestOutcome &outcome, WallTime time)
{
    expire(time);
    const auto slot = m_slots.find({outcome.customer, outcome.serviceName, outcome.key});
    const bool holdsKey = slot != m_slots.end() && slot->second.entry.requestId == outcome.requestId;
    if (outcome.notRun) {
        recordNotRun(outcome.requestId);
        if (holdsKey && !slot->second.entry.outcome) {
            remove(slot);
        }
        return;
    }
    if (holdsKey && !slot->second.entry.outcome) {
        slot->second.entry.outcome = RecordedOutcome{outcome.known, outcome.truncated, outcome.status, outcome.contentType, outcome.body};
        storeBody(slot);
    }
}

const IdempotencyEntry *IdempotencyTable::find(const IdempotencyKey &key) const
{
    const auto slot = m_slots.find(key);
    return slot == m_slots.end() ? nullptr : &slot->second.entry;
}

bool IdempotencyTable::hasCapacity(const std::string &customer) const
{
    const auto count = m_keysPerCustomer.find(customer);
    const std::size_t used = count == m_keysPerCustomer.end() ? 0 : count->second;
    return m_slots.size() < Internal::MaximumKeys && used < Internal::MaximumKeysPerCustomer;
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
    // The log's clock may step back; the table's time must not.
    m_latestTime = std::max(m_latestTime, time);
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_latestTime) {
        remove(m_expiries.begin()->second);
    }
}

void IdempotencyTable::remove(Slots::iterator slot)
{
    dropBody(slot);
    const auto count = m_keysPerCustomer.find(slot->first.customer);
    if (--count->second == 0) {
        m_keysPerCustomer.erase(count);
    }
    m_expiries.erase(slot->second.expiry);
    m_slots.erase(slot);
}

void IdempotencyTable::storeBody(Slots::iterator slot)
{
    if (slot->second.entry.outcome->body.empty()) {
        return;
    }
    m_bodyBytes += slot->second.entry.outcome->body.size();
    slot->second.body = m_bodies.insert(m_bodies.end(), slot);
    while (m_bodyBytes > Internal::MaximumBodyBytes) {
        // The key stays owned; only the response body is discarded.
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

void IdempotencyTable::recordNotRun(const std::string &requestId)
{
    m_notRunRequests.push_back(requestId);
    if (m_notRunRequests.size() > Internal::MaximumNotRunRequests) {
        m_notRunRequests.pop_front();
    }
}

} // namespace Hyssop
