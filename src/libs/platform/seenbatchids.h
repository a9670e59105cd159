#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace Hyssop::Internal {

/// Remembers the newest batch ids of a stream. Keeps 128-bit hashes, so that an id takes a bounded amount of memory.
class SeenBatchIds
{
public:
    /// At least as many as a log with several hundred appends a second takes in while a lost append is resolved.
    static constexpr std::size_t Capacity = 100'000;

    explicit SeenBatchIds(std::size_t capacity = Capacity);

    /// Returns false if @p id is remembered already. An empty id is never remembered.
    bool insert(std::string_view id);

    std::size_t size() const { return m_insertionOrder.size(); }

private:
    struct Hash
    {
        std::uint64_t low = 0;
        std::uint64_t high = 0;
        bool operator==(const Hash &other) const = default;
    };

    struct Hasher
    {
        std::size_t operator()(const Hash &hash) const { return hash.low; }
    };

    std::size_t m_capacity;
    std::deque<Hash> m_insertionOrder;
    std::unordered_set<Hash, Hasher> m_ids;
};

} // namespace Hyssop::Internal
