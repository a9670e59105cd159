#include "fakeworker.h"

#include <utils/overloaded.h>

#include <algorithm>
#include <cstdlib>

namespace Hyssop::Testing {

namespace {

using std::chrono::milliseconds;

constexpr double CheckpointSeconds = 0.6;
constexpr milliseconds UsageLag{2000};

double secondsOf(milliseconds value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

std::string attemptName(const TaskStatus &status)
{
    return status.jobId + "/" + std::to_string(status.attempt);
}

} // namespace

bool isActive(TaskState state)
{
    return state != TaskState::Stopped && state != TaskState::Finished && state != TaskState::Failed;
}

FakeWorker::FakeWorker(std::string name, Resources capacity, double rate, milliseconds clockOffset)
    : m_name(std::move(name))
    , m_capacity(capacity)
    , m_rate(rate)
    , m_clockSeconds(secondsOf(clockOffset))
{
}

void FakeWorker::setHandlers(EventHandler onEvent, StartHandler onStart)
{
    m_onEvent = std::move(onEvent);
    m_onStart = std::move(onStart);
}

milliseconds FakeWorker::clock() const
{
    return milliseconds(static_cast<std::int64_t>(m_clockSeconds * 1000));
}

Resources FakeWorker::used() const
{
    Resources sum;
    for (const auto &[key, task] : m_tasks) {
        if (isActive(task.status.state)) {
            sum += task.declared;
        }
    }
    return sum;
}

void FakeWorker::advance(milliseconds step)
{
    m_clockSeconds += secondsOf(step) * m_rate;
    const bool expired = m_clockSeconds > m_leaseEnd;
    for (auto &[key, task] : m_tasks) {
        if (!isActive(task.status.state)) {
            continue;
        }
        advanceTask(task, secondsOf(step));
        if (expired && task.stopsWithoutLease && isActive(task.status.state)) {
            stop(task, "without lease");
        }
    }
}

void FakeWorker::advanceTask(FakeTask &task, double seconds)
{
    TaskStatus &status = task.status;
    if (task.checkpointLeft >= 0) {
        task.checkpointLeft -= seconds;
        if (task.checkpointLeft < 0) {
            if (m_failsCheckpoints) {
                status.state = TaskState::Running;
            } else {
                status.checkpoint = std::to_string(status.progress);
                status.state = TaskState::Checkpointed;
            }
        }
    }
    if (task.seconds <= 0) {
        return; // services run until they are stopped
    }
    status.progress = std::min(1.0, status.progress + seconds * task.speed / task.seconds);
    if (status.progress >= 1) {
        status.state = TaskState::Finished;
        m_onEvent(m_name + " finishes " + attemptName(status));
    } else if (m_failsTasks && status.progress > 0.1) {
        status.state = TaskState::Failed;
        status.reason = "worker fault";
        m_onEvent(m_name + " fails " + attemptName(status));
    }
}

void FakeWorker::stop(FakeTask &task, const char *why)
{
    task.status.state = TaskState::Stopped;
    m_onEvent(m_name + " stops " + attemptName(task.status) + " " + why);
}

void FakeWorker::restart()
{
    ++m_restarts;
    m_tasks.clear();
    m_epoch = -1;
    m_leaseEnd = -1;
    m_clockSeconds = 0;
    m_onEvent(m_name + " restarts");
}

bool FakeWorker::leaseHeld(std::int64_t epoch) const
{
    return ignoresEpoch || (epoch == m_epoch && m_clockSeconds <= m_leaseEnd);
}

LeaseResult FakeWorker::renew(const RenewLease &command)
{
    LeaseResult result;
    result.holderEpoch = m_epoch;
    if (command.epoch < m_epoch && !ignoresEpoch) {
        return result;
    }
    if (command.notAfter && clock() > *command.notAfter && !ignoresRenewalDeadline) {
        return result;
    }
    if (command.epoch != m_epoch) {
        m_onEvent(m_name + " leased to epoch " + std::to_string(command.epoch));
    }
    m_epoch = command.epoch;
    m_leaseEnd = m_clockSeconds + secondsOf(command.duration);
    result.granted = true;
    result.holderEpoch = m_epoch;
    result.status.worker = m_name;
    result.status.rack = "rack";
    result.status.leaving = m_leaving;
    result.status.capacity = m_capacity;
    result.status.leaseEpoch = m_epoch;
    result.status.clock = clock();
    result.status.usageAge = UsageLag;
    for (const auto &[key, task] : m_tasks) {
        result.status.tasks.push_back(task.status);
    }
    return result;
}

FakeTask *FakeWorker::running(const std::string &jobId, int attempt)
{
    const auto found = m_tasks.find({jobId, attempt});
    return found != m_tasks.end() && isActive(found->second.status.state) ? &found->second : nullptr;
}

CommandOutcome FakeWorker::start(const StartTask &command)
{
    if (!leaseHeld(command.epoch)) {
        return CommandOutcome::StaleEpoch;
    }
    if (m_tasks.contains({command.spec.jobId, command.attempt})) {
        return CommandOutcome::Executed;
    }
    if (clock() > command.notAfter) {
        return CommandOutcome::Expired;
    }
    FakeTask task;
    task.status.jobId = command.spec.jobId;
    task.status.attempt = command.attempt;
    task.status.service = command.spec.kind == Wire::TaskKind::Service;
    task.status.checkpoint = command.checkpoint;
    task.status.progress = command.checkpoint.empty() ? 0 : std::strtod(command.checkpoint.c_str(), nullptr);
    task.declared = {command.spec.declared.milliCores, command.spec.declared.memoryBytes, command.spec.declared.accelerators, command.spec.declared.slots};
    task.status.usage = task.declared;
    task.stopsWithoutLease = command.spec.stopsWithoutLease;
    task.seconds = secondsOf(milliseconds(command.spec.declaredRunTimeMs));
    if (task.status.service) {
        task.status.serviceAddress = "127.0.0.1:9000";
    }
    m_onEvent(m_name + " starts " + attemptName(task.status));
    m_onStart(command.spec.jobId, command.attempt, command.checkpoint);
    m_tasks.emplace(std::make_pair(command.spec.jobId, command.attempt), std::move(task));
    return CommandOutcome::Executed;
}

CommandOutcome FakeWorker::execute(const SchedulerAction &command)
{
    const auto fenced = [&](const auto &action, auto &&effect) {
        if (!leaseHeld(action.epoch)) {
            return CommandOutcome::StaleEpoch;
        }
        FakeTask *task = running(action.jobId, action.attempt);
        if (!task) {
            return m_tasks.contains({action.jobId, action.attempt}) ? CommandOutcome::Executed : CommandOutcome::UnknownTask;
        }
        effect(*task);
        return CommandOutcome::Executed;
    };
    const Overloaded visitor{
        [&](const StartTask &action) { return start(action); },
        [&](const StopTask &action) { return fenced(action, [&](FakeTask &task) { stop(task, "on command"); }); },
        [&](const RequestCheckpoint &action) {
            return fenced(action, [&](FakeTask &task) {
                if (task.checkpointLeft < 0 && task.status.state != TaskState::Checkpointed) {
                    task.checkpointLeft = CheckpointSeconds;
                    task.status.state = TaskState::Checkpointing;
                }
            });
        },
        [&](const SetThrottle &action) {
            return fenced(action, [&](FakeTask &task) {
                task.speed = action.speedPercent / 100.0;
                if (task.status.state == TaskState::Running || task.status.state == TaskState::Throttled) {
                    task.status.state = action.speedPercent < 100 ? TaskState::Throttled : TaskState::Running;
                }
            });
        },
        [&](const ForgetTask &action) {
            const auto found = m_tasks.find({action.jobId, action.attempt});
            if (!leaseHeld(action.epoch) || found == m_tasks.end() || isActive(found->second.status.state)) {
                return CommandOutcome::UnknownTask;
            }
            m_tasks.erase(found);
            return CommandOutcome::Executed;
        },
        [](const auto &) { return CommandOutcome::UnknownTask; },
    };
    return std::visit(visitor, command);
}

} // namespace Hyssop::Testing
