#pragma once

#include "command.h"

#include <vector>

namespace Hyssop {

/// Returns the commands job submit, status, cancel and list.
std::vector<Command> jobCommands();

} // namespace Hyssop
