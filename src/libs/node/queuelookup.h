#pragma once

#include <ports/clusterconfig.h>

#include <string_view>

namespace Hyssop {

/// Returns the queue on @p host with the longest path prefix that matches @p path, or a null pointer. A port in @p host is
/// ignored.
const QueueInfo *findQueue(const ClusterConfig &config, std::string_view host, std::string_view path);

} // namespace Hyssop
