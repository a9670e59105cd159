#pragma once

#include "command.h"

#include <vector>

namespace Hyssop {

/// Returns the commands domain out, in and status.
std::vector<Command> domainCommands();

} // namespace Hyssop
