#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace Hyssop {

class Clock;
class MetricsRegistry;

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Decides which lines are dropped first when the limit of lines is reached.
enum class LogPriority {
    Routine, // about a single request
    Outcome, // an exceptional result of a step of a request
    RequestEnd,
    StateChange, // of one of many workers; may occur in large numbers
    Essential,
};

enum class LogFormat {
    KeyValue,
    Json,
};

/// A field of a log line. Common keys: request_id, job_id, epoch, revision, customer, worker, target, error.
struct LogField
{
    LogField(std::string_view fieldKey, std::string_view text);
    LogField(std::string_view fieldKey, const char *text);
    LogField(std::string_view fieldKey, const std::string &text);
    LogField(std::string_view fieldKey, long long number);
    LogField(std::string_view fieldKey, long number);
    LogField(std::string_view fieldKey, unsigned long number);
    LogField(std::string_view fieldKey, int number);
    LogField(std::string_view fieldKey, bool flag);

    std::string key;
    std::string value;
    bool isText = true;
};

/// Sets up log4cplus to write to standard output. @p instance is added to every line.
void initializeLogging(LogLevel level, LogFormat format, const std::string &instance);

/// Limits the number of lines per second. Further lines are dropped; the next written line has their number in the
/// field dropped_lines, and by priority in dropped_routine, dropped_outcome, dropped_request_end, dropped_state_change and
/// dropped_essential. A part of the limit is reserved for each priority above LogPriority::Routine.
void setLogLineLimit(int linesPerSecond);

/// Counts dropped lines by priority in @p metrics from now on, until this is called with a null pointer. Requires
/// initializeLogging().
void setLogMetrics(MetricsRegistry *metrics);

/// Sets the clock that measures the seconds of the limit of lines. It must outlive all further log lines.
void setLogClock(const Clock &clock);

/// Parses "debug", "info", "warning" or "error"; returns LogLevel::Info for any other text.
LogLevel parseLogLevel(std::string_view name);

/// Parses "json"; returns LogFormat::KeyValue for any other text.
LogFormat parseLogFormat(std::string_view name);

/// Writes one structured log line. @p component is the name of the library, for example "scheduler". Lines of the level
/// Warning and above are essential, others routine.
void logMessage(LogLevel level, std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

/// Writes one structured log line with an explicit priority.
void logMessage(LogPriority priority, LogLevel level, std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});
void logMessage(LogPriority priority, LogLevel level, std::string_view component, std::string_view message, std::span<const LogField> fields);

} // namespace Hyssop
