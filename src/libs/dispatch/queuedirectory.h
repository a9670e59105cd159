#pragma once

#include <ports/clusterconfig.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Hyssop {

/// The queues that jobs were accepted for: those of the newest configuration, and removed ones as they were last defined.
///
/// Load pattern: operators remove queues while jobs of these still have tasks to start. What was accepted has to be finished, so the
/// last definition stays in force for it. Removed queues beyond a bound are forgotten, the longest removed ones first; their jobs wait until the queue
/// is defined again, and so do those of queues that were removed before this instance started.
class QueueDirectory
{
public:
    /// Takes over the queues of @p config, the newest configuration.
    void update(const ClusterConfig &config);

    /// Returns the queue with the name @p name, or a null pointer.
    const QueueInfo *find(const std::string &name) const;

private:
    void retire(const QueueInfo &queue);

    std::map<std::string, QueueInfo> m_queues; // of the newest configuration, by name
    std::map<std::string, QueueInfo> m_removed; // by name
    std::deque<std::string> m_removedNames; // in the order of their removal
};

} // namespace Hyssop
