#include "support/capturedoutput.h"

#include <observability/logging.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <fcntl.h>
#include <string>
#include <unistd.h>

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

Test(logging, aLineLongerThanAFullPipeTakesDoesNotBlock, .timeout = 10)
{
    constexpr std::size_t PipeSize = 4096;
    int ends[2] = {-1, -1};
    cr_assert_eq(::pipe(ends), 0);
    cr_assert_geq(::fcntl(ends[0], F_SETPIPE_SZ, static_cast<int>(PipeSize)), 0);
    const int original = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
    logMessage(LogLevel::Info, "owner", std::string(16 * PipeSize, 'x'));
    std::string received(PipeSize, '\0');
    cr_assert_gt(::read(ends[0], received.data(), received.size()), 0);
    logMessage(LogLevel::Info, "owner", "next");
    received.resize(static_cast<std::size_t>(std::max<ssize_t>(::read(ends[0], received.data(), received.size()), 0)));
    ::dup2(original, STDOUT_FILENO);
    cr_assert(received.starts_with("\n"), "the next line is appended to the part of the long one");
    cr_assert_eq(count(received, "log lines dropped"), 1);
    cr_assert_eq(count(received, "message=next"), 1);
}

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

// Guards against lines about requests that take the part of the routine lines while the part reserved for them is unused.
Test(logging, linesOfAHigherPriorityUseWhatIsReservedForThemFirst)
{
    constexpr int RoutineShare = 53;
    constexpr int RequestEnds = 19;
    const CapturedOutput output;
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
    setLogLineLimit(LineLimit);
    for (int line = 0; line < RequestEnds; ++line) {
        logMessage(LogPriority::RequestEnd, LogLevel::Info, "owner", "ended");
    }
    logRepeatedly(LogLevel::Info, "routine");
    cr_assert_eq(count(output.text(), "message=routine"), RoutineShare, "%d lines", count(output.text(), "message=routine"));
    logRepeatedly(LogLevel::Warning, "stepped");
    cr_assert_eq(count(output.text(), "\n"), LineLimit);
}
