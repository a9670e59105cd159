#include <instance/programoptions.h>

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace Hyssop;

namespace {

const std::vector<SettingSpec> Specs{{"logging.lines", IntegerSetting{1, 1000}, "Maximum number of log lines per second.", "400", false}};

/// A settings file that exists during a test.
class SettingsFile
{
public:
    SettingsFile()
        : path((std::filesystem::temp_directory_path() / ("test-programoptions-" + std::to_string(::getpid()) + ".ini")).string())
    {
        std::ofstream(path) << "[logging]\nlines=7\n";
    }

    ~SettingsFile() { std::filesystem::remove(path); }

    const std::string path;
};

std::variant<ProgramSettings, EarlyExit> parse(std::vector<std::string> arguments)
{
    std::vector<char *> pointers;
    pointers.reserve(arguments.size());
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    return parseProgramOptions(static_cast<int>(pointers.size()), pointers.data(), "program", Specs);
}

} // namespace

Test(programOptions, theSettingsFileIsKnownHoweverItIsGiven)
{
    const SettingsFile file;
    const std::vector<std::vector<std::string>> commandLines{{"program", "--config", file.path}, {"program", "--config=" + file.path}};
    for (const auto &commandLine : commandLines) {
        const auto parsed = parse(commandLine);
        const auto *program = std::get_if<ProgramSettings>(&parsed);
        cr_assert(program != nullptr);
        cr_assert_str_eq(program->file.c_str(), file.path.c_str());
        cr_assert_eq(program->settings.integer("logging.lines"), 7);
    }
}

Test(programOptions, aMissingSettingsFileIsAUsageError)
{
    const auto parsed = parse({"program", "--config", "/nonexistent/settings.ini"});
    const auto *code = std::get_if<EarlyExit>(&parsed);
    cr_assert(code != nullptr);
    cr_assert_eq(code->value, 2);
}
