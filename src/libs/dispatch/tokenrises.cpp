#include "tokenrises.h"

#include <algorithm>

namespace Hyssop {

void TokenRises::record(const std::string &worker, std::int64_t count)
{
    if (count <= m_minimum) {
        return;
    }
    if (m_counts.size() >= MaximumWorkers && !m_counts.contains(worker)) {
        for (const auto &[id, known] : m_counts) {
            m_minimum = std::max(m_minimum, known);
        }
        m_counts.clear();
    }
    m_counts[worker] = std::max(m_counts[worker], count);
}

std::int64_t TokenRises::countOf(const std::string &worker) const
{
    const auto count = m_counts.find(worker);
    return count != m_counts.end() ? std::max(count->second, m_minimum) : m_minimum;
}

} // namespace Hyssop
