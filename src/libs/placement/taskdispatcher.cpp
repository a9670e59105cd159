#include "taskdispatcher.h"

#include <algorithm>
#include <utility>

namespace Hyssop::Internal {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t BackfillDepth = 32; // tasks of a team that are tried in one round
constexpr std::size_t UrgentDepth = 64;
constexpr std::size_t MostPreemptions = 64; // in one round; bounds its cost
constexpr std::size_t NotFittingKept = 16;
constexpr Duration UnplaceableGrace = 60s; // after a start or an outage most workers are not known yet
constexpr Duration ReservationPatience = 3s; // leaves time for a second preemption within 6.5 s
constexpr std::size_t DistinctFailures = 3;
constexpr std::size_t HeadSample = 12;
constexpr std::size_t MaximumEvictedKeys = 10000;
constexpr int LowestLevel = 25;
constexpr int MiddleLevel = 50;
constexpr int FullLevel = 100;

std::string describe(const Resources &amount)
{
    return std::to_string(amount.milliCores) + " millicores, " + std::to_string(amount.memoryBytes) + " bytes of memory, " + std::to_string(amount.accelerators)
        + " accelerators and " + std::to_string(amount.slots) + " slots";
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

} // namespace

TaskDispatcher::TaskDispatcher(PlacementState &state, TimePoint now, std::size_t maximumPlacements)
    : m_state(state)
    , m_selector(state)
    , m_preemptor(state)
    , m_now(now)
    , m_remaining(maximumPlacements)
{
}

std::vector<PlacementDecision> TaskDispatcher::run()
{
    m_state.interference.decayTo(m_now);
    for (const std::uint32_t worker : m_state.health.startProbes(m_now)) {
        m_state.refreshIndex(worker);
    }
    serve(QueueClass::Urgent);
    preemptFor(std::exchange(m_waiting, {}));
    serve(QueueClass::Service);
    preemptFor(std::exchange(m_waiting, {}));
    serveHead();
    serve(QueueClass::Batch);
    relieveWorkers();
    return std::move(m_decisions);
}

void TaskDispatcher::serve(QueueClass queueClass)
{
    std::vector<char> served(m_state.queue.teamCount(), 0);
    while (m_remaining > 0) {
        const auto team = m_state.queue.nextTeam(queueClass, m_state.ledger.totalCapacity(), m_now, served);
        if (!team) {
            return;
        }
        if (!serveTeam(*team, queueClass)) {
            served[*team] = 1;
        }
    }
}

bool TaskDispatcher::serveTeam(std::uint32_t team, QueueClass queueClass)
{
    const auto &waiting = m_state.queue.waiting(team, queueClass);
    const std::size_t depth = queueClass == QueueClass::Batch ? BackfillDepth : UrgentDepth;
    std::size_t tried = 0;
    for (auto entry = waiting.begin(); entry != waiting.end() && tried < depth; ++tried) {
        const std::uint32_t task = entry->task;
        const std::uint32_t customer = m_state.tasks[task].customer;
        if (queueClass == QueueClass::Batch && std::find(m_shareReached.begin(), m_shareReached.end(), customer) != m_shareReached.end()) {
            return false; // smaller tasks must not take the share that an earlier one waits for
        }
        ++entry; // the attempt may remove the current entry
        switch (attempt(task)) {
        case Attempt::Placed:
        case Attempt::Rejected:
            return true;
        case Attempt::OverShare:
        case Attempt::OverQuota:
            return false; // later tasks of the team must not take the quota that the first one waits for
        case Attempt::NoRoom:
            if (queueClass != QueueClass::Batch) {
                m_waiting.push_back(task);
            } else if (m_state.headTask == None && tried == 0) {
                holdWorkerFor(task);
            }
            break;
        case Attempt::Unsuitable:
            if (queueClass != QueueClass::Batch) {
                m_waiting.push_back(task);
            }
            break;
        case Attempt::Unplaceable:
            break;
        }
        if (!m_state.options.backfill && queueClass == QueueClass::Batch) {
            return false;
        }
    }
    return false;
}

TaskDispatcher::Attempt TaskDispatcher::attempt(std::uint32_t task)
{
    const TaskRecord &record = m_state.tasks[task];
    const std::size_t enough = std::min(DistinctFailures, m_state.workerIds.size());
    if (enough > 0 && m_state.health.distinctFailures(record.jobId) >= enough) {
        rejectFailedJob(task);
        return Attempt::Rejected;
    }
    if (m_state.queue.exceedsQuota(record.team, record.declared)) {
        return waitUnplaceable(task, "needs " + describe(record.declared) + ", more than the quota of its team");
    }
    if (!m_state.capacityIndex.find(record.declared, 0)) {
        return waitUnplaceable(task, "needs " + describe(record.declared) + ", more than any worker has");
    }
    m_state.unplaceableSince.erase(task);
    const Resources amount = m_state.sizeOf(record);
    if (!m_state.queue.withinQuota(record.team, record.declared)) {
        return Attempt::OverQuota;
    }
    if (record.queueClass == QueueClass::Batch && overBatchShare(record, amount)) {
        return Attempt::OverShare;
    }
    const auto held = m_state.reservations.find(task);
    if (held != m_state.reservations.end()) {
        const Reservation reservation = held->second;
        if (m_state.usable(reservation.worker) && amount.fitsIn(m_state.available(reservation.worker) + reservation.amount)
            && m_selector.permitted(record, reservation.worker) && place(task, reservation.worker, amount)) {
            return Attempt::Placed;
        }
    }
    if (knownNotToFit(amount)) {
        return Attempt::NoRoom;
    }
    const Selection selection = m_selector.select(task, amount, m_now);
    if (selection.outcome == SelectionOutcome::Found && place(task, selection.worker, amount)) {
        return Attempt::Placed;
    }
    if (selection.outcome == SelectionOutcome::NoRoom) {
        if (m_notFitting.size() < NotFittingKept) {
            m_notFitting.push_back(amount);
        }
        return Attempt::NoRoom;
    }
    return Attempt::Unsuitable;
}

bool TaskDispatcher::overBatchShare(const TaskRecord &task, const Resources &amount)
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
        m_shareReached.push_back(task.customer);
    }
    return over;
}

