#include "workerclient.h"

#include <http/httpclient.h>

#include <boost/json.hpp>

#include <array>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace Internal {

struct ReplyName
{
    std::string_view name;
    CommandOutcome reply;
};

constexpr std::array ReplyNames{
    ReplyName{"done", CommandOutcome::Executed},
    ReplyName{"stale-epoch", CommandOutcome::StaleEpoch},
    ReplyName{"expired", CommandOutcome::Expired},
    ReplyName{"no-capacity", CommandOutcome::NoCapacity},
    ReplyName{"unknown-task", CommandOutcome::UnknownTask},
};

struct StateName
{
    std::string_view name;
    TaskState state;
};

constexpr std::array StateNames{
    StateName{"running", TaskState::Running},
    StateName{"throttled", TaskState::Throttled},
    StateName{"checkpointing", TaskState::Checkpointing},
    StateName{"checkpointed", TaskState::Checkpointed},
    StateName{"stopped", TaskState::Stopped},
    StateName{"finished", TaskState::Finished},
    StateName{"failed", TaskState::Failed},
};

static std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

static std::int64_t integerOf(const json::object &object, std::string_view key, std::int64_t fallback = 0)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
}

static double numberOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return 0;
    }
    boost::system::error_code error;
    const auto number = value->to_number<double>(error);
    return error ? 0 : number;
}

static bool flagOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

static Resources resourcesOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_object()) {
        return {};
    }
    const json::object &amounts = value->get_object();
    Resources resources;
    resources.milliCores = integerOf(amounts, "milliCores");
    resources.memoryBytes = integerOf(amounts, "memoryBytes");
    resources.accelerators = static_cast<std::int32_t>(integerOf(amounts, "accelerators"));
    resources.slots = static_cast<std::int32_t>(integerOf(amounts, "slots"));
    return resources;
}

static Result<TaskStatus> parseTask(const json::value &value)
{
    if (!value.is_object()) {
        return fail(ErrorCode::Malformed, "a task is not an object");
    }
    const json::object &object = value.get_object();
    TaskStatus task;
    task.jobId = textOf(object, "jobId");
    task.attempt = static_cast<int>(integerOf(object, "attempt"));
    task.service = flagOf(object, "service");
    task.checkpoint = textOf(object, "checkpoint");
    task.progress = numberOf(object, "progress");
    task.usage = resourcesOf(object, "usage");
    task.serviceAddress = textOf(object, "serviceAddress");
    task.serviceLatencyP99Us = numberOf(object, "latencyP99Us");
    task.reason = textOf(object, "reason");
    const std::string state = textOf(object, "state");
    const auto *known = std::ranges::find(StateNames, state, &StateName::name);
    if (task.jobId.empty() || known == StateNames.end()) {
        return fail(ErrorCode::Malformed, "a task has no job id or an unknown state \"" + state + "\"");
    }
    task.state = known->state;
    return task;
}

static Result<WorkerStatus> parseStatus(const json::object &object)
{
    WorkerStatus status;
    status.worker = textOf(object, "worker");
    status.rack = textOf(object, "rack");
    status.leaving = flagOf(object, "leaving");
    status.capacity = resourcesOf(object, "capacity");
    status.leaseHolder = textOf(object, "leaseHolder");
    status.leaseEpoch = integerOf(object, "leaseEpoch", -1);
    status.clock = std::chrono::milliseconds(integerOf(object, "clockMs"));
    status.usageAge = std::chrono::milliseconds(integerOf(object, "usageAgeMs"));
    const json::value *tasks = object.if_contains("tasks");
    if (tasks == nullptr || !tasks->is_array()) {
        return fail(ErrorCode::Malformed, "the status has no task list");
    }
    for (const json::value &value : tasks->get_array()) {
        BOOST_LEAF_AUTO(task, parseTask(value));
        status.tasks.push_back(std::move(task));
    }
    return status;
}

