#include "targetcommands.h"

#include "output.h"

#include <boost/json/array.hpp>

namespace Hyssop {

namespace asio = boost::asio;
namespace json = boost::json;

namespace Internal {

static asio::awaitable<ExitCode> listTargets(CommandContext &context)
{
    auto reply = co_await context.client.targets();
    if (const Error *error = errorOf(reply)) {
        co_return reportError(context, *error);
    }
    Table table{{"CUSTOMER", "SERVICE", "WORKER", "ADDRESS", "INCARNATION", "STATE"}, {}};
    json::array list;
    for (const Wire::Target &target : valueOf(reply)->targets) {
        const char *state = target.leaving ? "leaving" : "serving";
        table.rows.push_back({target.customer, target.serviceName, target.worker, target.address, target.incarnation, state});
        list.emplace_back(json::object{{"customer", target.customer},
                                       {"service", target.serviceName},
                                       {"worker", target.worker},
                                       {"address", target.address},
                                       {"incarnation", target.incarnation},
                                       {"state", state}});
    }
    print(context, table, list);
    co_return ExitCode::Success;
}

} // namespace Internal

std::vector<Command> targetCommands()
{
    return {{"target list", {}, "Lists the targets that a failure domain's schedulers publish.", nullptr, Internal::listTargets}};
}

} // namespace Hyssop
