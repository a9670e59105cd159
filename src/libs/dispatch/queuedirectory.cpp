#include "queuedirectory.h"

#include <algorithm>

namespace Hyssop {

constexpr std::size_t MaximumRemovedQueues = 1000;

void QueueDirectory::update(const ClusterConfig &config)
{
    for (const auto &[name, queue] : m_queues) {
        if (!config.queues.contains(name)) {
            retire(queue);
        }
    }
    m_queues = config.queues;
    std::erase_if(m_removed, [this](const auto &item) { return m_queues.contains(item.first); });
    std::erase_if(m_removedNames, [this](const std::string &name) { return m_queues.contains(name); });
}

const QueueInfo *QueueDirectory::find(const std::string &name) const
{
    if (const auto queue = m_queues.find(name); queue != m_queues.end()) {
        return &queue->second;
    }
    const auto removed = m_removed.find(name);
    return removed != m_removed.end() ? &removed->second : nullptr;
}

void QueueDirectory::retire(const QueueInfo &queue)
{
    m_removed.insert_or_assign(queue.name, queue);
    m_removedNames.push_back(queue.name);
    if (m_removedNames.size() > MaximumRemovedQueues) {
        m_removed.erase(m_removedNames.front());
        m_removedNames.pop_front();
    }
}

} // namespace Hyssop
