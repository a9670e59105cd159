#include "support/capturedoutput.h"

#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <utils/clock.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace Hyssop;
using Hyssop::Testing::CapturedOutput;
using namespace std::chrono_literals;

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

// Guards against a number of dropped lines that does not tell whether any of them mattered.
Test(logging, theNextLineTellsHowManyLinesOfWhichPriorityWereDropped)
{
    constexpr int RoutineLines = 200;
    constexpr int OutcomeLines = 150;
    const CapturedOutput output;
    Clock clock;
    clock.pause();
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
    setLogLineLimit(LineLimit);
    setLogClock(clock);
    for (int line = 0; line < RoutineLines; ++line) {
        logMessage(LogLevel::Info, "owner", "routine");
    }
    const int writtenRoutine = count(output.text(), "message=routine");
    for (int line = 0; line < OutcomeLines; ++line) {
        logMessage(LogPriority::Outcome, LogLevel::Info, "owner", "ended");
    }
    const int writtenOutcome = count(output.text(), "message=ended");
    logMessage(LogPriority::StateChange, LogLevel::Info, "owner", "unreachable");
    const std::string text = output.text();
    const int droppedRoutine = RoutineLines - writtenRoutine;
    const int droppedOutcome = OutcomeLines - writtenOutcome;
    cr_assert_gt(droppedRoutine, 0);
    cr_assert_gt(droppedOutcome, 0);
    cr_assert_eq(count(text, "message=ended dropped_lines=" + std::to_string(droppedRoutine) + " dropped_routine=" + std::to_string(droppedRoutine) + "\n"), 1);
    cr_assert_eq(
        count(text, "message=unreachable dropped_lines=" + std::to_string(droppedOutcome) + " dropped_outcome=" + std::to_string(droppedOutcome) + "\n"), 1);
    logMessage(LogLevel::Warning, "owner", "stepped");
    cr_assert_eq(count(output.text(), "message=stepped\n"), 1, "each dropped line is reported once");
}

Test(logging, droppedLinesAreCountedByPriority)
{
    constexpr int RoutineLines = 200;
    const CapturedOutput output;
    MetricsRegistry metrics;
    Clock clock;
    clock.pause();
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
    setLogLineLimit(LineLimit);
    setLogClock(clock);
    setLogMetrics(&metrics);
    for (int line = 0; line < RoutineLines; ++line) {
        logMessage(LogLevel::Info, "owner", "routine");
    }
    const auto dropped = static_cast<int>(metrics.value("hyssop_dropped_log_lines_total", {{"priority", "routine"}}));
    cr_assert_eq(dropped, RoutineLines - count(output.text(), "message=routine"));
    cr_assert_eq(metrics.value("hyssop_dropped_log_lines_total", {{"priority", "outcome"}}), 0);
    setLogMetrics(nullptr);
    logMessage(LogLevel::Info, "owner", "routine");
    cr_assert_eq(static_cast<int>(metrics.value("hyssop_dropped_log_lines_total", {{"priority", "routine"}})), dropped);
    clock.advance(1s);
    logMessage(LogLevel::Info, "owner", "routine");
    cr_assert_eq(count(output.text(), "message=routine"), RoutineLines - dropped + 1, "the limit is that of a second");
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
