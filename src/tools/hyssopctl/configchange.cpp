#include "configchange.h"

#include "linediff.h"
#include "output.h"

#include <boost/json/array.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <ostream>

namespace Hyssop {

namespace asio = boost::asio;
namespace json = boost::json;

namespace Internal {

static std::string describe(const Wire::ConfigEntry &entry)
{
    return "revision " + std::to_string(entry.revision) + ", accepted from " + entry.operatorName + " at "
        + formatTime(std::chrono::milliseconds(entry.acceptedAtMs));
}

static ExitCode exitCodeOf(Wire::ChangeVerdict::type verdict)
{
    switch (verdict) {
    case Wire::ChangeVerdict::Accepted:
        return ExitCode::Success;
    case Wire::ChangeVerdict::Conflict:
        return ExitCode::Conflict;
    case Wire::ChangeVerdict::Refused:
        return ExitCode::Refused;
    case Wire::ChangeVerdict::Unavailable:
        return ExitCode::Unavailable;
    case Wire::ChangeVerdict::Unknown:
        return ExitCode::Unknown;
    }
    return ExitCode::InternalError;
}

static json::object changeJson(const Wire::ConfigChange &change, const Wire::ConfigApplyReply &reply)
{
    json::object result{
        {"verdict", verdictName(reply.verdict)},
        {"key", change.key},
        {"changeId", change.changeId},
        {"base", change.baseRevision},
        {"revision", reply.revision},
        {"message", reply.message},
    };
    if (reply.verdict == Wire::ChangeVerdict::Conflict) {
        json::array diff;
        for (const std::string &line : lineDiff(reply.current.body, change.body)) {
            diff.emplace_back(line);
        }
        result["current"] = toJson(reply.current);
        result["diff"] = diff;
    }
    return result;
}

static std::string changeText(const Wire::ConfigChange &change, const Wire::ConfigApplyReply &reply)
{
    const std::string repeatOptions = "--base " + std::to_string(change.baseRevision) + " --change-id " + change.changeId;
    switch (reply.verdict) {
    case Wire::ChangeVerdict::Accepted:
        return change.key + ": accepted as revision " + std::to_string(reply.revision) + " (change " + change.changeId + ")";
    case Wire::ChangeVerdict::Refused:
        return change.key + ": refused, nothing was written: " + reply.message;
    case Wire::ChangeVerdict::Unavailable:
        return change.key + ": certainly not done: " + reply.message;
    case Wire::ChangeVerdict::Unknown:
        return change.key + ": may have been done: " + reply.message + "\nrepeat with " + repeatOptions;
    case Wire::ChangeVerdict::Conflict:
        break;
    }
    std::string text = change.key + ": conflict, not done: base is revision " + std::to_string(change.baseRevision) + ", in force is " + describe(reply.current)
        + " (change " + reply.current.changeId + ")\n--- in force\n+++ this change";
    for (const std::string &line : lineDiff(reply.current.body, change.body)) {
        text += "\n" + line;
    }
    return text;
}

static const Wire::ConfigEntry *findEntry(const Wire::ConfigStateReply &reply, const std::string &key)
{
    for (const Wire::ConfigEntry &entry : reply.entries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

/// Reads the current revision, on which a change without --base is based, and prints it unless the output is JSON.
static asio::awaitable<Outcome<std::int64_t>> currentRevision(CommandContext &context, std::string key)
{
    auto state = co_await context.client.state(key);
    if (const Error *error = errorOf(state)) {
        co_return *error;
    }
    if (!valueOf(state)->ready) {
        co_return Error{ErrorCode::Unavailable, "no scheduler has read the whole configuration; name the base revision with --base"};
    }
    const Wire::ConfigEntry *entry = findEntry(*valueOf(state), key);
    if (!context.json) {
        context.environment.out << key << ": " << (entry == nullptr ? "no earlier revision" : describe(*entry)) << '\n';
    }
    co_return entry == nullptr ? std::int64_t(0) : entry->revision;
}

} // namespace Internal

void addChangeOptions(boost::program_options::options_description &options)
{
    namespace po = boost::program_options;
    options.add_options()("base", po::value<std::int64_t>()->value_name("REV"), "revision that the change is based on; default: the current one");
    options.add_options()("change-id", po::value<std::string>()->value_name("ID"), "id of an earlier attempt, to repeat it; needs --base");
}

asio::awaitable<ExitCode> changeConfiguration(CommandContext &context, std::string key, std::string body)
{
    if (context.isSet("change-id") && !context.isSet("base")) {
        // Based on the current revision, the repeated change could be accepted a second time, on top of the first.
        context.environment.err << "hyssopctl: --change-id needs the --base of the earlier attempt\n";
        co_return ExitCode::Usage;
    }
    Wire::ConfigChange change;
    change.key = std::move(key);
    change.body = std::move(body);
    change.operatorName = context.operatorName;
    change.submittedAtMs = context.environment.now().count();
    change.changeId = context.isSet("change-id") ? context.text("change-id") : context.environment.generateId();
    if (context.isSet("base")) {
        change.baseRevision = context.options["base"].as<std::int64_t>();
    } else {
        auto revision = co_await Internal::currentRevision(context, change.key);
        if (const Error *error = errorOf(revision)) {
            co_return reportError(context, *error);
        }
        change.baseRevision = *valueOf(revision);
    }
    auto reply = co_await context.client.apply(change);
    if (context.isSet("change-id") && reply.verdict == Wire::ChangeVerdict::Unavailable) {
        // Only this attempt is known to have had no effect; the earlier one with the same id may have taken effect.
        reply.verdict = Wire::ChangeVerdict::Unknown;
    }
    print(context, Internal::changeText(change, reply), Internal::changeJson(change, reply));
    co_return Internal::exitCodeOf(reply.verdict);
}

asio::awaitable<Outcome<Wire::ConfigStateReply>> readConfiguration(CommandContext &context, std::string key)
{
    auto state = co_await context.client.state(std::move(key));
    if (valueOf(state) != nullptr && !valueOf(state)->ready) {
        context.environment.err << "hyssopctl: warning: no scheduler has read the whole configuration\n";
    }
    co_return state;
}

asio::awaitable<Outcome<Wire::ConfigEntry>> readEntry(CommandContext &context, std::string key)
{
    auto state = co_await readConfiguration(context, key);
    if (const Error *error = errorOf(state)) {
        co_return *error;
    }
    const Wire::ConfigEntry *entry = Internal::findEntry(*valueOf(state), key);
    if (entry != nullptr && !entry->removed) {
        co_return *entry;
    }
    if (!valueOf(state)->ready) {
        co_return Error{ErrorCode::Unavailable, key + " is not known yet"};
    }
    co_return Error{ErrorCode::NotFound, "there is no " + key};
}

} // namespace Hyssop
