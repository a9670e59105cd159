#include "programoptions.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace Hyssop {

namespace Internal {

constexpr const char *Version = "0.1.0";
constexpr int UsageError = 2;

static std::variant<ProgramSettings, EarlyExit> loadSettings(const std::string &file, bool checkOnly, const std::vector<SettingSpec> &specs)
{
    auto loaded = Settings::load(file, specs);
    if (const auto *errors = std::get_if<std::vector<SettingError>>(&loaded)) {
        for (const SettingError &error : *errors) {
            std::cerr << error.toString() << "\n";
        }
        return EarlyExit{UsageError};
    }
    if (checkOnly) {
        std::cout << file << ": no faults\n";
        return EarlyExit{0};
    }
    return ProgramSettings{std::get<Settings>(std::move(loaded)), file};
}

} // namespace Internal

std::variant<ProgramSettings, EarlyExit> parseProgramOptions(int argc, char **argv, const std::string &program, const std::vector<SettingSpec> &specs)
{
    namespace po = boost::program_options;
    po::options_description options("Usage: " + program + " --config FILE");
    options.add_options()("help", "Show this help.")("version", "Show the version.")("config", po::value<std::string>(), "Settings file (INI).")(
        "check-config", "Check the settings file and exit.")("example-config", "Print an annotated example of the settings file.");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
    } catch (const po::error &error) {
        std::cerr << program << ": " << error.what() << "\n";
        return EarlyExit{Internal::UsageError};
    }
    if (values.contains("help")) {
        std::cout << options;
        return EarlyExit{0};
    }
    if (values.contains("version")) {
        std::cout << program << " " << Internal::Version << "\n";
        return EarlyExit{0};
    }
    if (values.contains("example-config")) {
        std::cout << Settings::example(specs);
        return EarlyExit{0};
    }
    if (!values.contains("config")) {
        std::cerr << program << ": the option --config is missing; see --help\n";
        return EarlyExit{Internal::UsageError};
    }
    return Internal::loadSettings(values["config"].as<std::string>(), values.contains("check-config"), specs);
}

} // namespace Hyssop
