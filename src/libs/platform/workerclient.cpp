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

struct CommandOutcomeName
{
    std::string_view name;
    CommandOutcome outcome;
};

constexpr std::array CommandOutcomeNames{
    CommandOutcomeName{"done", CommandOutcome::Executed},
    CommandOutcomeName{"stale-epoch", CommandOutcome::StaleEpoch},
    CommandOutcomeName{"expired", CommandOutcome::Expired},
    CommandOutcomeName{"no-capacity", CommandOutcome::NoCapacity},
    CommandOutcomeName{"unknown-task", CommandOutcome::UnknownTask},
};

struct TaskStateName
{
    std::string_view name;
    TaskState state;
};

constexpr std::array TaskStateNames{
    TaskStateName{"running", TaskState::Running},
    TaskStateName{"throttled", TaskState::Throttled},
    TaskStateName{"checkpointing", TaskState::Checkpointing},
    TaskStateName{"checkpointed", TaskState::Checkpointed},
    TaskStateName{"stopped", TaskState::Stopped},
    TaskStateName{"finished", TaskState::Finished},
    TaskStateName{"failed", TaskState::Failed},
};

static std::string textField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

static std::int64_t integerField(const json::object &object, std::string_view key, std::int64_t fallback = 0)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
}

static double numberField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return 0;
    }
    boost::system::error_code error;
    const auto number = value->to_number<double>(error);
    return error ? 0 : number;
}

static bool flagField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

static Resources resourcesField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_object()) {
        return {};
    }
    const json::object &amounts = value->get_object();
    Resources resources;
    resources.milliCores = integerField(amounts, "milliCores");
    resources.memoryBytes = integerField(amounts, "memoryBytes");
    resources.accelerators = static_cast<std::int32_t>(integerField(amounts, "accelerators"));
    resources.slots = static_cast<std::int32_t>(integerField(amounts, "slots"));
    return resources;
}

static Result<TaskStatus> parseTask(const json::value &value)
{
    if (!value.is_object()) {
        return fail(ErrorCode::Malformed, "a task in the status is not a JSON object");
    }
    const json::object &object = value.get_object();
    TaskStatus task;
    task.jobId = textField(object, "jobId");
    task.attempt = static_cast<int>(integerField(object, "attempt"));
    task.service = flagField(object, "service");
    task.checkpoint = textField(object, "checkpoint");
    task.progress = numberField(object, "progress");
    task.usage = resourcesField(object, "usage");
    task.serviceAddress = textField(object, "serviceAddress");
    task.serviceLatencyP99Us = numberField(object, "latencyP99Us");
    task.reason = textField(object, "reason");
    const std::string state = textField(object, "state");
    const auto *known = std::ranges::find(TaskStateNames, state, &TaskStateName::name);
    if (task.jobId.empty() || known == TaskStateNames.end()) {
        return fail(ErrorCode::Malformed, "a task has no job id or an unknown state \"" + state + "\"");
    }
    task.state = known->state;
    return task;
}

static Result<WorkerStatus> parseStatus(const json::object &object)
{
    WorkerStatus status;
    status.worker = textField(object, "worker");
    status.rack = textField(object, "rack");
    status.leaving = flagField(object, "leaving");
    status.capacity = resourcesField(object, "capacity");
    status.leaseHolder = textField(object, "leaseHolder");
    status.leaseEpoch = integerField(object, "leaseEpoch", -1);
    status.clock = std::chrono::milliseconds(integerField(object, "clockMs"));
    status.usageAge = std::chrono::milliseconds(integerField(object, "usageAgeMs"));
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

static Result<LeaseResult> parseLeaseResponse(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return fail(ErrorCode::Malformed, "the lease response is not a JSON object");
    }
    const json::object &object = value.get_object();
    LeaseResult result;
    result.granted = flagField(object, "granted");
    result.holderEpoch = integerField(object, "epoch", -1);
    if (!result.granted) {
        return result;
    }
    const json::value *status = object.if_contains("status");
    if (status == nullptr || !status->is_object()) {
        return fail(ErrorCode::Malformed, "the response to a granted lease has no status");
    }
    BOOST_LEAF_ASSIGN(result.status, parseStatus(status->get_object()));
    return result;
}

static CommandOutcome parseCommandResponse(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return CommandOutcome::Undetermined;
    }
    const std::string outcome = textField(value.get_object(), "outcome");
    const auto *known = std::ranges::find(CommandOutcomeNames, outcome, &CommandOutcomeName::name);
    return known == CommandOutcomeNames.end() ? CommandOutcome::Undetermined : known->outcome;
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
    co_return capture([&] { return Internal::parseLeaseResponse(valueOf(response)->body()); });
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
WorkerClient::throttle(std::string address, std::int64_t epoch, std::string jobId, int attempt, int speedPercent, std::chrono::milliseconds timeout)
{
    const json::object request{{"epoch", epoch}, {"jobId", jobId}, {"attempt", attempt}, {"level", speedPercent}};
    co_return co_await post(std::move(address), "/tasks/throttle", json::serialize(request), timeout);
}

asio::awaitable<CommandOutcome> WorkerClient::post(std::string address, std::string path, std::string body, std::chrono::milliseconds timeout)
{
    auto response = co_await m_http.send(std::move(address), http::verb::post, std::move(path), std::move(body), timeout);
    if (const Error *error = errorOf(response)) {
        co_return isNotSent(error->code) ? CommandOutcome::Unreachable : CommandOutcome::Undetermined;
    }
    co_return Internal::parseCommandResponse(valueOf(response)->body());
}

} // namespace Hyssop
