#include "support/capturedoutput.h"

#include <observability/logging.h>

#include <criterion/criterion.h>

#include <string>

using namespace Hyssop;
using Hyssop::Testing::CapturedOutput;

namespace {

constexpr int LineLimit = 100;

int count(const std::string &text, const std::string &part)
{
    int result = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++result;
    }
    return result;
}

void logRepeatedly(LogLevel level, const char *message)
{
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logMessage(level, "owner", message);
    }
}

} // namespace

Test(logging, warningsAreNotDroppedBecauseOfRoutineLines)
{
    const CapturedOutput output;
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
    setLogLineLimit(LineLimit);
    logRepeatedly(LogLevel::Info, "routine");
    logMessage(LogLevel::Warning, "owner", "stepped");
    cr_assert_eq(count(output.text(), "message=stepped"), 1);
    cr_assert_gt(count(output.text(), "message=routine"), LineLimit / 2);
}

Test(logging, warningsAreBoundedByTheLineLimitToo)
{
    const CapturedOutput output;
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
    setLogLineLimit(LineLimit);
    logRepeatedly(LogLevel::Info, "routine");
    logRepeatedly(LogLevel::Warning, "stepped");
    cr_assert_eq(count(output.text(), "\n"), LineLimit);
}

Test(logging, manyStateChangesDropNeitherWarningsNorTheBound)
{
    const CapturedOutput output;
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
    setLogLineLimit(LineLimit);
    logRepeatedly(LogLevel::Info, "routine");
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logMessage(LogPriority::StateChange, LogLevel::Info, "owner", "unreachable");
    }
    logMessage(LogLevel::Warning, "owner", "stepped");
    const std::string text = output.text();
    cr_assert_gt(count(text, "message=unreachable"), LineLimit / 5);
    cr_assert_eq(count(text, "message=stepped"), 1);
    cr_assert_leq(count(text, "\n"), LineLimit);
}

Test(logging, manyOutcomesDropNeitherStateChangesNorWarnings)
{
    const CapturedOutput output;
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
    setLogLineLimit(LineLimit);
    for (int line = 0; line < 2 * LineLimit; ++line) {
        logMessage(LogPriority::Outcome, LogLevel::Info, "owner", "ended");
    }
    logMessage(LogPriority::StateChange, LogLevel::Info, "owner", "unreachable");
    logMessage(LogLevel::Warning, "owner", "stepped");
    const std::string text = output.text();
    cr_assert_gt(count(text, "message=ended"), LineLimit / 2);
    cr_assert_eq(count(text, "message=unreachable"), 1);
    cr_assert_eq(count(text, "message=stepped"), 1);
}
