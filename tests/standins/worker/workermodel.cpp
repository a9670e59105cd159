#include "workermodel.h"

#include <boost/json.hpp>

#include <sstream>

namespace Hyssop::StandIn {

namespace json = boost::json;

using Milliseconds = std::chrono::duration<double, std::milli>;

static bool isActive(const Task &task)
{
    return task.phase == Phase::Running || task.phase == Phase::Throttled || task.phase == Phase::Checkpointed;
}

static const char *phaseName(Phase phase)
{
    switch (phase) {
    case Phase::Running:
        return "running";
    case Phase::Throttled:
        return "throttled";
    case Phase::Checkpointed:
        return "checkpointed";
    case Phase::Stopped:
        return "stopped";
    case Phase::Finished:
        return "finished";
    case Phase::Failed:
        return "failed";
    }
    return "failed";
}

static json::object toJson(const Resources &resources)
{
    return {{"milliCores", resources.milliCores}, {"memoryBytes", resources.memoryBytes}, {"accelerators", resources.accelerators}, {"slots", resources.slots}};
}

static Resources resourcesFrom(const json::object &object)
{
    Resources resources;
    resources.milliCores = object.at("milliCores").to_number<std::int64_t>();
    resources.memoryBytes = object.at("memoryBytes").to_number<std::int64_t>();
    resources.accelerators = object.at("accelerators").to_number<std::int32_t>();
    resources.slots = object.at("slots").to_number<std::int32_t>();
    return resources;
}

static json::object outcome(const char *name)
{
    return {{"outcome", name}};
}

/// Work of a command in milliseconds; negative for a command that never ends.
static double workDuration(const std::string &command)
{
    std::istringstream stream(command);
    std::string verb;
    double milliseconds = -1;
    stream >> verb >> milliseconds;
    return verb == "run" || verb == "fail" ? milliseconds : -1;
}

WorkerModel::WorkerModel(WorkerOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_startedAt(now)
    , m_advancedTo(now)
    , m_leaseUntil(now)
{
}

void WorkerModel::setServiceHooks(ServiceStarter starter, ServiceStopper stopper)
{
    m_serviceStarter = std::move(starter);
    m_serviceStopper = std::move(stopper);
}

void WorkerModel::endTask(Task &task, Phase phase, TimePoint now, const std::string &reason)
{
    task.phase = phase;
    task.reason = reason;
    task.endedAt = now;
    if (task.service && m_serviceStopper) {
        m_serviceStopper(task);
    }
}

void WorkerModel::advanceTask(Task &task, TimePoint now)
{
    const double work = workDuration(task.command);
    if (task.service || work < 0) {
        return;
    }
    const Milliseconds elapsed = now - m_advancedTo;
    task.workDone += elapsed * (task.speedPercent / 100.0);
    if (task.workDone.count() < work) {
        return;
    }
    const bool fails = m_failEverything || task.command.starts_with("fail");
    endTask(task, fails ? Phase::Failed : Phase::Finished, now, fails ? "the task exited with status 1" : "");
}

void WorkerModel::advance(TimePoint now)
{
    // Work after the expiry of the lease does not count: the task is stopped at the time of expiry.
    const bool expired = m_epoch >= 0 && now >= m_leaseUntil;
    const TimePoint until = expired ? std::max(m_leaseUntil, m_advancedTo) : now;
    for (auto &[key, task] : m_tasks) {
        if (!isActive(task)) {
            continue;
        }
        if (!expired || m_advancedTo < m_leaseUntil) {
            advanceTask(task, until);
        }
        if (isActive(task) && expired && task.stopsWithoutLease) {
            endTask(task, Phase::Stopped, until, "lease expired");
        }
    }
    m_advancedTo = now;
}

json::object WorkerModel::renewLease(const json::object &request, TimePoint now)
{
    const std::int64_t epoch = request.at("epoch").to_number<std::int64_t>();
    const std::string holder(request.at("holder").as_string());
    const bool sameHolder = epoch == m_epoch && holder == m_holder;
    if (epoch < m_epoch || (epoch == m_epoch && !sameHolder)) {
        return {{"granted", false}, {"epoch", m_epoch}};
    }
    const auto clock = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt);
    const json::value *notAfter = request.if_contains("notAfterMs");
    if (notAfter != nullptr && clock.count() > notAfter->to_number<std::int64_t>()) {
        return {{"granted", false}, {"epoch", m_epoch}};
    }
    m_epoch = epoch;
    m_holder = holder;
    m_leaseUntil = now + std::chrono::milliseconds(request.at("durationMs").to_number<std::int64_t>());
    return {{"granted", true}, {"epoch", m_epoch}, {"status", status(now)}};
}

Resources WorkerModel::committed() const
{
    Resources sum;
    for (const auto &[key, task] : m_tasks) {
        if (isActive(task)) {
            sum += task.declared;
        }
    }
    return sum;
}

json::object WorkerModel::start(const json::object &request, TimePoint now)
{
    if (request.at("epoch").to_number<std::int64_t>() != m_epoch || now >= m_leaseUntil) {
        return outcome("stale-epoch");
    }
    const std::string jobId(request.at("jobId").as_string());
    const int attempt = request.at("attempt").to_number<int>();
    if (m_tasks.contains({jobId, attempt})) {
        return outcome("done");
    }
    if (const auto highest = m_highestAttempts.find(jobId); highest != m_highestAttempts.end() && attempt <= highest->second) {
        return outcome("unknown-task");
    }
    const auto clock = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt);
    if (clock.count() > request.at("notAfterMs").to_number<std::int64_t>()) {
        return outcome("expired");
    }
    Task task;
    task.jobId = jobId;
    task.attempt = attempt;
    task.service = request.at("service").as_bool();
    task.stopsWithoutLease = request.at("stopsWithoutLease").as_bool();
    task.acceptsCheckpoint = request.at("acceptsCheckpoint").as_bool();
    task.declared = resourcesFrom(request.at("declared").as_object());
    task.command = std::string(request.at("command").as_string());
    task.checkpoint = std::string(request.at("checkpoint").as_string());
    task.workDone = Milliseconds(task.checkpoint.empty() ? 0 : std::stod(task.checkpoint));
    task.startedAt = now;
    if (!(committed() + task.declared).fitsIn(m_options.capacity)) {
        ++m_overcommits;
        return outcome("no-capacity");
    }
    m_highestAttempts[jobId] = attempt;
    if (task.service && m_serviceStarter) {
        task.address = m_serviceStarter(task);
    }
    m_tasks.emplace(TaskKey(jobId, attempt), std::move(task));
    return outcome("done");
}