TaskDispatcher::Attempt TaskDispatcher::waitUnplaceable(std::uint32_t task, const std::string &reason)
{
    const auto since = m_state.unplaceableSince.emplace(task, m_now).first->second;
    if (m_now - since < UnplaceableGrace) {
        return Attempt::Unplaceable;
    }
    m_decisions.emplace_back(RejectJob{m_state.tasks[task].jobId, reason});
    m_state.removeWaiting(task);
    return Attempt::Rejected;
}

bool TaskDispatcher::place(std::uint32_t task, std::uint32_t worker, const Resources &amount)
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
    --m_remaining;
    return true;
}

bool TaskDispatcher::knownNotToFit(const Resources &amount) const
{
    return std::any_of(m_notFitting.begin(), m_notFitting.end(), [&](const Resources &other) { return other.fitsIn(amount); });
}

void TaskDispatcher::serveHead()
{
    const std::uint32_t head = m_state.headTask;
    if (head == None || m_remaining == 0) {
        return;
    }
    if (m_state.queue.waiting(m_state.tasks[head].team, QueueClass::Batch).begin()->task != head) {
        m_state.cancelReservation(head); // a task of higher priority came to the front of the team
        return;
    }
    switch (attempt(head)) {
    case Attempt::Placed:
    case Attempt::Rejected:
        return;
    case Attempt::OverShare:
    case Attempt::OverQuota:
    case Attempt::Unplaceable:
        m_state.cancelReservation(head);
        return;
    case Attempt::NoRoom:
    case Attempt::Unsuitable:
        break;
    }
    const std::uint32_t worker = m_state.reservations.at(head).worker;
    if (!m_state.usable(worker) || m_state.health.state(worker) != WorkerHealth::State::Healthy) {
        holdWorkerFor(head);
    }
}

