#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace Hyssop::Internal {

/// Stores the newest batch ids of a stream, as 128-bit hashes to bound the memory for each id.
class SeenBatchIds
{
public:
    /// Exceeds the number of appends, at several hundred per second, during the resolution of a lost append.
    static constexpr std::size_t Capacity = 100'000;

    explicit SeenBatchIds(std::size_t capacity = Capacity);

    /// Stores @p id. Returns false if it is already stored. An empty id is never stored.
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
