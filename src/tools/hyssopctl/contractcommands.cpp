#include "contractcommands.h"

#include "configchange.h"
#include "linediff.h"
#include "output.h"

#include <contract/contract.h>

#include <boost/json/array.hpp>

#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>

namespace Hyssop {

namespace asio = boost::asio;
namespace json = boost::json;

namespace Internal {

constexpr std::string_view ContractPrefix = "contract/";

static std::string contractKey(const std::string &customer)
{
    return std::string(ContractPrefix) + customer;
}

static std::optional<std::string> readFile(const CommandContext &context, const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream) {
        context.environment.err << "hyssopctl: " << file << ": the file is empty or can't be read\n";
        return std::nullopt;
    }
    return content.str();
}

static void printErrors(const CommandContext &context, const std::string &file, const std::vector<ContractError> &errors)
{
    for (const ContractError &error : errors) {
        context.environment.err << file << ":" << (error.line > 0 ? std::to_string(error.line) + ":" : "") << " " << error.message << '\n';
    }
}

static asio::awaitable<ExitCode> applyContract(CommandContext &context)
{
    const std::string file = context.text("FILE");
    const auto text = readFile(context, file);
    if (!text) {
        co_return ExitCode::Usage;
    }
    const auto parsed = parseContract(*text);
    if (const auto *errors = std::get_if<std::vector<ContractError>>(&parsed)) {
        printErrors(context, file, *errors);
        co_return ExitCode::Refused;
    }
    const std::string key = contractKey(std::get<Contract>(parsed).customer);
    co_return co_await changeConfiguration(context, key, *text);
}

static asio::awaitable<ExitCode> showContract(CommandContext &context)
{
    const std::string key = contractKey(context.text("CUSTOMER"));
    auto entry = co_await readEntry(context, key);
    if (const Error *error = errorOf(entry)) {
        co_return reportError(context, *error);
    }
    if (context.json) {
        print(context, std::string(), toJson(*valueOf(entry)));
        co_return ExitCode::Success;
    }
    // The body is printed unchanged so that it can be edited and applied again.
    context.environment.out << valueOf(entry)->body;
    context.environment.err << "revision " << valueOf(entry)->revision << '\n';
    co_return ExitCode::Success;
}

static asio::awaitable<ExitCode> listContracts(CommandContext &context)
{
    const std::string allKeys;
    auto state = co_await readConfiguration(context, allKeys);
    if (const Error *error = errorOf(state)) {
        co_return reportError(context, *error);
    }
    Table table{{"CUSTOMER", "REVISION", "OPERATOR", "ACCEPTED"}, {}};
    json::array list;
    for (const Wire::ConfigEntry &entry : valueOf(state)->entries) {
        if (!entry.key.starts_with(ContractPrefix) || entry.removed) {
            continue;
        }
        table.rows.push_back({entry.key.substr(ContractPrefix.size()),
                              std::to_string(entry.revision),
                              entry.operatorName,
                              formatTime(std::chrono::milliseconds(entry.acceptedAtMs))});
        json::object item = toJson(entry);
        item.erase("body");
        list.emplace_back(item);
    }
    print(context, table, list);
    co_return ExitCode::Success;
}

static asio::awaitable<ExitCode> diffContract(CommandContext &context)
{
    const auto text = readFile(context, context.text("FILE"));
    if (!text) {
        co_return ExitCode::Usage;
    }
    const std::string key = contractKey(context.text("CUSTOMER"));
    auto entry = co_await readEntry(context, key);
    if (const Error *error = errorOf(entry)) {
        co_return reportError(context, *error);
    }
    const std::int64_t revision = valueOf(entry)->revision;
    std::string output = "--- " + key + " revision " + std::to_string(revision) + "\n+++ " + context.text("FILE");
    json::array lines;
    for (const std::string &line : lineDiff(valueOf(entry)->body, *text)) {
        output += "\n" + line;
        lines.emplace_back(line);
    }
    if (lines.empty()) {
        output = key + " revision " + std::to_string(revision) + " and the file are equal";
    }
    print(context, output, json::object{{"key", key}, {"revision", revision}, {"diff", lines}});
    co_return ExitCode::Success;
}

static asio::awaitable<ExitCode> showHistory(CommandContext &context)
{
    const std::string key = contractKey(context.text("CUSTOMER"));
    Wire::AuditRequest request;
    request.keyPrefix = key;
    request.maximum = context.options["maximum"].as<int>();
    auto reply = co_await context.client.audit(request);
    if (const Error *error = errorOf(reply)) {
        co_return reportError(context, *error);
    }
    Table table{{"TIME", "OPERATOR", "FROM", "TO", "VERDICT", "CHANGE", "REASON"}, {}};
    json::array list;
    for (const Wire::AuditEntry &entry : valueOf(reply)->entries) {
        // The prefix also matches customers with a longer name.
        if (entry.key != key) {
            continue;
        }
        table.rows.push_back({formatTime(std::chrono::milliseconds(entry.timeMs)),
                              entry.operatorName,
                              std::to_string(entry.fromRevision),
                              std::to_string(entry.toRevision),
                              verdictName(entry.verdict),
                              entry.changeId,
                              entry.reason});
        list.emplace_back(toJson(entry));
    }
    print(context, table, list);
    co_return table.rows.empty() ? ExitCode::NotFound : ExitCode::Success;
}

} // namespace Internal

std::vector<Command> contractCommands()
{
    return {
        {"contract apply", {"FILE"}, "Checks a contract and puts it in force.", addChangeOptions, Internal::applyContract},
        {"contract get", {"CUSTOMER"}, "Prints the contract in force.", nullptr, Internal::showContract},
        {"contract list", {}, "Lists the contracts in force.", nullptr, Internal::listContracts},
        {"contract diff", {"CUSTOMER", "FILE"}, "Compares the contract in force with a file.", nullptr, Internal::diffContract},
        {"contract history", {"CUSTOMER"}, "Lists the changes of a contract, with those that were not accepted.", addMaximumOption, Internal::showHistory},
    };
}

} // namespace Hyssop
