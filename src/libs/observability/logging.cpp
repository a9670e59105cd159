#include "logging.h"

#include "metricsregistry.h"
#include "outputappender.h"

#include <utils/clock.h>

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <numeric>

namespace Hyssop {

namespace Internal {

// Parts of the limit that are not available to lines of lower priority.
constexpr int OutcomeSharePercent = 8;
constexpr int RequestEndSharePercent = 19;
constexpr int StateChangeSharePercent = 10;
constexpr int EssentialSharePercent = 10;

constexpr std::array Priorities{LogPriority::Routine, LogPriority::Outcome, LogPriority::RequestEnd, LogPriority::StateChange, LogPriority::Essential};

/// Numbers of lines by priority.
using LineCounts = std::array<long, Priorities.size()>;

struct LoggingState
{
    log4cplus::Initializer initializer;
    LogFormat format = LogFormat::KeyValue;
    std::string instance;
    int linesPerSecond = 0; // 0: no limit
    LineCounts writtenLines{}; // in this second
    LineCounts droppedLines{}; // since the last written line
    MetricsRegistry *metrics = nullptr;
    TimePoint secondStartedAt{};
};

static std::unique_ptr<LoggingState> &loggingState()
{
    static std::unique_ptr<LoggingState> state;
    return state;
}

static const Clock *&logClock()
{
    static const Clock systemClock;
    static const Clock *clock = &systemClock;
    return clock;
}

static log4cplus::LogLevel toLibraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

static const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

static const char *priorityName(LogPriority priority)
{
    switch (priority) {
    case LogPriority::Routine:
        return "routine";
    case LogPriority::Outcome:
        return "outcome";
    case LogPriority::RequestEnd:
        return "request_end";
    case LogPriority::StateChange:
        return "state_change";
    case LogPriority::Essential:
        return "essential";
    }
    return "unknown";
}

/// Quotes and escapes @p text for both formats; JSON escapes are also valid in quoted key=value text.
static std::string quoted(std::string_view text)
{
    std::string result = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        constexpr unsigned char FirstPrintableCharacter = 0x20;
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
        } else if (byte < FirstPrintableCharacter) {
            char escape[7];
            std::snprintf(escape, sizeof escape, "\\u%04x", byte);
            result += escape;
        } else {
            result += character;
        }
    }
    return result + "\"";
}

/// Returns which part of the limit is reserved for lines of a higher priority.
static int reservedPercent(LogPriority priority)
{
    switch (priority) {
    case LogPriority::Routine:
        return EssentialSharePercent + StateChangeSharePercent + RequestEndSharePercent + OutcomeSharePercent;
    case LogPriority::Outcome:
        return EssentialSharePercent + StateChangeSharePercent + RequestEndSharePercent;
    case LogPriority::RequestEnd:
        return EssentialSharePercent + StateChangeSharePercent;
    case LogPriority::StateChange:
        return EssentialSharePercent;
    case LogPriority::Essential:
        return 0;
    }
    return 0;
}

/// Returns how many lines of the limit are reserved for lines of a higher priority.
static int reservedLines(int linesPerSecond, LogPriority priority)
{
    return linesPerSecond * reservedPercent(priority) / 100;
}

static void countDroppedLine(LoggingState &state, LogPriority priority)
{
    ++state.droppedLines[static_cast<std::size_t>(priority)];
    if (state.metrics != nullptr) {
        state.metrics->add("hyssop_dropped_log_lines_total", {{"priority", priorityName(priority)}});
    }
}

/// Returns true if a line may be written without using what is reserved for a higher priority. Lines of a higher priority use what is
/// reserved for them first.
static bool hasLinesLeft(const LoggingState &state, LogPriority priority)
{
    long written = 0; // lines of this or a lower priority
    for (const LogPriority other : Priorities) {
        written += state.writtenLines[static_cast<std::size_t>(other)];
        if (other >= priority && written >= state.linesPerSecond - reservedLines(state.linesPerSecond, other)) {
            return false;
        }
    }
    return true;
}

/// Applies the rate limit. Returns false, and counts the line as dropped, if the limit of this second is reached.
static bool consumeLineBudget(LoggingState &state, LogPriority priority)
{
    if (state.linesPerSecond == 0) {
        return true;
    }
    const TimePoint now = logClock()->now();
    if (now - state.secondStartedAt >= std::chrono::seconds(1)) {
        state.secondStartedAt = now;
        state.writtenLines.fill(0);
    }
    if (!hasLinesLeft(state, priority)) {
        countDroppedLine(state, priority);
        return false;
    }
    ++state.writtenLines[static_cast<std::size_t>(priority)];
    return true;
}

static bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" =\"\\\t\r\n") != std::string_view::npos;
}