json::object WorkerModel::command(const std::string &verb, const json::object &request, TimePoint now)
{
    if (request.at("epoch").to_number<std::int64_t>() != m_epoch) {
        return outcome("stale-epoch");
    }
    const TaskKey key(std::string(request.at("jobId").as_string()), request.at("attempt").to_number<int>());
    const auto found = m_tasks.find(key);
    if (found == m_tasks.end()) {
        return outcome("unknown-task");
    }
    Task &task = found->second;
    if (verb == "stop" && isActive(task)) {
        endTask(task, Phase::Stopped, now, "stopped on command");
    } else if (verb == "checkpoint" && isActive(task) && task.acceptsCheckpoint) {
        task.checkpoint = std::to_string(task.workDone.count());
        task.phase = Phase::Checkpointed;
    } else if (verb == "throttle" && isActive(task)) {
        task.speedPercent = request.at("level").to_number<int>();
        task.phase = task.speedPercent < 100 ? Phase::Throttled : Phase::Running;
    } else if (verb == "forget" && !isActive(task)) {
        m_forgotten.push_back(task);
        m_tasks.erase(found);
    }
    return outcome("done");
}

json::object WorkerModel::status(TimePoint now) const
{
    json::array tasks;
    for (const auto &[key, task] : m_tasks) {
        const double work = workDuration(task.command);
        const bool active = isActive(task);
        tasks.push_back(json::object{
            {"jobId", task.jobId},
            {"attempt", task.attempt},
            {"service", task.service},
            {"state", phaseName(task.phase)},
            {"checkpoint", task.checkpoint},
            {"progress", work > 0 ? std::min(1.0, task.workDone.count() / work) : 0.0},
            {"usage", toJson(active ? task.declared : Resources())},
            {"serviceAddress", active ? task.address : std::string()},
            {"reason", task.reason},
        });
    }
    return {
        {"worker", m_options.name},
        {"rack", m_options.rack},
        {"leaving", m_leaving},
        {"capacity", toJson(m_options.capacity)},
        {"leaseHolder", m_holder},
        {"leaseEpoch", m_epoch},
        {"clockMs", std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt).count()},
        {"usageAgeMs", 0},
        {"tasks", std::move(tasks)},
    };
}

json::object WorkerModel::history() const
{
    const auto microseconds = [](TimePoint time) { return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count(); };
    json::array attempts;
    const auto add = [&](const Task &task) {
        attempts.push_back(json::object{
            {"worker", m_options.name},
            {"jobId", task.jobId},
            {"attempt", task.attempt},
            {"service", task.service},
            {"state", phaseName(task.phase)},
            {"startedUs", microseconds(task.startedAt)},
            {"endedUs", isActive(task) ? -1 : microseconds(task.endedAt)},
            {"checkpoint", task.checkpoint},
            {"reason", task.reason},
        });
    };
    for (const Task &task : m_forgotten) {
        add(task);
    }
    for (const auto &[key, task] : m_tasks) {
        add(task);
    }
    return {{"attempts", std::move(attempts)}, {"overcommits", m_overcommits}};
}

} // namespace Hyssop::StandIn
