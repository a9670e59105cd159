#pragma once

#include <utils/settings.h>

#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// The program ends at once with this code: 0 after --help and similar options, 2 for invalid options or settings.
struct EarlyExit
{
    int value = 0;
};

/// Settings of a program and the file that they were read from, which a reload reads again.
struct ProgramSettings
{
    Settings settings;
    std::string file;
};

/// Handles the options that all daemons share (--help, --version, --config FILE, --check-config, --example-config).
/// Prints each error to standard error, one a line.
std::variant<ProgramSettings, EarlyExit> parseProgramOptions(int argc, char **argv, const std::string &program, const std::vector<SettingSpec> &specs);

} // namespace Hyssop
