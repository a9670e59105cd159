#include "tasktable.h"

#include <xxhash.h>

#include <utility>

namespace Hyssop::Internal {

TaskTable::TaskTable()
    : m_index(0, Hash{&m_records}, Equal{&m_records})
{
}

std::uint32_t TaskTable::add(TaskRecord record)
{
    std::uint32_t task = 0;
    if (m_unused.empty()) {
        task = static_cast<std::uint32_t>(m_records.size());
        m_records.push_back(std::move(record));
    } else {
        task = m_unused.back();
        m_unused.pop_back();
        m_records[task] = std::move(record);
    }
    m_index.insert(task);
    return task;
}

void TaskTable::remove(std::uint32_t task)
{
    m_index.erase(task);
    m_records[task] = TaskRecord();
    m_unused.push_back(task);
}

std::uint32_t TaskTable::find(std::string_view jobId) const
{
    const auto found = m_index.find(jobId);
    return found == m_index.end() ? NoId : *found;
}

std::size_t TaskTable::Hash::operator()(std::string_view jobId) const
{
    return XXH3_64bits(jobId.data(), jobId.size());
}

} // namespace Hyssop::Internal
