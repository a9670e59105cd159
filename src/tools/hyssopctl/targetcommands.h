#pragma once

#include "command.h"

#include <vector>

namespace Hyssop {

/// Returns the command target list.
std::vector<Command> targetCommands();

} // namespace Hyssop
