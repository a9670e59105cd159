#include "placementround.h"

#include <algorithm>
#include <utility>

namespace Hyssop::Internal {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t BackfillDepth = 32; // tasks of a team tried in one round
constexpr std::size_t UrgentDepth = 64;
constexpr std::size_t MaximumPreemptions = 64; // per round, limits its duration
constexpr std::size_t MaximumUnavailableAmounts = 16;
constexpr Duration UnplaceableGrace = 60s; // after a start or an outage most workers have not registered yet
constexpr Duration ReservationTimeout = 3s; // leaves time for a second preemption within the 6.5 s in which urgent tasks have to start
constexpr std::size_t DistinctFailuresForRejection = 3;
constexpr std::size_t ReservationSampleSize = 12;
constexpr std::size_t MaximumEvictedQueueKeys = 10000;
constexpr int HalfSpeedPercent = 50;
constexpr int FullSpeedPercent = 100;

std::string describe(const Resources &amount)
{
    return std::to_string(amount.milliCores) + " millicores, " + std::to_string(amount.memoryBytes) + " bytes of memory, " + std::to_string(amount.accelerators)
        + " accelerators and " + std::to_string(amount.slots) + " slots";
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

} // namespace

PlacementRound::PlacementRound(PlacementState &state, TimePoint now, std::size_t maximumPlacements)
    : m_state(state)
    , m_selector(state)
    , m_preemptor(state)
    , m_now(now)
    , m_remainingPlacements(maximumPlacements)
{
}

std::vector<PlacementDecision> PlacementRound::run()
{
    m_state.interference.decayTo(m_now);
    for (const std::uint32_t worker : m_state.health.endDueQuarantines(m_now)) {
        m_state.refreshIndex(worker);
    }
    serve(QueueClass::Urgent);
    preemptFor(std::exchange(m_unplacedTasks, {}));
    serve(QueueClass::Service);
    preemptFor(std::exchange(m_unplacedTasks, {}));
    serveHeadTask();
    serve(QueueClass::Batch);
    applyThrottleActions();
    return std::move(m_decisions);
}

void PlacementRound::serve(QueueClass queueClass)
{
    std::vector<char> served(m_state.queue.teamCount(), 0);
    while (m_remainingPlacements > 0) {
        const auto team = m_state.queue.nextTeam(queueClass, m_state.ledger.totalCapacity(), m_now, served);
        if (!team) {
            return;
        }
        if (!serveTeam(*team, queueClass)) {
            served[*team] = 1;
        }
    }
}

bool PlacementRound::serveTeam(std::uint32_t team, QueueClass queueClass)
{
    const auto &pending = m_state.queue.pending(team, queueClass);
    const std::size_t depth = queueClass == QueueClass::Batch ? BackfillDepth : UrgentDepth;
    std::size_t tried = 0;
    for (auto entry = pending.begin(); entry != pending.end() && tried < depth; ++tried) {
        const std::uint32_t task = entry->task;
        const std::uint32_t customer = m_state.tasks[task].customer;
        if (queueClass == QueueClass::Batch && std::find(m_customersOverShare.begin(), m_customersOverShare.end(), customer) != m_customersOverShare.end()) {
            return false; // smaller tasks must not use up the share that an earlier task waits for
        }
        ++entry; // tryPlace() may remove the current entry
        switch (tryPlace(task)) {
        case PlacementOutcome::Placed:
        case PlacementOutcome::Rejected:
            return true;
        case PlacementOutcome::OverBatchShare:
        case PlacementOutcome::OverQuota:
            return false; // later tasks of the team must not use up the quota that an earlier task waits for
        case PlacementOutcome::NoCapacity:
            if (queueClass != QueueClass::Batch) {
                m_unplacedTasks.push_back(task);
            } else if (m_state.headTask == NoId && tried == 0) {
                reserveWorkerFor(task);
            }
            break;
        case PlacementOutcome::Unsuitable:
            if (queueClass != QueueClass::Batch) {
                m_unplacedTasks.push_back(task);
            }
            break;
        case PlacementOutcome::Unplaceable:
            break;
        }
        if (!m_state.options.backfill && queueClass == QueueClass::Batch) {
            return false;
        }
    }
    return false;
}

PlacementRound::PlacementOutcome PlacementRound::tryPlace(std::uint32_t task)
{
    const TaskRecord &record = m_state.tasks[task];
    const std::size_t failureLimit = std::min(DistinctFailuresForRejection, m_state.workerIds.size());
    if (failureLimit > 0 && m_state.health.distinctFailures(record.jobId) >= failureLimit) {
        rejectFailedJob(task);
        return PlacementOutcome::Rejected;
    }
    if (m_state.queue.exceedsQuota(record.team, record.declared)) {
        return deferOrReject(task, "needs " + describe(record.declared) + ", more than the quota of its team");
    }
    if (!m_state.capacityIndex.find(record.declared, 0)) {
        return deferOrReject(task, "needs " + describe(record.declared) + ", more than any worker has");
    }
    m_state.unplaceableSince.erase(task);
    const Resources amount = m_state.sizeOf(record);
    if (!m_state.queue.withinQuota(record.team, record.declared)) {
        return PlacementOutcome::OverQuota;
    }
    if (record.queueClass == QueueClass::Batch && overBatchShare(record, amount)) {
        return PlacementOutcome::OverBatchShare;
    }
    const auto held = m_state.reservations.find(task);
    if (held != m_state.reservations.end()) {
        const Reservation reservation = held->second;
        if (m_state.schedulable(reservation.worker) && amount.fitsIn(m_state.available(reservation.worker) + reservation.amount)
            && m_selector.permitted(record, reservation.worker) && place(task, reservation.worker, amount)) {
            return PlacementOutcome::Placed;
        }
    }
    if (isKnownUnavailable(amount)) {
        return PlacementOutcome::NoCapacity;
    }
    const Selection selection = m_selector.select(task, amount, m_now);
    if (selection.outcome == SelectionOutcome::Found && place(task, selection.worker, amount)) {
        return PlacementOutcome::Placed;
    }
    if (selection.outcome == SelectionOutcome::NoCapacity) {
        if (m_unavailableAmounts.size() < MaximumUnavailableAmounts) {
            m_unavailableAmounts.push_back(amount);
        }
        return PlacementOutcome::NoCapacity;
    }
    return PlacementOutcome::Unsuitable;
}

bool PlacementRound::overBatchShare(const TaskRecord &task, const Resources &amount)
{
    const CustomerInfo &customer = m_state.customerInfo[task.customer];
    if (customer.batchShare >= 1) {
        return false;
    }
    const Resources used = customer.batchInUse + amount;
    const Resources &total = m_state.ledger.totalCapacity();
    const bool over = static_cast<double>(used.milliCores) > customer.batchShare * static_cast<double>(total.milliCores)
        || static_cast<double>(used.memoryBytes) > customer.batchShare * static_cast<double>(total.memoryBytes);
    if (over) {
        m_customersOverShare.push_back(task.customer);
    }
    return over;
}

PlacementRound::PlacementOutcome PlacementRound::deferOrReject(std::uint32_t task, const std::string &reason)
{
    const auto since = m_state.unplaceableSince.emplace(task, m_now).first->second;
    if (m_now - since < UnplaceableGrace) {
        return PlacementOutcome::Unplaceable;
    }
    m_decisions.emplace_back(RejectJob{m_state.tasks[task].jobId, reason});
    m_state.removePending(task);
    return PlacementOutcome::Rejected;
}

bool PlacementRound::place(std::uint32_t task, std::uint32_t worker, const Resources &amount)
{
    if (!m_state.ledger.tryCommit(worker, amount)) {
        return false;
    }
    const TaskRecord &record = m_state.tasks[task];
    m_state.dequeue(task);
    if (m_state.health.awaitsProbe(worker)) {
        m_state.health.startProbe(worker, record.jobId);
    }
    m_state.startRunning(task, worker, amount, m_now);
    if (record.batch()) {
        m_state.budget.countStart(record.customer);
    }
    m_decisions.emplace_back(PlaceTask{record.jobId, m_state.workers[worker].name});
    --m_remainingPlacements;
    return true;
}

bool PlacementRound::isKnownUnavailable(const Resources &amount) const
{
    return std::any_of(m_unavailableAmounts.begin(), m_unavailableAmounts.end(), [&](const Resources &other) { return other.fitsIn(amount); });
}

void PlacementRound::serveHeadTask()
{
    const std::uint32_t head = m_state.headTask;
    if (head == NoId || m_remainingPlacements == 0) {
        return;
    }
    if (m_state.queue.pending(m_state.tasks[head].team, QueueClass::Batch).begin()->task != head) {
        m_state.cancelReservation(head); // a task of higher priority is now the first of the team
        return;
    }
    switch (tryPlace(head)) {
    case PlacementOutcome::Placed:
    case PlacementOutcome::Rejected:
        return;
    case PlacementOutcome::OverBatchShare:
    case PlacementOutcome::OverQuota:
    case PlacementOutcome::Unplaceable:
        m_state.cancelReservation(head);
        return;
    case PlacementOutcome::NoCapacity:
    case PlacementOutcome::Unsuitable:
        break;
    }
    const std::uint32_t worker = m_state.reservations.at(head).worker;
    if (!m_state.schedulable(worker) || m_state.health.state(worker) != WorkerHealth::State::Healthy) {
        reserveWorkerFor(head);
    }
}

void PlacementRound::reserveWorkerFor(std::uint32_t task)
{
    if (!m_state.options.headReservation) {
        return;
    }
    const TaskRecord &record = m_state.tasks[task];
    const Resources amount = m_state.sizeOf(record);
    const auto workerCount = static_cast<std::uint32_t>(m_state.workers.size());
    std::uint32_t best = NoId;
    Duration bestWait = Duration::max();
    for (std::size_t i = 0; i < ReservationSampleSize; ++i) {
        const auto worker = m_state.capacityIndex.find(amount, m_state.randomBelow(workerCount));
        if (!worker || !m_state.schedulable(*worker) || m_state.health.state(*worker) != WorkerHealth::State::Healthy || !m_selector.permitted(record, *worker)
            || m_state.workers[*worker].reserved != Resources()) {
            continue;
        }
        std::vector<std::pair<Duration, std::uint32_t>> ends;
        for (const std::uint32_t other : m_state.workers[*worker].tasks) {
            const TaskRecord &running = m_state.tasks[other];
            if (running.batch()) {
                const Duration expected = m_state.sizes.expectedRunTime(running.kind, std::chrono::milliseconds(running.declaredRunTimeMs));
                ends.emplace_back(std::max(Duration::zero(), running.running->startedAt + expected - m_now), other);
            }
        }
        std::sort(ends.begin(), ends.end());
        Resources freed = m_state.available(*worker);
        Duration wait = Duration::zero();
        for (const auto &[end, other] : ends) {
            if (amount.fitsIn(freed)) {
                break;
            }
            freed += m_state.tasks[other].running->charged;
            wait = end;
        }
        if (amount.fitsIn(freed) && wait < bestWait) {
            best = *worker;
            bestWait = wait;
        }
    }
    if (best == NoId) {
        m_state.cancelReservation(task);
        return;
    }
    m_state.reserve(task, best, amount, m_now);
    m_state.headTask = task;
}

void PlacementRound::preemptFor(const std::vector<std::uint32_t> &unplacedTasks)
{
    if (!m_state.options.preemption) {
        return;
    }
    for (const std::uint32_t task : unplacedTasks) {
        const auto held = m_state.reservations.find(task);
        if (held != m_state.reservations.end() && m_now - held->second.madeAt < ReservationTimeout && m_state.schedulable(held->second.worker)) {
            continue;
        }
        if (++m_preemptionCount > MaximumPreemptions) {
            return;
        }
        const TaskRecord &record = m_state.tasks[task];
        const Resources amount = m_state.sizeOf(record);
        const auto preemption = m_preemptor.choose(task, amount);
        if (!preemption) {
            continue;
        }
        m_state.reserve(task, preemption->worker, amount, m_now);
        const std::string reason = "preempted for " + std::string(record.batch() ? "urgent job " : "service task ") + record.jobId;
        for (const std::uint32_t victim : preemption->victims) {
            evict(victim, reason);
        }
    }
}

void PlacementRound::evict(std::uint32_t task, std::string reason)
{
    TaskRecord &record = m_state.tasks[task];
    record.running->evictedAt = m_now;
    m_state.budget.countEviction(record.customer);
    if (m_state.evictedQueueKeys.size() >= MaximumEvictedQueueKeys) {
        m_state.evictedQueueKeys.clear(); // most of them belong to jobs that ended after the eviction
    }
    m_state.evictedQueueKeys[record.jobId] = record.queueKey;
    m_decisions.emplace_back(EvictTask{record.jobId, std::move(reason)});
}

void PlacementRound::rejectFailedJob(std::uint32_t task)
{
    const std::string jobId = m_state.tasks[task].jobId;
    const std::string reason = "failed on workers " + joinNames(*m_state.health.failedWorkers(jobId));
    m_decisions.emplace_back(RejectJob{jobId, reason});
    m_state.health.forgetJob(jobId);
    m_state.removePending(task);
}

void PlacementRound::applyThrottleActions()
{
    const auto actions = std::exchange(m_state.dueActions, {});
    for (const auto &[worker, action] : actions) {
        if (action == EvictionPolicy::Action::Throttle) {
            throttleBatch(worker);
        } else if (action == EvictionPolicy::Action::Unthrottle) {
            unthrottleBatch(worker);
        } else if (action == EvictionPolicy::Action::Evict) {
            const std::uint32_t victim = m_preemptor.mostInterfering(worker);
            if (victim != NoId && m_state.options.eviction && m_state.budget.allows(m_state.tasks[victim].customer)) {
                evict(victim, "a service on the worker exceeds its latency objective");
            }
        }
    }
}

void PlacementRound::throttleBatch(std::uint32_t worker)
{
    if (!m_state.options.throttling) {
        return;
    }
    std::vector<std::pair<std::uint32_t, double>> interferences;
    double total = 0;
    for (const std::uint32_t task : m_state.workers[worker].tasks) {
        const TaskRecord &record = m_state.tasks[task];
        if (record.batch() && record.queueClass != QueueClass::Urgent && record.running->speedPercent > MinimumSpeedPercent) {
            interferences.emplace_back(task, m_preemptor.interferenceOf(task));
            total += interferences.back().second;
        }
    }
    // Throttles the tasks whose interference is at least average; the factor allows for rounding if all are equal. If that is
    // not enough, the policy throttles again.
    for (const auto &[task, interference] : interferences) {
        if (interference * static_cast<double>(interferences.size()) >= total * 0.999) {
            setSpeed(task, m_state.tasks[task].running->speedPercent > HalfSpeedPercent ? HalfSpeedPercent : MinimumSpeedPercent);
        }
    }
}

void PlacementRound::unthrottleBatch(std::uint32_t worker)
{
    const auto &kinds = m_state.workers[worker].kinds;
    const bool hasService = std::any_of(kinds.begin(), kinds.end(), [](const KindOnWorker &entry) { return entry.service != NoId; });
    for (const std::uint32_t task : m_state.workers[worker].tasks) {
        const RunningTask &running = *m_state.tasks[task].running;
        if (running.speedPercent < FullSpeedPercent) {
            setSpeed(task, hasService && running.speedPercent < HalfSpeedPercent ? HalfSpeedPercent : FullSpeedPercent);
        }
    }
}

void PlacementRound::setSpeed(std::uint32_t task, int speedPercent)
{
    RunningTask &running = *m_state.tasks[task].running;
    int &throttled = m_state.workers[running.worker].throttledTasks;
    throttled += (speedPercent < FullSpeedPercent ? 1 : 0) - (running.speedPercent < FullSpeedPercent ? 1 : 0);
    running.speedPercent = static_cast<std::uint8_t>(speedPercent);
    m_decisions.emplace_back(ThrottleTask{m_state.tasks[task].jobId, speedPercent});
}

} // namespace Hyssop::Internal
