#pragma once

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace Hyssop::Test {

/// Reads a file below the source tree's tests folder; empty if there is none.
inline std::string readTestFile(const std::string &path)
{
    std::ifstream stream(std::string(HYSSOP_TEST_DATA) + "/" + path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

/// Compares @p actual with tests/golden/NAME.golden and returns a description of the first difference, or an empty
/// string. With HYSSOP_UPDATE_GOLDEN set, writes the file instead.
inline std::string differenceFromGolden(const std::string &name, const std::string &actual)
{
    const std::string path = "golden/" + name + ".golden";
    if (std::getenv("HYSSOP_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(std::string(HYSSOP_TEST_DATA) + "/" + path, std::ios::binary) << actual;
        return {};
    }
    const std::string expected = readTestFile(path);
    if (expected == actual) {
        return {};
    }
    std::istringstream expectedLines(expected);
    std::istringstream actualLines(actual);
    std::string expectedLine;
    std::string actualLine;
    for (int number = 1;; ++number) {
        const bool hasExpected = static_cast<bool>(std::getline(expectedLines, expectedLine));
        const bool hasActual = static_cast<bool>(std::getline(actualLines, actualLine));
        if (!hasExpected && !hasActual) {
            return path + ": differs in the line ending of the last line";
        }
        if (hasExpected != hasActual || expectedLine != actualLine) {
            return path + ":" + std::to_string(number) + ": expected \"" + (hasExpected ? expectedLine : "<end>") + "\", got \""
                + (hasActual ? actualLine : "<end>") + "\"\nwhole output:\n" + actual;
        }
    }
}

} // namespace Hyssop::Test
