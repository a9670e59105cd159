#pragma once

#include "command.h"

#include <vector>

namespace Hyssop {

/// target list.
std::vector<Command> targetCommands();

} // namespace Hyssop
