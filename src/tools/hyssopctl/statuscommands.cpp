#include "statuscommands.h"

#include "configchange.h"
#include "output.h"

#include <contract/contract.h>
#include <contract/limits.h>

#include <boost/json/array.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <ostream>

namespace Hyssop {

namespace asio = boost::asio;
namespace json = boost::json;
namespace po = boost::program_options;

namespace Internal {

static json::object limitJson(const Limit &limit)
{
    return {
        {"subject", limit.subject},
        {"limit", limit.name},
        {"value", limit.value},
        {"unit", limit.unit},
        {"line", limit.line},
        {"default", limit.isDefault},
        {"revision", limit.revision},
        {"rule", limit.rule},
    };
}

static void printLimits(const CommandContext &context, const Limits &limits)
{
    Table table{{"SUBJECT", "LIMIT", "VALUE", "LINE", "REVISION", "RULE"}, {}};
    json::array list;
    for (const Limit &limit : limits.entries) {
        const std::string value = limit.value + (limit.unit.empty() ? "" : " ") + limit.unit;
        const std::string line = std::to_string(limit.line) + (limit.isDefault ? " (default)" : "");
        table.rows.push_back({limit.subject, limit.name, value, line, std::to_string(limit.revision), limit.rule});
        list.emplace_back(limitJson(limit));
    }
    print(context, table, json::object{{"customer", limits.customer}, {"revision", limits.revision}, {"limits", list}});
}

static asio::awaitable<ExitCode> explainLimits(CommandContext &context)
{
    const std::string key = "contract/" + context.text("CUSTOMER");
    auto entry = co_await readEntry(context, key);
    if (const Error *error = errorOf(entry)) {
        co_return reportError(context, *error);
    }
    const auto parsed = parseContract(valueOf(entry)->body);
    const auto *contract = std::get_if<Contract>(&parsed);
    if (contract == nullptr) {
        co_return reportError(context, {ErrorCode::Internal, "the contract in force has a fault; this hyssopctl may be of another version"});
    }
    printLimits(context, Limits::derive(*contract, valueOf(entry)->revision));
    co_return ExitCode::Success;
}

static void addAuditOptions(po::options_description &options)
{
    options.add_options()("prefix", po::value<std::string>()->default_value("")->value_name("TEXT"), "only keys that begin so, for example domain/");
    addMaximumOption(options);
}

static asio::awaitable<ExitCode> showAudit(CommandContext &context)
{
    Wire::AuditRequest request;
    request.keyPrefix = context.text("prefix");
    request.maximum = context.options["maximum"].as<int>();
    auto reply = co_await context.client.audit(request);
    if (const Error *error = errorOf(reply)) {
        co_return reportError(context, *error);
    }
    Table table{{"OFFSET", "TIME", "OPERATOR", "KEY", "FROM", "TO", "VERDICT", "CHANGE", "REASON"}, {}};
    json::array list;
    for (const Wire::AuditEntry &entry : valueOf(reply)->entries) {
        table.rows.push_back({std::to_string(entry.offset),
                              formatTime(std::chrono::milliseconds(entry.timeMs)),
                              entry.operatorName,
                              entry.key,
                              std::to_string(entry.fromRevision),
                              std::to_string(entry.toRevision),
                              verdictName(entry.verdict),
                              entry.changeId,
                              entry.reason});
        list.emplace_back(toJson(entry));
    }
    print(context, table, list);
    co_return ExitCode::Success;
}

static std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

static std::string formatAge(std::chrono::milliseconds age)
{
    return age.count() < 0 ? "unknown" : std::to_string(age.count()) + " ms";
}

static std::vector<std::string> statusRow(const std::string &address, const Wire::StatusReply &status)
{
    return {address,
            status.instance,
            status.domain,
            yesNo(status.ready),
            yesNo(status.owner),
            std::to_string(status.term),
            std::to_string(status.configHead),
            formatAge(std::chrono::milliseconds(status.configAgeMs)),
            yesNo(status.logReachable),
            std::to_string(status.workers),
            std::to_string(status.pendingJobs),
            std::to_string(status.runningTasks),
            std::to_string(status.peers.size())};
}

static json::object peerJson(const Wire::Heartbeat &peer)
{
    return {
        {"instance", peer.instance},
        {"incarnation", peer.incarnation},
        {"domain", peer.domain},
        {"role", peer.role},
        {"configHead", peer.configHead},
        {"configAgeMs", peer.configAgeMs},
        {"term", peer.term},
        {"owner", peer.owner},
        {"address", peer.address},
    };
}

static json::object statusJson(const std::string &address, const Wire::StatusReply &status)
{
    json::array peers;
    for (const Wire::Heartbeat &peer : status.peers) {
        peers.emplace_back(peerJson(peer));
    }
    return {
        {"address", address},
        {"instance", status.instance},
        {"incarnation", status.incarnation},
        {"domain", status.domain},
        {"ready", status.ready},
        {"owner", status.owner},
        {"term", status.term},
        {"configHead", status.configHead},
        {"configAgeMs", status.configAgeMs},
        {"logReachable", status.logReachable},
        {"workers", status.workers},
        {"pendingJobs", status.pendingJobs},
        {"runningTasks", status.runningTasks},
        {"peers", peers},
    };
}

static asio::awaitable<ExitCode> showStatus(CommandContext &context)
{
    auto statuses = co_await context.client.statuses();
    Table table{{"ADDRESS", "INSTANCE", "DOMAIN", "READY", "OWNER", "TERM", "HEAD", "AGE", "LOG", "WORKERS", "PENDING", "RUNNING", "PEERS"}, {}};
    json::array list;
    for (auto &status : statuses) {
        if (const Error *error = errorOf(status.second)) {
            context.environment.err << "hyssopctl: " << error->message << '\n';
            list.emplace_back(json::object{{"address", status.first}, {"error", error->message}});
            continue;
        }
        table.rows.push_back(statusRow(status.first, *valueOf(status.second)));
        list.emplace_back(statusJson(status.first, *valueOf(status.second)));
    }
    print(context, table, list);
    co_return table.rows.empty() ? ExitCode::Unavailable : ExitCode::Success;
}

} // namespace Internal

std::vector<Command> statusCommands()
{
    return {
        {"explain", {"CUSTOMER"}, "Lists every limit of a customer with the contract line that it follows from.", nullptr, Internal::explainLimits},
        {"audit", {}, "Lists who changed what, from which revision to which, and the verdict.", Internal::addAuditOptions, Internal::showAudit},
        {"status", {}, "Shows each scheduler.", nullptr, Internal::showStatus},
    };
}

} // namespace Hyssop
