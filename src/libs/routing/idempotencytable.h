#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace Hyssop {

/// Names one idempotency key; keys of different services don't meet.
struct IdempotencyKey
{
    std::string customer;
    std::string serviceName;
    std::string key;

    bool operator==(const IdempotencyKey &other) const = default;
    bool operator<(const IdempotencyKey &other) const { return std::tie(customer, serviceName, key) < std::tie(other.customer, other.serviceName, other.key); }
};

/// Recorded outcome of the request that holds a key.
struct RecordedOutcome
{
    bool known = false; // false: bytes were sent, the answer was not received
    bool truncated = false; // the answer's body is not available
    int status = 0;
    std::string contentType;
    std::string body;
};

/// What the request stream says about one key.
struct IdempotencyEntry
{
    std::string requestId; // the request whose intent was first
    std::int64_t bodyHash = 0;
    WallTime expiresAt; // in the log's time
    std::optional<RecordedOutcome> outcome;
};

/// Answer to a request that wants to use a key.
enum class IntentVerdict {
    First, // the request holds the key and may be sent
    Duplicate, // another request holds the key with the same body
    BodyMismatch, // another request holds the key with another body
};

/// Replicated table of idempotency keys. Readers of the same stream that use the same windows reach the same state. The
/// first intent for a key wins until its window has passed in the log's time.
class IdempotencyTable
{
public:
    /// A key is kept at least for @p window; records say nothing about it, so it comes from the contract in force.
    IntentVerdict applyIntent(const Wire::RequestIntent &intent, WallTime time, std::chrono::microseconds window);

    /// Ignored unless it comes from the request that holds the key. The first outcome wins; notRun frees the key.
    void applyOutcome(const Wire::RequestOutcome &outcome, WallTime time);

    /// Returns null for a free key.
    const IdempotencyEntry *find(const IdempotencyKey &key) const;

    /// False if the customer or the gateway holds so many keys that a new one is not accepted. Keys in their window are
    /// never dropped: that would let a request run twice.
    bool hasRoom(const std::string &customer) const;

    std::size_t size() const;

    /// Bytes of the recorded answers.
    std::size_t bodyBytes() const;

private:
    struct Slot;
    using Slots = std::map<IdempotencyKey, Slot>;

    // Expiries and bodies refer to the slots instead of repeating their keys, which are most of the memory.
    struct Slot
    {
        IdempotencyEntry entry;
        std::multimap<WallTime, Slots::iterator>::iterator expiry;
        std::optional<std::list<Slots::iterator>::iterator> body;
    };

    void expire(WallTime time);
    void remove(Slots::iterator slot);
    void keepBody(Slots::iterator slot);
    void dropBody(Slots::iterator slot);
    void rememberNotRun(const std::string &requestId);

    Slots m_slots;
    std::multimap<WallTime, Slots::iterator> m_expiries;
    std::map<std::string, std::size_t> m_keysOfCustomer;
    std::list<Slots::iterator> m_bodies; // oldest first
    std::deque<std::string> m_notRunRequests; // oldest first
    std::size_t m_bodyBytes = 0;
    WallTime m_latest;
};

} // namespace Hyssop
