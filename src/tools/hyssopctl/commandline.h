#pragma once

#include "command.h"

#include <string>
#include <vector>

namespace Hyssop {

/// Every command of hyssopctl, in the order of the help text.
std::vector<Command> allCommands();

/// Runs one command line (without the program's name) to its end.
ExitCode runCommandLine(const std::vector<std::string> &arguments, CommandEnvironment &environment);

} // namespace Hyssop
