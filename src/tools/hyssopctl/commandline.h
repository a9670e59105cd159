#pragma once

#include "command.h"

#include <string>
#include <vector>

namespace Hyssop {

/// Returns all commands of hyssopctl in the order of the help text.
std::vector<Command> allCommands();

/// Runs a command line (without the program name) and returns when the command has ended.
ExitCode runCommandLine(const std::vector<std::string> &arguments, CommandEnvironment &environment);

} // namespace Hyssop
