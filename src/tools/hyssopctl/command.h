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
    Done = 0,
    InternalFault = 1,
    Usage = 2, // command line or settings
    Refused = 3, // invalid, no effect
    Conflict = 4,
    Unavailable = 5, // certainly not done
    Unknown = 6, // may have been done; repeat with the printed id
    NotFound = 7,
};

/// What a command gets from the process. Tests replace it.
struct CommandEnvironment
{
    std::ostream &out;
    std::ostream &err;
    std::string schedulers; // value of HYSSOP_SCHEDULERS
    std::string loginName;
    std::function<std::string()> makeId; // new change ids and job ids
    std::function<std::chrono::milliseconds()> now; // since the Unix epoch
};

struct CommandContext
{
    OperatorClient &client;
    CommandEnvironment &environment;
    const boost::program_options::variables_map &options;
    std::string operatorName;
    bool json = false;

    /// Value of a positional argument or of an option with a default.
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
