#pragma once

#include "command.h"

#include "hyssop_types.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

namespace Hyssop {

/// A table that is printed with a header and aligned columns.
struct Table
{
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

/// Prints the table, or @p json as one line if the user asked for JSON.
void print(const CommandContext &context, const Table &table, const boost::json::value &json);

/// Prints one line of text, or @p json as one line if the user asked for JSON.
void print(const CommandContext &context, const std::string &text, const boost::json::value &json);

/// Formats a time since the Unix epoch as "2026-12-04 10:00:00 UTC"; "-" if it is zero or negative.
std::string formatTime(std::chrono::milliseconds sinceEpoch);

const char *verdictName(Wire::ChangeVerdict::type verdict);

/// Prints the error and returns its exit code. Meant for failed reads and for requests that were rejected without effect.
ExitCode reportError(const CommandContext &context, const Error &error);

boost::json::object toJson(const Wire::ConfigEntry &entry);
boost::json::object toJson(const Wire::AuditEntry &entry);

/// Adds the option --maximum of commands that list audit entries.
void addMaximumOption(boost::program_options::options_description &options);

} // namespace Hyssop
