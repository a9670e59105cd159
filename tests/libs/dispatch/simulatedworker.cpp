#include "simulatedworker.h"

#include <algorithm>

namespace Hyssop::Testing {

namespace {

constexpr WorkerTime LongestLease{6000};
constexpr int SlowClockPercent = 98; // the slowest clock that the platform allows

} // namespace

SimulatedWorker::SimulatedWorker(WorkerInfo info, TimePoint born)
    : m_info(std::move(info))
    , m_born(born)
{
}

WorkerTime SimulatedWorker::clock(TimePoint now) const
{
    return std::chrono::duration_cast<WorkerTime>(now - m_born) * SlowClockPercent / 100 + WorkerTime(1000);
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

CommandResult SimulatedWorker::start(const StartCommand &order, TimePoint now)
{
    if (auto refusal = fence(order.fencingToken)) {
        return *refusal;
    }
    const WorkerTime reading = clock(now);
    if (order.leaseEnd <= reading) {
        return CommandRejected{RejectionReason::Expired, "late"};
    }
    extendLease(std::min(order.leaseEnd, reading + LongestLease));
    const auto present = m_runs.find(order.task);
    if (present != m_runs.end() && present->second.run == order.run) {
        return CommandExecuted{reading};
    }
    const auto ended = m_highestEnded.find(order.task);
    const bool superseded = ended != m_highestEnded.end() && order.run <= ended->second;
    if (superseded || present != m_runs.end()) {
        return CommandRejected{RejectionReason::Superseded, "old"};
    }
    Run run = plan(order.task);
    run.run = order.run;
    run.endsAt += now - TimePoint();
    m_runs[order.task] = run;
    started(order.task, order.run, m_info.id);
    return CommandExecuted{reading};
}

CommandResult SimulatedWorker::stop(const StopCommand &order, TimePoint now)
{
    if (auto refusal = fence(order.fencingToken)) {
        return *refusal;
    }
    const auto present = m_runs.find(order.task);
    if (present != m_runs.end() && present->second.run <= order.run) {
        finish(order.task, RunEndReason::Stopped);
    }
    m_highestEnded[order.task] = std::max(m_highestEnded[order.task], order.run);
    return CommandExecuted{clock(now)};
}

PollResult SimulatedWorker::poll(const PollCommand &order, TimePoint now)
{
    if (auto refusal = fence(order.fencingToken)) {
        return *refusal;
    }
    if (order.leaseEnd) {
        extendLease(std::min(*order.leaseEnd, clock(now) + LongestLease));
    }
    WorkerReport listing;
    listing.clock = clock(now);
    listing.processStartedAt = std::chrono::duration_cast<std::chrono::milliseconds>(m_born.time_since_epoch());
    for (End &end : m_ends) {
        if (end.row.sequence <= order.acknowledgedSequence && !end.noted) {
            end.noted = true;
            if (end.lapsed) {
                continue;
            }
            endNoted(end.row.task, end.row.run, m_info.id, end.row.endReason);
        }
    }
    std::erase_if(m_ends, [](const End &end) { return end.noted; });
    for (const End &end : m_ends) {
        listing.ends.push_back(end.row);
    }
    for (const auto &[task, run] : m_runs) {
        listing.runs.push_back({task, run.run, "", run.tailMs > 0 ? 100 : static_cast<int>((now.time_since_epoch().count() / 10000000) % 100), run.tailMs});
    }
    return listing;
}

void SimulatedWorker::advance(TimePoint now)
{
    const auto runs = m_runs;
    const bool lapsed = clock(now) >= m_leaseEnd;
    for (End &end : m_ends) {
        end.lapsed = end.lapsed || lapsed;
    }
    for (const auto &[task, run] : runs) {
        if (lapsed) {
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
    m_highestEnded.clear();
    m_lastEnd = 0;
    m_token = 0;
    m_leaseEnd = WorkerTime(0);
    m_born = now;
    ++m_life;
}

void SimulatedWorker::finish(const TaskId &task, RunEndReason endReason)
{
    const int run = m_runs.at(task).run;
    m_runs.erase(task);
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    m_ends.push_back({{++m_lastEnd, task, run, endReason, ""}, false});
    ended(task, run, m_info.id, endReason);
}

} // namespace Hyssop::Testing
