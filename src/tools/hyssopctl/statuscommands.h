#pragma once

#include "command.h"

#include <vector>

namespace Hyssop {

/// Returns the commands explain, audit and status.
std::vector<Command> statusCommands();

} // namespace Hyssop
