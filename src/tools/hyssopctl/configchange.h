#pragma once

#include "command.h"

#include "hyssop_types.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace Hyssop {

/// Options of every command that changes the configuration: --base and --change-id.
void addChangeOptions(boost::program_options::options_description &options);

/// Submits @p body for @p key, on the base that the options name or else on the current revision, which is shown first.
/// Prints the verdict; after a conflict the other change and a line diff.
boost::asio::awaitable<ExitCode> changeConfiguration(CommandContext &context, std::string key, std::string body);

/// The configuration, from a scheduler that may not have read all of it; then a warning is printed.
boost::asio::awaitable<Outcome<Wire::ConfigStateReply>> readConfiguration(CommandContext &context, std::string key);

/// One key; fails with ErrorCode::NotFound if it does not exist and with ErrorCode::Unavailable if that is uncertain.
boost::asio::awaitable<Outcome<Wire::ConfigEntry>> readEntry(CommandContext &context, std::string key);

} // namespace Hyssop
