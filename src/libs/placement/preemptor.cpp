#include "preemptor.h"

#include <algorithm>

namespace Hyssop::Internal {

namespace {

constexpr std::size_t SampledWorkers = 24;
constexpr float NearEndProgress = 0.85F;
constexpr float ExpendableProgress = 0.05F; // progress that may be lost if there is no checkpoint
constexpr double EvictionCostSeconds = 10; // cost of a checkpoint and a restart
constexpr double ProtectedTaskPenalty = 1e6;

} // namespace

std::optional<Preemption> Preemptor::choose(std::uint32_t task, const Resources &amount)
{
    const auto workerCount = static_cast<std::uint32_t>(m_state.workers.size());
    if (workerCount == 0) {
        return std::nullopt;
    }
    const bool urgent = m_state.tasks[task].queueClass == QueueClass::Urgent;
    const auto *failed = m_state.health.failedWorkers(m_state.tasks[task].jobId);
    std::optional<Preemption> best;
    for (std::size_t i = 0; i < SampledWorkers; ++i) {
        const auto worker = m_state.capacityIndex.find(amount, m_state.randomBelow(workerCount));
        if (!worker) {
            return std::nullopt;
        }
        if (!m_state.schedulable(*worker) || m_state.health.state(*worker) != WorkerHealth::State::Healthy) {
            continue;
        }
        if (failed && std::find(failed->begin(), failed->end(), m_state.workers[*worker].name) != failed->end()) {
            continue;
        }
        auto candidate = victimsOn(*worker, amount, urgent);
        if (candidate && (!best || candidate->cost < best->cost)) {
            best = std::move(candidate);
        }
    }
    return best;
}

std::uint32_t Preemptor::mostInterfering(std::uint32_t worker) const
{
    std::uint32_t worst = NoId;
    double worstInterference = -1;
    for (const std::uint32_t task : m_state.workers[worker].tasks) {
        const TaskRecord &record = m_state.tasks[task];
        if (!record.batch() || m_state.isBeingEvicted(*record.running) || record.queueClass == QueueClass::Urgent || isProtected(task)) {
            continue;
        }
        const double taskInterference = interferenceOf(task);
        if (taskInterference > worstInterference) {
            worst = task;
            worstInterference = taskInterference;
        }
    }
    return worst;
}

double Preemptor::interferenceOf(std::uint32_t task) const
{
    const TaskRecord &record = m_state.tasks[task];
    double total = 1e-6 * static_cast<double>(record.running->loadMilliCores);
    for (const KindOnWorker &colocated : m_state.workers[record.running->worker].kinds) {
        if (colocated.service != NoId) {
            total += m_state.interference.effect(colocated.kind, record.kind) * std::max(0.1F, colocated.latencyRatio);
        }
    }
    return total;
}

bool Preemptor::isProtected(std::uint32_t task) const
{
    const RunningTask &running = *m_state.tasks[task].running;
    return running.progress >= NearEndProgress || (!running.hasCheckpoint && running.progress > ExpendableProgress);
}

std::optional<Preemption> Preemptor::victimsOn(std::uint32_t worker, const Resources &amount, bool includeProtected) const
{
    Resources freed = m_state.available(worker);
    std::vector<std::pair<double, std::uint32_t>> candidates;
    for (const std::uint32_t task : m_state.workers[worker].tasks) {
        const TaskRecord &record = m_state.tasks[task];
        if (m_state.isBeingEvicted(*record.running)) {
            freed += record.running->charged;
            continue;
        }
        if (!record.batch() || record.queueClass == QueueClass::Urgent) {
            continue;
        }
        const bool protectedTask = isProtected(task);
        if (!protectedTask || includeProtected) {
            candidates.emplace_back(lostWork(task) + EvictionCostSeconds + (protectedTask ? ProtectedTaskPenalty : 0), task);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    Preemption preemption;
    preemption.worker = worker;
    for (const auto &[cost, task] : candidates) {
        if (amount.fitsIn(freed)) {
            break;
        }
        freed += m_state.tasks[task].running->charged;
        preemption.victims.push_back(task);
        preemption.cost += cost;
    }
    if (!amount.fitsIn(freed)) {
        return std::nullopt;
    }
    // A victim that was chosen early may be unnecessary if a later one is larger.
    for (std::size_t i = 0; i < preemption.victims.size();) {
        const std::uint32_t victim = preemption.victims[i];
        const Resources freedWithoutVictim = freed - m_state.tasks[victim].running->charged;
        if (!amount.fitsIn(freedWithoutVictim)) {
            ++i;
            continue;
        }
        freed = freedWithoutVictim;
        preemption.cost -= lostWork(victim) + EvictionCostSeconds + (isProtected(victim) ? ProtectedTaskPenalty : 0);
        preemption.victims.erase(preemption.victims.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return preemption;
}

double Preemptor::lostWork(std::uint32_t task) const
{
    const TaskRecord &record = m_state.tasks[task];
    const RunningTask &running = *record.running;
    return running.hasCheckpoint ? 0 : static_cast<double>(running.progress) * record.declaredRunTimeMs / 1000.0;
}

} // namespace Hyssop::Internal
