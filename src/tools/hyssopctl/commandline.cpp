#include "commandline.h"

#include "contractcommands.h"
#include "domaincommands.h"
#include "jobcommands.h"
#include "output.h"
#include "statuscommands.h"
#include "targetcommands.h"

#include <utils/quantity.h>
#include <utils/settings.h>

#include <boost/algorithm/string.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <iterator>
#include <ostream>

namespace Hyssop {

namespace asio = boost::asio;
namespace po = boost::program_options;

namespace Internal {

using namespace std::chrono_literals;

using Words = std::vector<std::string>;

// Abbreviated option names are rejected: a new option could make an abbreviation in an existing script ambiguous.
constexpr int ParserStyle = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;

static po::options_description globalOptions()
{
    po::options_description options("Options of every command");
    auto add = options.add_options();
    add("address", po::value<std::string>()->value_name("LIST"), "schedulers, IP-ADDRESS:PORT separated by commas; default: HYSSOP_SCHEDULERS");
    add("output", po::value<std::string>()->default_value("table")->value_name("FORMAT"), "table or json");
    add("operator", po::value<std::string>()->value_name("NAME"), "name for the audit trail; default: the login name");
    add("timeout", po::value<std::string>()->default_value("10 s")->value_name("TIME"), "longest time for the command, 100 ms to 10 min");
    add("domain",
        po::value<std::string>()->default_value("")->value_name("NAME"),
        "failure domain of jobs and targets; default: that of the first scheduler that answers");
    add("help", po::bool_switch(), "print this text");
    return options;
}

static std::string usageLine(const Command &command)
{
    const std::string arguments = boost::join(command.arguments, " ");
    return "hyssopctl " + command.name + (arguments.empty() ? "" : " ") + arguments;
}

static void printOverview(std::ostream &out, const std::vector<Command> &commands)
{
    constexpr std::size_t SummaryColumn = 46;
    out << "usage: hyssopctl COMMAND [OPTION...]\n\n";
    for (const Command &command : commands) {
        std::string line = "  " + usageLine(command);
        line.append(line.size() < SummaryColumn ? SummaryColumn - line.size() : 1, ' ');
        out << line << command.summary << '\n';
    }
    out << "\n" << globalOptions();
}

static void printHelp(std::ostream &out, const Command &command)
{
    out << "usage: " << usageLine(command) << " [OPTION...]\n\n" << command.summary << "\n\n";
    if (command.addOptions) {
        po::options_description options("Options");
        command.addOptions(options);
        out << options << "\n";
    }
    out << globalOptions();
}

/// Returns the words and options of the command without the global options.
static Words withoutGlobalOptions(const Words &arguments)
{
    const auto options = globalOptions();
    const auto parsed = po::command_line_parser(arguments).options(options).style(ParserStyle).allow_unregistered().run();
    return po::collect_unrecognized(parsed.options, po::include_positional);
}

static bool startsWith(const Words &words, const std::string &name)
{
    Words nameWords;
    boost::split(nameWords, name, boost::is_any_of(" "));
    return words.size() >= nameWords.size() && std::equal(nameWords.begin(), nameWords.end(), words.begin());
}

static bool isHelpRequested(const Words &arguments)
{
    return std::ranges::find(arguments, "--help") != arguments.end();
}

static po::variables_map parseOptions(const Words &arguments, const Command &command)
{
    po::options_description visible = globalOptions();
    if (command.addOptions) {
        command.addOptions(visible);
    }
    Words words;
    boost::split(words, command.name, boost::is_any_of(" "));
    po::positional_options_description positions;
    positions.add("command-words", static_cast<int>(words.size()));
    visible.add_options()("command-words", po::value<Words>(), "");
    for (const std::string &argument : command.arguments) {
        positions.add(argument.c_str(), 1);
        visible.add_options()(argument.c_str(), po::value<std::string>()->required(), "");
    }
    po::variables_map options;
    po::store(po::command_line_parser(arguments).options(visible).positional(positions).style(ParserStyle).run(), options);
    po::notify(options);
    return options;
}

struct GlobalSettings
{
    OperatorClientOptions client;
    std::string operatorName;
    bool json = false;
};

static Result<std::vector<std::string>> parseAddresses(const std::string &list)
{
    std::vector<std::string> addresses;
    boost::split(addresses, list, boost::is_any_of(","));
    for (std::string &address : addresses) {
        boost::trim(address);
    }
    std::erase(addresses, std::string());
    if (addresses.empty()) {
        return fail(ErrorCode::InvalidArgument, "no scheduler is named; set --address or HYSSOP_SCHEDULERS to IP-ADDRESS:PORT, separated by commas");
    }
    const auto invalid = std::ranges::find_if_not(addresses, isAddress);
    if (invalid != addresses.end()) {
        return fail(ErrorCode::InvalidArgument, "\"" + *invalid + "\" is not IP-ADDRESS:PORT");
    }
    return addresses;
}

static Result<std::chrono::milliseconds> parseTimeout(const std::string &text)
{
    constexpr auto Minimum = 100ms;
    constexpr auto Maximum = 10min;
    BOOST_LEAF_AUTO(duration, parseDuration(text));
    if (duration < Minimum || duration > Maximum) {
        return fail(ErrorCode::InvalidArgument, "--timeout " + text + " is not from 100 ms to 10 min");
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

static Result<GlobalSettings> globalSettings(const po::variables_map &options, const CommandEnvironment &environment)
{
    GlobalSettings settings;
    const auto output = options["output"].as<std::string>();
    if (output != "table" && output != "json") {
        return fail(ErrorCode::InvalidArgument, "--output " + output + " is neither table nor json");
    }
    settings.json = output == "json";
    settings.operatorName = options.count("operator") != 0 ? options["operator"].as<std::string>() : environment.loginName;
    settings.client.domain = options["domain"].as<std::string>();
    BOOST_LEAF_ASSIGN(settings.client.timeout, parseTimeout(options["timeout"].as<std::string>()));
    BOOST_LEAF_ASSIGN(settings.client.addresses, parseAddresses(options.count("address") != 0 ? options["address"].as<std::string>() : environment.schedulers));
    return settings;
}

static ExitCode runCommand(const Command &command, const po::variables_map &options, const GlobalSettings &settings, CommandEnvironment &environment)
{
    asio::io_context context;
    OperatorClient client(context.get_executor(), settings.client);
    CommandContext commandContext{client, environment, options, settings.operatorName, settings.json};
    ExitCode result = ExitCode::InternalError;
    std::exception_ptr failure;
    asio::co_spawn(context, command.run(commandContext), [&](const std::exception_ptr &exception, ExitCode code) {
        failure = exception;
        result = code;
    });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return result;
}

static ExitCode runMatchingCommand(const Words &arguments, CommandEnvironment &environment)
{
    const std::vector<Command> commands = allCommands();
    const Words words = withoutGlobalOptions(arguments);
    const auto command = std::ranges::find_if(commands, [&](const Command &candidate) { return startsWith(words, candidate.name); });
    if (command == commands.end()) {
        const bool help = isHelpRequested(arguments);
        printOverview(help ? environment.out : environment.err, commands);
        return help ? ExitCode::Success : ExitCode::Usage;
    }
    if (isHelpRequested(arguments)) {
        printHelp(environment.out, *command);
        return ExitCode::Success;
    }
    const po::variables_map options = parseOptions(arguments, *command);
    const auto settings = capture([&] { return globalSettings(options, environment); });
    if (const Error *error = errorOf(settings)) {
        environment.err << "hyssopctl: " << error->message << '\n';
        return ExitCode::Usage;
    }
    return runCommand(*command, options, std::get<0>(settings), environment);
}

} // namespace Internal

std::vector<Command> allCommands()
{
    std::vector<Command> commands;
    for (auto &group : {contractCommands(), domainCommands(), jobCommands(), targetCommands(), statusCommands()}) {
        std::ranges::copy(group, std::back_inserter(commands));
    }
    return commands;
}

ExitCode runCommandLine(const std::vector<std::string> &arguments, CommandEnvironment &environment)
{
    try {
        return Internal::runMatchingCommand(arguments, environment);
    } catch (const po::error &error) {
        environment.err << "hyssopctl: " << error.what() << "; see --help\n";
        return ExitCode::Usage;
    } catch (const std::exception &error) {
        environment.err << "hyssopctl: internal fault: " << error.what() << '\n';
        return ExitCode::InternalError;
    }
}

} // namespace Hyssop
