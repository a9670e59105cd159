#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Hyssop::Internal {

/// Maps names to consecutive ids, starting at 0. Once a bounded table is full, further names map to 0.
class NameTable
{
public:
    explicit NameTable(std::uint32_t maximumSize = UINT32_MAX)
        : m_maximumSize(maximumSize)
    {
    }

    std::uint32_t idOf(const std::string &name)
    {
        const auto found = m_ids.find(name);
        if (found != m_ids.end()) {
            return found->second;
        }
        const auto next = static_cast<std::uint32_t>(m_ids.size());
        if (next >= m_maximumSize) {
            return 0;
        }
        m_ids.emplace(name, next);
        return next;
    }

    /// Returns all names with their ids.
    const std::unordered_map<std::string, std::uint32_t> &names() const { return m_ids; }

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_ids.size()); }

private:
    std::uint32_t m_maximumSize;
    std::unordered_map<std::string, std::uint32_t> m_ids;
};

} // namespace Hyssop::Internal
