#include "workerselector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace Hyssop::Internal {

namespace {

constexpr std::size_t SampleSize = 12;
constexpr std::size_t MaximumSearchSteps = 64; // in the search for any permitted worker
constexpr std::uint32_t PlacementsPerExploration = 20; // one placement in so many explores
constexpr double ExplorationBonus = 0.3;
constexpr double ExplorationLatencyRatio = 0.6; // an unexplored pair is tried below this latency ratio
constexpr double LoadWeight = 0.5;
constexpr double SameWorkerCost = 1;
constexpr double SameRackCost = 0.1;
constexpr double InfeasibleCost = std::numeric_limits<double>::infinity();
// Limits of the effect that a batch task may have on a service. While all workers are full, a freed slot is offered to the
// pending tasks one after the other, and there is no other worker to compare it with. Without a limit, every pair of kinds
// would eventually be colocated.
constexpr double EffectLimitForLatency = 0.015;
constexpr double EffectLimitForThroughput = 0.04;
constexpr double EffectLimitAgingSeconds = 3600; // the limit doubles after twice this wait, so that no kind starves

double effectLimit(Favor favor)
{
    return favor == Favor::Latency ? EffectLimitForLatency : EffectLimitForThroughput;
}

constexpr std::chrono::nanoseconds ProbeFallbackDelay = std::chrono::seconds(30);

} // namespace

Selection WorkerSelector::select(std::uint32_t task, const Resources &amount, TimePoint now)
{
    const TaskRecord &record = m_state.tasks[task];
    const auto workerCount = static_cast<std::uint32_t>(m_state.workers.size());
    if (workerCount == 0) {
        return {};
    }
    const double waitedSeconds = std::max(0.0, static_cast<double>(now.time_since_epoch().count() - record.queueKey) / 1e9);
    const double effectLimitFactor = 1 + std::max(0.0, waitedSeconds - EffectLimitAgingSeconds) / EffectLimitAgingSeconds;
    const bool explore = m_state.options.exploration && record.batch() && m_state.randomBelow(PlacementsPerExploration) == 0;
    std::array<std::uint32_t, SampleSize> examined{};
    std::size_t examinedCount = 0;
    Selection best;
    double bestCost = InfeasibleCost;
    for (std::size_t i = 0; i < SampleSize; ++i) {
        const auto found = m_state.freeIndex.find(amount, m_state.randomBelow(workerCount));
        if (!found) {
            return {};
        }
        best.outcome = best.worker == NoId ? SelectionOutcome::Unsuitable : best.outcome;
        const auto end = examined.begin() + static_cast<std::ptrdiff_t>(examinedCount);
        if (std::find(examined.begin(), end, *found) != end) {
            continue;
        }
        examined[examinedCount++] = *found;
        const double candidateCost = permitted(record, *found) ? cost(record, *found, explore, effectLimitFactor) : InfeasibleCost;
        if (candidateCost < bestCost) {
            bestCost = candidateCost;
            best = Selection{SelectionOutcome::Found, *found};
        }
    }
    if (best.worker != NoId || record.queueClass == QueueClass::Batch) {
        return best;
    }
    // Urgent and service tasks accept any permitted worker, whatever its cost.
    std::uint32_t start = 0;
    for (std::size_t i = 0; i < MaximumSearchSteps; ++i) {
        const auto found = m_state.freeIndex.find(amount, start);
        if (!found || *found < start) {
            break;
        }
        if (permitted(record, *found)) {
            return Selection{SelectionOutcome::Found, *found};
        }
        start = *found + 1;
        if (start >= workerCount) {
            break;
        }
    }
    return best;
}

bool WorkerSelector::permitted(const TaskRecord &task, std::uint32_t worker) const
{
    if (!m_state.schedulable(worker)) {
        return false;
    }
    const bool probing = m_state.options.quarantine && m_state.health.state(worker) != WorkerHealth::State::Healthy;
    if (probing && task.queueClass != QueueClass::Batch) {
        return false;
    }
    const auto *failed = m_state.health.failedWorkers(task.jobId);
    if (!failed || failed->size() >= m_state.workerIds.size()) {
        return true;
    }
    // A task that has failed is a poor probe, since another failure says little about the worker. It is still used as one
    // after a while. Otherwise it would never run if no other task is pending and all workers on which it has not failed
    // have to be probed.
    const bool mayProbe = !probing || m_state.lastTime.time_since_epoch().count() - task.queueKey >= ProbeFallbackDelay.count();
    return mayProbe && std::find(failed->begin(), failed->end(), m_state.workers[worker].name) == failed->end();
}

double WorkerSelector::cost(const TaskRecord &task, std::uint32_t worker, bool explore, double effectLimitFactor) const
{
    return task.batch() ? batchCost(task, worker, explore, effectLimitFactor) : serviceCost(task, worker);
}

double WorkerSelector::batchCost(const TaskRecord &task, std::uint32_t worker, bool explore, double effectLimitFactor) const
{
    const WorkerRecord &host = m_state.workers[worker];
    const double load = m_state.load(worker, m_state.sizes.expectedMilliCores(task.kind, task.declared));
    double total = LoadWeight * load;
    if (!m_state.options.interference) {
        return total;
    }
    const bool effectLimited = task.queueClass == QueueClass::Batch;
    for (const KindOnWorker &colocated : host.kinds) {
        if (colocated.service == NoId) {
            continue;
        }
        const double effect = m_state.interference.effect(colocated.kind, task.kind) * load;
        const Favor favor = m_state.customerInfo[m_state.serviceInfo[colocated.service].customer].favor;
        const double predictedRatio = colocated.latencyRatio * std::exp(effect + colocated.unmeasuredEffect);
        const bool recovering = favor == Favor::Latency && host.throttledTasks > 0;
        if (effectLimited && (recovering || predictedRatio > EvictionPolicy::placementLimit(favor) || effect > effectLimit(favor) * effectLimitFactor)) {
            return InfeasibleCost;
        }
        total += effect * (favor == Favor::Latency ? 2 : 1) * std::max(0.25, predictedRatio);
        if (explore && predictedRatio < ExplorationLatencyRatio && m_state.interference.unexplored(colocated.kind, task.kind)) {
            total -= ExplorationBonus;
        }
    }
    return total;
}

double WorkerSelector::serviceCost(const TaskRecord &task, std::uint32_t worker) const
{
    const WorkerRecord &host = m_state.workers[worker];
    const double load = m_state.load(worker, m_state.sizes.expectedMilliCores(task.kind, task.declared));
    double total = LoadWeight * load;
    for (const KindOnWorker &colocated : host.kinds) {
        if (m_state.options.rackSpread && colocated.service == task.service) {
            total += SameWorkerCost * colocated.count;
        }
        if (!m_state.options.interference) {
            continue;
        }
        total += m_state.interference.effect(task.kind, colocated.kind) * load * colocated.count;
        if (colocated.service != NoId) {
            total += m_state.interference.effect(colocated.kind, task.kind) * load;
        }
    }
    if (m_state.options.rackSpread) {
        total += SameRackCost * m_state.replicasInRack(task.service, host.rack);
    }
    return total;
}

} // namespace Hyssop::Internal
