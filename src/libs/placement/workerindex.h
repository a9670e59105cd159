#pragma once

#include <utils/resources.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Hyssop::Internal {

/// Finds workers by available resources. A tree over the workers holds the largest amount of each resource in every
/// subtree, so subtrees without room are skipped: the search takes logarithmic time unless resources are fragmented.
class WorkerIndex
{
public:
    /// Sets what is available on @p worker.
    void set(std::uint32_t worker, const Resources &available);

    /// Makes @p worker unavailable for every amount, zero included.
    void setUnavailable(std::uint32_t worker);

    /// Returns the first worker with room for @p amount at or after @p start, cyclically.
    std::optional<std::uint32_t> find(const Resources &amount, std::uint32_t start) const;

    std::size_t size() const { return m_workers; }

private:
    void grow(std::uint32_t worker);
    std::optional<std::uint32_t> findFrom(std::size_t node, std::size_t low, std::size_t width, std::size_t start, const Resources &amount) const;

    std::size_t m_workers = 0;
    std::size_t m_leaves = 0; // a power of two
    std::vector<Resources> m_nodes; // heap order, root at 1
};

} // namespace Hyssop::Internal