static Result<LeaseResult> parseLeaseReply(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return fail(ErrorCode::Malformed, "the lease answer is not a JSON object");
    }
    const json::object &object = value.get_object();
    LeaseResult reply;
    reply.granted = flagOf(object, "granted");
    reply.holderEpoch = integerOf(object, "epoch", -1);
    if (!reply.granted) {
        return reply;
    }
    const json::value *status = object.if_contains("status");
    if (status == nullptr || !status->is_object()) {
        return fail(ErrorCode::Malformed, "a granted lease has no status");
    }
    BOOST_LEAF_ASSIGN(reply.status, parseStatus(status->get_object()));
    return reply;
}

static CommandOutcome parseCommandReply(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return CommandOutcome::Undetermined;
    }
    const std::string outcome = textOf(value.get_object(), "outcome");
    const auto *known = std::ranges::find(ReplyNames, outcome, &ReplyName::name);
    return known == ReplyNames.end() ? CommandOutcome::Undetermined : known->reply;
}

static json::object toJson(const Wire::Resources &resources)
{
    return {{"milliCores", resources.milliCores}, {"memoryBytes", resources.memoryBytes}, {"accelerators", resources.accelerators}, {"slots", resources.slots}};
}

} // namespace Internal

WorkerClient::WorkerClient(HttpClient &http)
    : m_http(http)
{
}

asio::awaitable<Outcome<LeaseResult>> WorkerClient::renewLease(std::string address,
                                                               std::string holder,
                                                               std::int64_t epoch,
                                                               std::chrono::milliseconds duration,
                                                               std::optional<std::chrono::milliseconds> notAfter,
                                                               std::chrono::milliseconds timeout)
{
    json::object request{{"holder", holder}, {"epoch", epoch}, {"durationMs", duration.count()}};
    if (notAfter) {
        request["notAfterMs"] = notAfter->count();
    }
    auto response = co_await m_http.send(std::move(address), http::verb::put, "/lease", json::serialize(request), timeout);
    if (const Error *error = errorOf(response)) {
        co_return *error;
    }
    co_return capture([&] { return Internal::parseLeaseReply(valueOf(response)->body()); });
}

asio::awaitable<CommandOutcome> WorkerClient::start(std::string address, std::int64_t epoch, WorkerTask task, std::chrono::milliseconds timeout)
{
    const json::object request{
        {"epoch", epoch},
        {"notAfterMs", task.notAfter.count()},
        {"jobId", task.spec.jobId},
        {"attempt", task.attempt},
        {"taskName", task.spec.taskName},
        {"service", task.spec.kind == Wire::TaskKind::Service},
        {"declared", Internal::toJson(task.spec.declared)},
        {"command", task.spec.command},
        {"checkpoint", task.checkpoint},
        {"stopsWithoutLease", task.spec.stopsWithoutLease},
        {"acceptsCheckpoint", task.spec.acceptsCheckpoint},
    };
    co_return co_await post(std::move(address), "/tasks/start", json::serialize(request), timeout);
}

asio::awaitable<CommandOutcome>
WorkerClient::command(std::string address, std::string verb, std::int64_t epoch, std::string jobId, int attempt, std::chrono::milliseconds timeout)
{
    const json::object request{{"epoch", epoch}, {"jobId", jobId}, {"attempt", attempt}};
    co_return co_await post(std::move(address), "/tasks/" + verb, json::serialize(request), timeout);
}

asio::awaitable<CommandOutcome>
WorkerClient::throttle(std::string address, std::int64_t epoch, std::string jobId, int attempt, int level, std::chrono::milliseconds timeout)
{
    const json::object request{{"epoch", epoch}, {"jobId", jobId}, {"attempt", attempt}, {"level", level}};
    co_return co_await post(std::move(address), "/tasks/throttle", json::serialize(request), timeout);
}

asio::awaitable<CommandOutcome> WorkerClient::post(std::string address, std::string path, std::string body, std::chrono::milliseconds timeout)
{
    auto response = co_await m_http.send(std::move(address), http::verb::post, std::move(path), std::move(body), timeout);
    if (const Error *error = errorOf(response)) {
        co_return error->code == ErrorCode::Unavailable ? CommandOutcome::Unreachable : CommandOutcome::Undetermined;
    }
    co_return Internal::parseCommandReply(valueOf(response)->body());
}

} // namespace Hyssop
