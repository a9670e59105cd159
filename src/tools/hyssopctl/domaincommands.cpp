#include "domaincommands.h"

#include "configchange.h"
#include "output.h"

#include <boost/json/array.hpp>

namespace Hyssop {

namespace asio = boost::asio;
namespace json = boost::json;

namespace Internal {

constexpr std::string_view DomainPrefix = "domain/";

static asio::awaitable<ExitCode> setDomainState(CommandContext &context, std::string state)
{
    const std::string key = std::string(DomainPrefix) + context.text("DOMAIN");
    co_return co_await changeConfiguration(context, key, std::move(state));
}

static asio::awaitable<ExitCode> setDomainOut(CommandContext &context)
{
    const std::string state = "out";
    co_return co_await setDomainState(context, state);
}

static asio::awaitable<ExitCode> setDomainIn(CommandContext &context)
{
    const std::string state = "in";
    co_return co_await setDomainState(context, state);
}

static asio::awaitable<ExitCode> showDomains(CommandContext &context)
{
    const std::string allKeys;
    auto state = co_await readConfiguration(context, allKeys);
    if (const Error *error = errorOf(state)) {
        co_return reportError(context, *error);
    }
    Table table{{"DOMAIN", "STATE", "REVISION", "OPERATOR", "SINCE"}, {}};
    json::array list;
    for (const Wire::ConfigEntry &entry : valueOf(state)->entries) {
        if (!entry.key.starts_with(DomainPrefix)) {
            continue;
        }
        const std::string name = entry.key.substr(DomainPrefix.size());
        // A domain whose key has been removed is in service, like a domain without a key.
        const std::string domainState = entry.removed ? "in" : entry.body;
        table.rows.push_back(
            {name, domainState, std::to_string(entry.revision), entry.operatorName, formatTime(std::chrono::milliseconds(entry.acceptedAtMs))});
        list.emplace_back(json::object{{"domain", name},
                                       {"state", domainState},
                                       {"revision", entry.revision},
                                       {"operator", entry.operatorName},
                                       {"since", formatTime(std::chrono::milliseconds(entry.acceptedAtMs))}});
    }
    print(context, table, list);
    co_return ExitCode::Success;
}

} // namespace Internal

std::vector<Command> domainCommands()
{
    return {
        {"domain out", {"DOMAIN"}, "Takes a failure domain out: no task starts there, batch moves away.", addChangeOptions, Internal::setDomainOut},
        {"domain in", {"DOMAIN"}, "Takes a failure domain in again.", addChangeOptions, Internal::setDomainIn},
        {"domain status", {}, "Lists the failure domains that operators have changed.", nullptr, Internal::showDomains},
    };
}

} // namespace Hyssop
