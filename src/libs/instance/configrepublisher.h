#pragma once

#include "configservicestate.h"

namespace Hyssop::Internal {

/// Writes snapshots of keys before the records that they rest on expire. Runs until the service stops.
boost::asio::awaitable<void> republish(ConfigServiceStatePtr state);

} // namespace Hyssop::Internal
