#include "workerindex.h"

#include <algorithm>

namespace Hyssop::Internal {

namespace {

constexpr Resources Unavailable{-1, -1, -1, -1};

Resources componentMaximum(const Resources &left, const Resources &right)
{
    return Resources{std::max(left.milliCores, right.milliCores),
                     std::max(left.memoryBytes, right.memoryBytes),
                     std::max(left.accelerators, right.accelerators),
                     std::max(left.slots, right.slots)};
}

} // namespace

void WorkerIndex::set(std::uint32_t worker, const Resources &available)
{
    grow(worker);
    std::size_t node = m_leaves + worker;
    m_nodes[node] = available;
    while (node > 1) {
        node /= 2;
        const Resources value = componentMaximum(m_nodes[2 * node], m_nodes[2 * node + 1]);
        if (value == m_nodes[node]) {
            return;
        }
        m_nodes[node] = value;
    }
}

void WorkerIndex::setUnavailable(std::uint32_t worker)
{
    set(worker, Unavailable);
}

std::optional<std::uint32_t> WorkerIndex::find(const Resources &amount, std::uint32_t start) const
{
    if (m_leaves == 0) {
        return std::nullopt;
    }
    const std::size_t first = start % std::max<std::size_t>(m_workers, 1);
    const auto after = findFrom(1, 0, m_leaves, first, amount);
    if (after || first == 0) {
        return after;
    }
    return findFrom(1, 0, m_leaves, 0, amount);
}

void WorkerIndex::grow(std::uint32_t worker)
{
    m_workers = std::max<std::size_t>(m_workers, worker + 1);
    if (worker < m_leaves) {
        return;
    }
    const std::size_t oldLeaves = m_leaves;
    std::size_t leaves = std::max<std::size_t>(m_leaves, 1);
    while (worker >= leaves) {
        leaves *= 2;
    }
    std::vector<Resources> nodes(2 * leaves, Unavailable);
    std::copy_n(m_nodes.begin() + static_cast<std::ptrdiff_t>(oldLeaves), oldLeaves, nodes.begin() + static_cast<std::ptrdiff_t>(leaves));
    for (std::size_t node = leaves - 1; node >= 1; --node) {
        nodes[node] = componentMaximum(nodes[2 * node], nodes[2 * node + 1]);
    }
    m_leaves = leaves;
    m_nodes = std::move(nodes);
}

std::optional<std::uint32_t> WorkerIndex::findFrom(std::size_t node, std::size_t low, std::size_t width, std::size_t start, const Resources &amount) const
{
    if (low + width <= start || !amount.fitsIn(m_nodes[node])) {
        return std::nullopt;
    }
    if (width == 1) {
        return static_cast<std::uint32_t>(low);
    }
    const std::size_t half = width / 2;
    const auto left = findFrom(2 * node, low, half, start, amount);
    if (left) {
        return left;
    }
    return findFrom(2 * node + 1, low + half, half, start, amount);
}

} // namespace Hyssop::Internal
