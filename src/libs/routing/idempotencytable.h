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

/// Identifies an idempotency key. The key strings are scoped to a service of a customer.
struct IdempotencyKey
{
    std::string customer;
    std::string serviceName;
    std::string key;

    bool operator==(const IdempotencyKey &other) const = default;
    bool operator<(const IdempotencyKey &other) const { return std::tie(customer, serviceName, key) < std::tie(other.customer, other.serviceName, other.key); }
};

/// Recorded outcome of the request that owns a key.
struct RecordedOutcome
{
    bool known = false; // false: bytes were sent, but no response was received
    bool truncated = false; // the response body is not available
    int status = 0;
    std::string contentType;
    std::string body;
};

/// State of one key, as read from the request stream.
struct IdempotencyEntry
{
    std::string requestId; // the request whose intent came first; it owns the key
    std::int64_t bodyHash = 0;
    WallTime expiresAt; // in the time of the log's clock
    std::optional<RecordedOutcome> outcome;
};

/// Result of a request intent.
enum class IntentVerdict {
    First, // the request owns the key and may be sent
    Duplicate, // another request with the same body owns the key
    BodyMismatch, // another request with a different body owns the key
};

/// Replicated table of idempotency keys. Readers of the same stream that use the same windows reach the same state. The
/// first intent for a key owns it until the window has passed on the log's clock.
class IdempotencyTable
{
public:
    /// Keeps a new key for at least @p window. The window comes from the contract in force, because records don't
    /// contain it.
    IntentVerdict applyIntent(const Wire::RequestIntent &intent, WallTime time, std::chrono::microseconds window);

    /// Stores the outcome if its request owns the key and has none yet. An outcome with notRun releases the key.
    void applyOutcome(const Wire::RequestOutcome &outcome, WallTime time);

    /// Returns null if no request owns the key.
    const IdempotencyEntry *find(const IdempotencyKey &key) const;

    /// Returns false if the customer or the whole table has reached its maximum number of keys. Keys are never evicted
    /// before their window ends, because their requests could then run twice.
    bool hasCapacity(const std::string &customer) const;

    std::size_t size() const;

    /// Total size of the recorded response bodies.
    std::size_t bodyBytes() const;

private:
    struct Slot;
    using Slots = std::map<IdempotencyKey, Slot>;

    // m_expiries and m_bodies hold iterators instead of copies of the keys, which take most of the memory.
    struct Slot
    {
        IdempotencyEntry entry;
        std::multimap<WallTime, Slots::iterator>::iterator expiry;
        std::optional<std::list<Slots::iterator>::iterator> body;
    };

    void expire(WallTime time);
    void remove(Slots::iterator slot);
    void storeBody(Slots::iterator slot);
    void dropBody(Slots::iterator slot);
    void recordNotRun(const std::string &requestId);

    Slots m_slots;
    std::multimap<WallTime, Slots::iterator> m_expiries;
    std::map<std::string, std::size_t> m_keysPerCustomer;
    std::list<Slots::iterator> m_bodies; // oldest first
    std::deque<std::string> m_notRunRequests; // oldest first
    std::size_t m_bodyBytes = 0;
    WallTime m_latestTime;
};

} // namespace Hyssop
