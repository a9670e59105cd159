#pragma once

#include "command.h"

#include <vector>

namespace Hyssop {

/// explain, audit and status.
std::vector<Command> statusCommands();

} // namespace Hyssop
