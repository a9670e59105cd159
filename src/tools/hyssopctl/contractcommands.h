#pragma once

#include "command.h"

#include <vector>

namespace Hyssop {

/// Returns the commands contract apply, get, list, diff and history.
std::vector<Command> contractCommands();

} // namespace Hyssop
