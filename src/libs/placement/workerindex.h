#pragma once

#include <utils/resources.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Hyssop::Internal {

/// Finds workers by available resources. A segment tree over the workers holds the maximum of each resource in every
/// subtree, so that the search skips subtrees in which the amount cannot fit. It takes logarithmic time unless the resources
/// are fragmented, that is, the maxima of a subtree stem from different workers.
class WorkerIndex
{
public:
    /// Sets the available resources of @p worker.
    void set(std::uint32_t worker, const Resources &available);

    /// Excludes @p worker from all searches, including those for a zero amount.
    void setUnavailable(std::uint32_t worker);

    /// Returns the first worker at or after @p start on which @p amount fits, wrapping around at the last worker.
    std::optional<std::uint32_t> find(const Resources &amount, std::uint32_t start) const;

    std::size_t size() const { return m_workers; }

private:
    void grow(std::uint32_t worker);
    std::optional<std::uint32_t> findFrom(std::size_t node, std::size_t low, std::size_t width, std::size_t start, const Resources &amount) const;

    std::size_t m_workers = 0;
    std::size_t m_leaves = 0; // a power of two
    std::vector<Resources> m_nodes; // in heap order, root at index 1
};

} // namespace Hyssop::Internal
