#pragma once

#include "command.h"

#include "hyssop_types.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace Hyssop {

/// Adds the options of all commands that change the configuration: --base and --change-id.
void addChangeOptions(boost::program_options::options_description &options);

/// Submits @p body for @p key. The change is based on the revision given by --base, or else on the current revision, which
/// is printed first. Prints the verdict and, after a conflict, the current entry and a line diff.
boost::asio::awaitable<ExitCode> changeConfiguration(CommandContext &context, std::string key, std::string body);

/// Reads the configuration. Prints a warning if the scheduler has not read all of it yet.
boost::asio::awaitable<Outcome<Wire::ConfigStateReply>> readConfiguration(CommandContext &context, std::string key);

/// Reads the entry of one key. Fails with ErrorCode::NotFound if the key does not exist, and with ErrorCode::Unavailable if
/// the scheduler has not read all of the configuration and so can't tell.
boost::asio::awaitable<Outcome<Wire::ConfigEntry>> readEntry(CommandContext &context, std::string key);

} // namespace Hyssop
