#pragma once

#include <ports/clusterconfig.h>

#include <string_view>

namespace Hyssop {

/// Returns the queue of the longest path prefix that @p path begins with on @p host, or a null pointer. A port in @p host is
/// ignored.
const QueueInfo *findQueue(const ClusterConfig &config, std::string_view host, std::string_view path);

} // namespace Hyssop
