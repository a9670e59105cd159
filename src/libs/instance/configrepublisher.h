#pragma once

#include "configservicestate.h"

namespace Hyssop::Internal {

/// Appends snapshots of keys before the records that hold their values expire. Runs until the service stops.
boost::asio::awaitable<void> republish(ConfigServiceStatePtr state);

} // namespace Hyssop::Internal
