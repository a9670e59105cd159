#include "simulatedworker.h"

#include <algorithm>

namespace Hyssop::Testing {

namespace {

constexpr int SlowClockPercent = 98; // slowest clock that the platform's contract permits

} // namespace

SimulatedWorker::SimulatedWorker(WorkerInfo info, TimePoint startedAt, WorkerTime maximumLease)
    : m_info(std::move(info))
    , m_startedAt(startedAt)
    , m_maximumLease(maximumLease)
{
}

WorkerTime SimulatedWorker::clock(TimePoint now) const
{
    return std::chrono::duration_cast<WorkerTime>(now - m_startedAt) * SlowClockPercent / 100 + WorkerTime(1000);
}

std::optional<CommandRejected> SimulatedWorker::fence(std::int64_t token)
{
    if (token < m_token) {
        return CommandRejected{RejectionReason::Fenced, "fence"};
    }
    m_token = token;
    return std::nullopt;
}

void SimulatedWorker::extendLease(WorkerTime end)
{
    m_leaseEnd = std::max(m_leaseEnd, end);
}

CommandResult SimulatedWorker::start(const StartCommand &command, TimePoint now)
{
    if (auto rejection = fence(command.fencingToken)) {
        return *rejection;
    }
    const WorkerTime reading = clock(now);
    if (command.leaseEnd <= reading) {
        return CommandRejected{RejectionReason::Expired, "late"};
    }
    extendLease(std::min(command.leaseEnd, reading + m_maximumLease));
    const auto present = m_runs.find(command.task);
    if (present != m_runs.end() && present->second.run == command.run) {
        return CommandExecuted{reading};
    }
    const auto ended = m_newestEndedRun.find(command.task);
    const bool superseded = ended != m_newestEndedRun.end() && command.run <= ended->second;
    if (superseded || present != m_runs.end()) {
        return CommandRejected{RejectionReason::Superseded, "old"};
    }
    Run run = plan(command.task);
    run.run = command.run;
    run.endsAt += now - TimePoint();
    m_runs[command.task] = run;
    started(command.task, command.run, m_info.id);
    return CommandExecuted{reading};
}

CommandResult SimulatedWorker::stop(const StopCommand &command, TimePoint now)
{
    if (auto rejection = fence(command.fencingToken)) {
        return *rejection;
    }
    const auto present = m_runs.find(command.task);
    if (present != m_runs.end() && present->second.run <= command.run) {
        finish(command.task, RunEndReason::Stopped);
    }
    m_newestEndedRun[command.task] = std::max(m_newestEndedRun[command.task], command.run);
    return CommandExecuted{clock(now)};
}

PollResult SimulatedWorker::poll(const PollCommand &command, TimePoint now)
{
    if (auto rejection = fence(command.fencingToken)) {
        return *rejection;
    }
    if (command.leaseEnd) {
        extendLease(std::min(*command.leaseEnd, clock(now) + m_maximumLease));
    }
    WorkerReport report;
    report.clock = clock(now);
    report.processStartedAt = std::chrono::duration_cast<std::chrono::milliseconds>(m_startedAt.time_since_epoch());
    for (End &end : m_ends) {
        if (end.report.sequence <= command.acknowledgedSequence && !end.acknowledged) {
            end.acknowledged = true;
            if (end.expired) {
                continue;
            }
            endAcknowledged(end.report.task, end.report.run, m_info.id, end.report.endReason);
        }
    }
    std::erase_if(m_ends, [](const End &end) { return end.acknowledged; });
    for (const End &end : m_ends) {
        report.ends.push_back(end.report);
    }
    for (const auto &[task, run] : m_runs) {
        report.runs.push_back({task, run.run, "", run.tailMs > 0 ? 100 : static_cast<int>((now.time_since_epoch().count() / 10000000) % 100), run.tailMs});
    }
    return report;
}

void SimulatedWorker::advance(TimePoint now)
{
    const auto runs = m_runs;
    const bool expired = clock(now) >= m_leaseEnd;
    for (End &end : m_ends) {
        end.expired = end.expired || expired;
    }
    for (const auto &[task, run] : runs) {
        if (expired) {
            finish(task, RunEndReason::LeaseExpired);
        } else if (now >= run.endsAt) {
            finish(task, run.endReason);
        }
    }
}

void SimulatedWorker::restart(TimePoint now)
{
    const auto runs = m_runs;
    for (const auto &[task, run] : runs) {
        ended(task, run.run, m_info.id, RunEndReason::LeaseExpired);
    }
    m_runs.clear();
    m_ends.clear();
    m_newestEndedRun.clear();
    m_lastEndSequence = 0;
    m_token = 0;
    m_leaseEnd = WorkerTime(0);
    m_startedAt = now;
    ++m_incarnation;
}

void SimulatedWorker::finish(const TaskId &task, RunEndReason endReason)
{
    const int run = m_runs.at(task).run;
    m_runs.erase(task);
    m_newestEndedRun[task] = std::max(m_newestEndedRun[task], run);
    m_ends.push_back({{++m_lastEndSequence, task, run, endReason, ""}, false});
    ended(task, run, m_info.id, endReason);
}

} // namespace Hyssop::Testing
