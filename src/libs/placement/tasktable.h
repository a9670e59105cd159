#pragma once

#include "taskrecord.h"

#include <boost/container/deque.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Hyssop::Internal {

/// All tasks by id, with an index from job ids to task ids. The index refers to the job ids in the records instead of copying
/// them, because 137,000 tasks have to fit in 32 MB.
class TaskTable
{
public:
    TaskTable();
    TaskTable(const TaskTable &) = delete;
    TaskTable &operator=(const TaskTable &) = delete;

    std::uint32_t add(TaskRecord record);
    void remove(std::uint32_t task);

    /// Returns the id of the task with @p jobId, or NoId.
    std::uint32_t find(std::string_view jobId) const;

    TaskRecord &operator[](std::uint32_t task) { return m_records[task]; }
    const TaskRecord &operator[](std::uint32_t task) const { return m_records[task]; }

private:
    // Blocks of 8 KiB waste less space at their ends than the blocks of std::deque, which hold only five records.
    using Records = boost::container::deque<TaskRecord, void, boost::container::deque_options<boost::container::block_bytes<8192U>>::type>;

    struct Hash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name required by the container
        const Records *records;
        std::size_t operator()(std::string_view jobId) const;
        std::size_t operator()(std::uint32_t task) const { return operator()((*records)[task].jobId); }
    };

    struct Equal
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name required by the container
        const Records *records;
        bool operator()(std::uint32_t left, std::uint32_t right) const { return left == right; }
        bool operator()(std::string_view jobId, std::uint32_t task) const { return (*records)[task].jobId == jobId; }
        bool operator()(std::uint32_t task, std::string_view jobId) const { return (*records)[task].jobId == jobId; }
    };

    Records m_records;
    std::vector<std::uint32_t> m_unused;
    boost::unordered_flat_set<std::uint32_t, Hash, Equal> m_index;
};

} // namespace Hyssop::Internal
