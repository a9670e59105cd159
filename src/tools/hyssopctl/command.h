#pragma once

#include <operators/operatorclient.h>

#include <boost/asio/awaitable.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <chrono>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace Hyssop {

/// Exit codes of hyssopctl, documented in docs/hyssopctl.md.
enum class ExitCode {
    Success = 0,
    InternalError = 1,
    Usage = 2, // error in the command line or the settings
    Refused = 3, // invalid request, without effect
    Conflict = 4,
    Unavailable = 5, // the request had no effect
    Unknown = 6, // the request may have taken effect; repeat it with the printed id
    NotFound = 7,
};

/// Streams, settings and functions of the process that commands use. Tests pass their own.
struct CommandEnvironment
{
    std::ostream &out;
    std::ostream &err;
    std::string schedulers; // value of HYSSOP_SCHEDULERS
    std::string loginName;
    std::function<std::string()> generateId; // returns a new change id or job id
    std::function<std::chrono::milliseconds()> now; // since the Unix epoch
};

struct CommandContext
{
    OperatorClient &client;
    CommandEnvironment &environment;
    const boost::program_options::variables_map &options;
    std::string operatorName;
    bool json = false;

    /// Returns the value of a positional argument or of an option that is set or has a default.
    std::string text(const char *option) const;
    bool isSet(const char *option) const;
};

struct Command
{
    std::string name; // for example "contract apply"
    std::vector<std::string> arguments; // positional, all required
    std::string summary;
    std::function<void(boost::program_options::options_description &)> addOptions;
    boost::asio::awaitable<ExitCode> (*run)(CommandContext &context);
};

} // namespace Hyssop
