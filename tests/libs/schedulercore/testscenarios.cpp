#include "scenario.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace Hyssop::Testing;

static std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

// Guards against any change of the trace of a scenario. Each scenario states at its top which failure it guards
// against. HYSSOP_UPDATE_GOLDEN=1 rewrites the golden files.
Test(scenarios, matchGoldenTraces)
{
    const std::filesystem::path data(HYSSOP_TEST_DATA);
    std::set<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(data / "scenarios")) {
        if (entry.path().extension() == ".scenario") {
            files.insert(entry.path());
        }
    }
    cr_assert(!files.empty());
    for (const std::filesystem::path &file : files) {
        const ScenarioResult result = runScenario(readFile(file));
        const std::string trace = joined(result.trace);
        const std::string faults = joined(result.faults);
        cr_expect(result.faults.empty(), "%s:\n%s", file.filename().c_str(), faults.substr(0, 2000).c_str());
        const std::filesystem::path golden = data / "golden" / file.filename().replace_extension(".golden");
        if (std::getenv("HYSSOP_UPDATE_GOLDEN")) {
            std::ofstream(golden) << trace;
            continue;
        }
        cr_expect(readFile(golden) == trace, "%s differs from its golden file", file.filename().c_str());
    }
}
