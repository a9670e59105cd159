#include "output.h"

#include <boost/json/serialize.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <algorithm>
#include <ctime>
#include <ostream>

namespace Hyssop {

namespace Internal {

static std::vector<std::size_t> columnWidths(const Table &table)
{
    std::vector<std::size_t> widths;
    for (const std::string &title : table.header) {
        widths.push_back(title.size());
    }
    for (const auto &row : table.rows) {
        for (std::size_t column = 0; column < row.size() && column < widths.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    return widths;
}

static void printRow(std::ostream &out, const std::vector<std::string> &row, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
        line += row[column];
        if (column + 1 < row.size()) {
            line.append(widths[column] - row[column].size() + 2, ' ');
        }
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
}

static ExitCode exitCodeOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::Refused:
    case ErrorCode::TooLarge:
        return ExitCode::Refused;
    case ErrorCode::NotFound:
        return ExitCode::NotFound;
    case ErrorCode::Conflict:
        return ExitCode::Conflict;
    case ErrorCode::Unavailable:
    case ErrorCode::ConnectionRefused:
    case ErrorCode::Timeout:
    case ErrorCode::Closed:
        return ExitCode::Unavailable;
    case ErrorCode::Malformed:
    case ErrorCode::Internal:
        return ExitCode::InternalError;
    }
    return ExitCode::InternalError;
}

} // namespace Internal

std::string CommandContext::text(const char *option) const
{
    return options[option].as<std::string>();
}

bool CommandContext::isSet(const char *option) const
{
    return options.count(option) != 0;
}

void print(const CommandContext &context, const Table &table, const boost::json::value &json)
{
    std::ostream &out = context.environment.out;
    if (context.json) {
        out << boost::json::serialize(json) << '\n';
        return;
    }
    const auto widths = Internal::columnWidths(table);
    Internal::printRow(out, table.header, widths);
    for (const auto &row : table.rows) {
        Internal::printRow(out, row, widths);
    }
}

void print(const CommandContext &context, const std::string &text, const boost::json::value &json)
{
    context.environment.out << (context.json ? boost::json::serialize(json) : text) << '\n';
}

std::string formatTime(std::chrono::milliseconds sinceEpoch)
{
    if (sinceEpoch.count() <= 0) {
        return "-";
    }
    constexpr std::size_t TextSize = 64;
    const auto seconds = static_cast<std::time_t>(std::chrono::floor<std::chrono::seconds>(sinceEpoch).count());
    std::tm parts{};
    char text[TextSize];
    gmtime_r(&seconds, &parts);
    return {text, std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts)};
}

const char *verdictName(Wire::ChangeVerdict::type verdict)
{
    switch (verdict) {
    case Wire::ChangeVerdict::Accepted:
        return "accepted";
    case Wire::ChangeVerdict::Conflict:
        return "conflict";
    case Wire::ChangeVerdict::Refused:
        return "refused";
    case Wire::ChangeVerdict::Unavailable:
        return "unavailable";
    case Wire::ChangeVerdict::Unknown:
        return "unknown";
    }
    return "unknown";
}

ExitCode reportError(const CommandContext &context, const Error &error)
{
    context.environment.err << "hyssopctl: " << errorCodeName(error.code) << ": " << error.message << '\n';
    return Internal::exitCodeOf(error.code);
}

boost::json::object toJson(const Wire::ConfigEntry &entry)
{
    return {
        {"key", entry.key},
        {"revision", entry.revision},
        {"operator", entry.operatorName},
        {"acceptedAt", formatTime(std::chrono::milliseconds(entry.acceptedAtMs))},
        {"changeId", entry.changeId},
        {"removed", entry.removed},
        {"body", entry.body},
    };
}

boost::json::object toJson(const Wire::AuditEntry &entry)
{
    return {
        {"offset", entry.offset},
        {"time", formatTime(std::chrono::milliseconds(entry.timeMs))},
        {"operator", entry.operatorName},
        {"key", entry.key},
        {"fromRevision", entry.fromRevision},
        {"toRevision", entry.toRevision},
        {"verdict", verdictName(entry.verdict)},
        {"reason", entry.reason},
        {"changeId", entry.changeId},
    };
}

void addMaximumOption(boost::program_options::options_description &options)
{
    namespace po = boost::program_options;
    constexpr int DefaultMaximum = 100;
    options.add_options()("maximum", po::value<int>()->value_name("N")->default_value(DefaultMaximum), "number of entries, 1 to 1000");
}

} // namespace Hyssop