static void appendField(std::string &line, LogFormat format, const LogField &field)
{
    if (format == LogFormat::Json) {
        line += ",";
        line += quoted(field.key) + ":" + (field.isText ? quoted(field.value) : field.value);
        return;
    }
    line += " " + field.key + "=" + (field.isText && needsQuotes(field.value) ? quoted(field.value) : field.value);
}

/// Appends how many lines were dropped, in total and by priority, and resets these numbers.
static void appendDroppedLines(std::string &line, LoggingState &state)
{
    const long total = std::accumulate(state.droppedLines.begin(), state.droppedLines.end(), 0L);
    if (total == 0) {
        return;
    }
    appendField(line, state.format, LogField("dropped_lines", total));
    for (const LogPriority priority : Priorities) {
        if (const long dropped = state.droppedLines[static_cast<std::size_t>(priority)]; dropped > 0) {
            appendField(line, state.format, LogField("dropped_" + std::string(priorityName(priority)), dropped));
        }
    }
    state.droppedLines.fill(0);
}

} // namespace Internal

LogField::LogField(std::string_view fieldKey, std::string_view text)
    : key(fieldKey)
    , value(text)
{
}

LogField::LogField(std::string_view fieldKey, const char *text)
    : key(fieldKey)
    , value(text)
{
}

LogField::LogField(std::string_view fieldKey, const std::string &text)
    : key(fieldKey)
    , value(text)
{
}

LogField::LogField(std::string_view fieldKey, long long number)
    : key(fieldKey)
    , value(std::to_string(number))
    , isText(false)
{
}

LogField::LogField(std::string_view fieldKey, long number)
    : LogField(fieldKey, static_cast<long long>(number))
{
}

LogField::LogField(std::string_view fieldKey, unsigned long number)
    : key(fieldKey)
    , value(std::to_string(number))
    , isText(false)
{
}

LogField::LogField(std::string_view fieldKey, int number)
    : LogField(fieldKey, static_cast<long long>(number))
{
}

LogField::LogField(std::string_view fieldKey, bool flag)
    : key(fieldKey)
    , value(flag ? "true" : "false")
    , isText(false)
{
}

void initializeLogging(LogLevel level, LogFormat format, const std::string &instance)
{
    auto &state = Internal::loggingState();
    if (!state) {
        state = std::make_unique<Internal::LoggingState>();
    }
    state->format = format;
    state->instance = instance;
    log4cplus::SharedAppenderPtr appender(new Internal::OutputAppender);
    const char *pattern = format == LogFormat::Json ? "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%qZ}\",%m}%n" : "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(Internal::toLibraryLevel(level));
}

void setLogLineLimit(int linesPerSecond)
{
    if (auto &state = Internal::loggingState()) {
        state->linesPerSecond = linesPerSecond;
    }
}

void setLogMetrics(MetricsRegistry *metrics)
{
    if (auto &state = Internal::loggingState()) {
        state->metrics = metrics;
    }
}

void setLogClock(const Clock &clock)
{
    Internal::logClock() = &clock;
}

LogLevel parseLogLevel(std::string_view name)
{
    for (const LogLevel level : {LogLevel::Debug, LogLevel::Warning, LogLevel::Error}) {
        if (name == Internal::levelName(level)) {
            return level;
        }
    }
    return LogLevel::Info;
}

LogFormat parseLogFormat(std::string_view name)
{
    return name == "json" ? LogFormat::Json : LogFormat::KeyValue;
}

void logMessage(LogLevel level, std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    const bool isRoutine = level == LogLevel::Debug || level == LogLevel::Info;
    logMessage(isRoutine ? LogPriority::Routine : LogPriority::Essential, level, component, message, fields);
}

void logMessage(LogPriority priority, LogLevel level, std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    logMessage(priority, level, component, message, std::span(fields.begin(), fields.size()));
}

void logMessage(LogPriority priority, LogLevel level, std::string_view component, std::string_view message, std::span<const LogField> fields)
{
    const auto &state = Internal::loggingState();
    if (!state) {
        return;
    }
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    const log4cplus::LogLevel libraryLevel = Internal::toLibraryLevel(level);
    if (!root.isEnabledFor(libraryLevel) || !Internal::consumeLineBudget(*state, priority)) {
        return;
    }
    std::string line;
    if (state->format == LogFormat::Json) {
        line = "\"level\":\"" + std::string(Internal::levelName(level)) + "\"";
    } else {
        line = "level=" + std::string(Internal::levelName(level));
    }
    Internal::appendField(line, state->format, LogField("instance", state->instance));
    Internal::appendField(line, state->format, LogField("component", component));
    Internal::appendField(line, state->format, LogField("message", message));
    for (const LogField &field : fields) {
        Internal::appendField(line, state->format, field);
    }
    Internal::appendDroppedLines(line, *state);
    root.log(libraryLevel, line);
}

} // namespace Hyssop