void TaskDispatcher::holdWorkerFor(std::uint32_t task)
{
    if (!m_state.options.headReservation) {
        return;
    }
    const TaskRecord &record = m_state.tasks[task];
    const Resources amount = m_state.sizeOf(record);
    const auto workerCount = static_cast<std::uint32_t>(m_state.workers.size());
    std::uint32_t best = None;
    Duration bestWait = Duration::max();
    for (std::size_t i = 0; i < HeadSample; ++i) {
        const auto worker = m_state.capacityIndex.find(amount, m_state.randomBelow(workerCount));
        if (!worker || !m_state.usable(*worker) || m_state.health.state(*worker) != WorkerHealth::State::Healthy || !m_selector.permitted(record, *worker)
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
    if (best == None) {
        m_state.cancelReservation(task);
        return;
    }
    m_state.reserve(task, best, amount, m_now);
    m_state.headTask = task;
}

void TaskDispatcher::preemptFor(const std::vector<std::uint32_t> &waiting)
{
    if (!m_state.options.preemption) {
        return;
    }
    for (const std::uint32_t task : waiting) {
        const auto held = m_state.reservations.find(task);
        if (held != m_state.reservations.end() && m_now - held->second.madeAt < ReservationPatience && m_state.usable(held->second.worker)) {
            continue;
        }
        if (++m_preemptions > MostPreemptions) {
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

void TaskDispatcher::evict(std::uint32_t task, std::string reason)
{
    TaskRecord &record = m_state.tasks[task];
    record.running->evictedAt = m_now;
    m_state.budget.countEviction(record.customer);
    if (m_state.evictedKeys.size() >= MaximumEvictedKeys) {
        m_state.evictedKeys.clear(); // jobs that ended instead of coming back
    }
    m_state.evictedKeys[record.jobId] = record.key;
    m_decisions.emplace_back(EvictTask{record.jobId, std::move(reason)});
}

void TaskDispatcher::rejectFailedJob(std::uint32_t task)
{
    const std::string jobId = m_state.tasks[task].jobId;
    const std::string reason = "failed on workers " + joined(*m_state.health.failedWorkers(jobId));
    m_decisions.emplace_back(RejectJob{jobId, reason});
    m_state.health.forgetJob(jobId);
    m_state.removeWaiting(task);
}

void TaskDispatcher::relieveWorkers()
{
    const auto actions = std::exchange(m_state.dueActions, {});
    for (const auto &[worker, action] : actions) {
        if (action == EvictionPolicy::Action::Lower) {
            lowerBatch(worker);
        } else if (action == EvictionPolicy::Action::Raise) {
            raiseBatch(worker);
        } else if (action == EvictionPolicy::Action::Evict) {
            const std::uint32_t victim = m_preemptor.mostHarmful(worker);
            if (victim != None && m_state.options.eviction && m_state.budget.allows(m_state.tasks[victim].customer)) {
                evict(victim, "a service on the worker exceeds its latency objective");
            }
        }
    }
}

void TaskDispatcher::lowerBatch(std::uint32_t worker)
{
    if (!m_state.options.throttling) {
        return;
    }
    std::vector<std::pair<std::uint32_t, double>> harms;
    double total = 0;
    for (const std::uint32_t task : m_state.workers[worker].tasks) {
        const TaskRecord &record = m_state.tasks[task];
        if (record.batch() && record.queueClass != QueueClass::Urgent && record.running->level > LowestLevel) {
            harms.emplace_back(task, m_preemptor.harm(task));
            total += harms.back().second;
        }
    }
    // The tasks with at least average harm are slowed; one more step follows if that is not enough.
    for (const auto &[task, harm] : harms) {
        if (harm * static_cast<double>(harms.size()) >= total * 0.999) {
            setLevel(task, m_state.tasks[task].running->level > MiddleLevel ? MiddleLevel : LowestLevel);
        }
    }
}

void TaskDispatcher::raiseBatch(std::uint32_t worker)
{
    const auto &kinds = m_state.workers[worker].kinds;
    const bool service = std::any_of(kinds.begin(), kinds.end(), [](const KindOnWorker &entry) { return entry.service != None; });
    for (const std::uint32_t task : m_state.workers[worker].tasks) {
        const RunningTask &running = *m_state.tasks[task].running;
        if (running.level < FullLevel) {
            setLevel(task, service && running.level < MiddleLevel ? MiddleLevel : FullLevel);
        }
    }
}

void TaskDispatcher::setLevel(std::uint32_t task, int level)
{
    RunningTask &running = *m_state.tasks[task].running;
    int &throttled = m_state.workers[running.worker].throttledTasks;
    throttled += (level < FullLevel ? 1 : 0) - (running.level < FullLevel ? 1 : 0);
    running.level = static_cast<std::uint8_t>(level);
    m_decisions.emplace_back(ThrottleTask{m_state.tasks[task].jobId, level});
}

} // namespace Hyssop::Internal
