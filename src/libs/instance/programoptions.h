#pragma once

#include <utils/settings.h>

#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// The program has nothing to run and ends with this code: 0 after --help and the like, 2 for a fault.
struct ExitCode
{
    int value = 0;
};

/// Handles the options that all daemons share (--help, --version, --config FILE, --check-config, --example-config).
/// Prints each fault in one line to standard error.
std::variant<Settings, ExitCode> parseProgramOptions(int argc, char **argv, const std::string &program, const std::vector<SettingSpec> &specs);

} // namespace Hyssop
