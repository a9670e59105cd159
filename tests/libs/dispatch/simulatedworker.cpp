#include "simulatedworker.h"

#include <algorithm>

namespace Hyssop::Testing {

namespace {

constexpr WorkerTime LongestLease{6000};
constexpr int SlowClockPercent = 98; // slowest clock that the platform's contract permits

} // namespace

SimulatedWorker::SimulatedWorker(WorkerInfo info, TimePoint startedAt)
    : m_info(std::move(info))
    , m_startedAt(startedAt)
{
}

WorkerTime SimulatedWorker::clock(TimePoint now) const
{
    return std::chrono::duration_cast<WorkerTime>(now - m_startedAt) * SlowClockPercent / 100 + WorkerTime(1000);
}

std::optional<OrderRefused> SimulatedWorker::fence(std::int64_t token)
{
    if (token < m_token) {
        return OrderRefused{OrderRefusal::Fenced, "fence"};
    }
    m_token = token;
    return std::nullopt;
}

void SimulatedWorker::extendLease(WorkerTime end)
{
    m_leaseEnd = std::max(m_leaseEnd, end);
}

OrderAnswer SimulatedWorker::start(const StartOrder &order, TimePoint now)
{
    if (auto refusal = fence(order.fencingToken)) {
        return *refusal;
    }
    const WorkerTime reading = clock(now);
    if (order.leaseEnd <= reading) {
        return OrderRefused{OrderRefusal::Expired, "late"};
    }
    extendLease(std::min(order.leaseEnd, reading + LongestLease));
    const auto present = m_runs.find(order.task);
    if (present != m_runs.end() && present->second.run == order.run) {
        return OrderDone{reading};
    }
    const auto ended = m_newestEndedRun.find(order.task);
    const bool superseded = ended != m_newestEndedRun.end() && order.run <= ended->second;
    if (superseded || present != m_runs.end()) {
        return OrderRefused{OrderRefusal::Superseded, "old"};
    }
    Run run = plan(order.task);
    run.run = order.run;
    run.endsAt += now - TimePoint();
    m_runs[order.task] = run;
    started(order.task, order.run, m_info.id);
    return OrderDone{reading};
}

OrderAnswer SimulatedWorker::stop(const StopOrder &order, TimePoint now)
{
    if (auto refusal = fence(order.fencingToken)) {
        return *refusal;
    }
    const auto present = m_runs.find(order.task);
    if (present != m_runs.end() && present->second.run <= order.run) {
        finish(order.task, RunEnding::Stopped);
    }
    m_newestEndedRun[order.task] = std::max(m_newestEndedRun[order.task], order.run);
    return OrderDone{clock(now)};
}

PollAnswer SimulatedWorker::poll(const PollOrder &order, TimePoint now)
{
    if (auto refusal = fence(order.fencingToken)) {
        return *refusal;
    }
    if (order.leaseEnd) {
        extendLease(std::min(*order.leaseEnd, clock(now) + LongestLease));
    }
    WorkerListing listing;
    listing.clock = clock(now);
    listing.bornAt = std::chrono::duration_cast<std::chrono::milliseconds>(m_startedAt.time_since_epoch());
    for (End &end : m_ends) {
        if (end.row.number <= order.acknowledgedEnd && !end.acknowledged) {
            end.acknowledged = true;
            if (end.expired) {
                continue;
            }
            endAcknowledged(end.row.task, end.row.run, m_info.id, end.row.ending);
        }
    }
    std::erase_if(m_ends, [](const End &end) { return end.acknowledged; });
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
    const bool expired = clock(now) >= m_leaseEnd;
    for (End &end : m_ends) {
        end.expired = end.expired || expired;
    }
    for (const auto &[task, run] : runs) {
        if (expired) {
            finish(task, RunEnding::LeaseLapsed);
        } else if (now >= run.endsAt) {
            finish(task, run.ending);
        }
    }
}

void SimulatedWorker::restart(TimePoint now)
{
    const auto runs = m_runs;
    for (const auto &[task, run] : runs) {
        ended(task, run.run, m_info.id, RunEnding::LeaseLapsed);
    }
    m_runs.clear();
    m_ends.clear();
    m_newestEndedRun.clear();
    m_lastEnd = 0;
    m_token = 0;
    m_leaseEnd = WorkerTime(0);
    m_startedAt = now;
    ++m_incarnation;
}

void SimulatedWorker::finish(const TaskId &task, RunEnding ending)
{
    const int run = m_runs.at(task).run;
    m_runs.erase(task);
    m_newestEndedRun[task] = std::max(m_newestEndedRun[task], run);
    m_ends.push_back({{++m_lastEnd, task, run, ending, ""}, false});
    ended(task, run, m_info.id, ending);
}

} // namespace Hyssop::Testing
