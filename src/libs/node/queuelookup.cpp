#include "queuelookup.h"

namespace Hyssop {

const QueueInfo *findQueue(const ClusterConfig &config, std::string_view host, std::string_view path)
{
    const std::string_view hostName = host.substr(0, host.find(':'));
    const QueueInfo *best = nullptr;
    for (const auto &[name, queue] : config.queues) {
        if (queue.host != hostName || !path.starts_with(queue.pathPrefix)) {
            continue;
        }
        if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size()) {
            best = &queue;
        }
    }
    return best;
}

} // namespace Hyssop
