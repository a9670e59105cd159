#include "placementengine.h"

#include "placementround.h"
#include "placementstate.h"

#include <algorithm>

namespace Hyssop {

namespace {

using namespace Internal;

constexpr int MaximumPriority = 9;
constexpr float LatencyRatioSmoothing = 0.4F; // weight of the newest measurement

TaskRecord recordOf(PlacementState &state, const PendingTask &task, TimePoint now)
{
    TaskRecord record;
    record.jobId = task.jobId;
    record.declared = task.declared;
    record.team = state.teamId(task.customer, task.service.empty() ? task.team : std::string());
    record.customer = state.customerId(task.customer);
    record.kind = state.kinds.idOf(task.customer + '/' + (task.taskName.empty() ? task.service : task.taskName));
    record.service = task.service.empty() ? NoId : state.serviceId(task.customer, task.service);
    record.declaredRunTimeMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(task.declaredRunTime.count(), 0, UINT32_MAX));
    record.urgentRequested = task.urgent;
    record.queueClass = record.batch() ? QueueClass::Batch : QueueClass::Service;
    if (record.batch() && task.urgent && state.teamInfo[record.team].urgentAllowed) {
        record.queueClass = QueueClass::Urgent;
    }
    record.queueKey = FairQueue::queueKey(now, std::clamp(task.priority, 0, MaximumPriority));
    return record;
}

/// Moves the pending tasks of a team to the right class after its permission for urgent tasks changed.
void reclassify(PlacementState &state, std::uint32_t team)
{
    std::vector<std::uint32_t> tasks;
    for (const QueueClass queueClass : {QueueClass::Urgent, QueueClass::Batch}) {
        for (const QueueEntry &entry : state.queue.pending(team, queueClass)) {
            tasks.push_back(entry.task);
        }
    }
    for (const std::uint32_t task : tasks) {
        state.dequeue(task);
        TaskRecord &record = state.tasks[task];
        record.queueClass = record.urgentRequested && state.teamInfo[team].urgentAllowed ? QueueClass::Urgent : QueueClass::Batch;
        state.enqueue(task);
    }
}

void setUrgentAllowed(PlacementState &state, std::uint32_t team, bool allowed)
{
    if (state.teamInfo[team].urgentAllowed != allowed) {
        state.teamInfo[team].urgentAllowed = allowed;
        reclassify(state, team);
    }
}

void setTeam(PlacementState &state, std::uint32_t id, const TeamContract &team)
{
    state.queue.setTeam(id, team.share, team.quota);
    setUrgentAllowed(state, id, team.urgent);
}

/// Returns the loads by kind of the tasks that were colocated with the service at the time of the measurement.
KindLoads colocatedLoadsAt(const PlacementState &state, const RunningTask &service, TimePoint measuredAt)
{
    const WorkerRecord &host = state.workers[service.worker];
    const double scale = state.load(service.worker);
    KindLoads loads;
    const auto add = [&](std::uint32_t kind) {
        const auto found = std::find_if(loads.begin(), loads.end(), [kind](const auto &entry) { return entry.first == kind; });
        if (found == loads.end()) {
            loads.emplace_back(kind, scale);
        } else {
            found->second += scale;
        }
    };
    for (const std::uint32_t task : host.tasks) {
        const TaskRecord &record = state.tasks[task];
        if (record.running.get() != &service && record.running->startedAt <= measuredAt) {
            add(record.kind);
        }
    }
    for (const EndedTask &ended : host.endedTasks) {
        if (ended.startedAt <= measuredAt && measuredAt < ended.endedAt) {
            add(ended.kind);
        }
    }
    return loads;
}

void reportServiceLatency(PlacementState &state, std::uint32_t task, double latencyUs, TimePoint measuredAt, TimePoint now)
{
    const TaskRecord &record = state.tasks[task];
    const std::uint32_t worker = record.running->worker;
    if (state.options.interference) {
        state.interference.observe(record.kind, latencyUs, colocatedLoadsAt(state, *record.running, measuredAt));
    }
    const ServiceInfo &service = state.serviceInfo[record.service];
    if (service.objectiveUs <= 0) {
        return;
    }
    KindOnWorker &entry = *state.findKind(worker, record);
    const auto ratio = static_cast<float>(latencyUs / service.objectiveUs);
    entry.latencyRatio = entry.latencyRatio == 0 ? ratio : entry.latencyRatio + LatencyRatioSmoothing * (ratio - entry.latencyRatio);
    if (measuredAt >= state.workers[worker].lastPlacementAt) {
        entry.unmeasuredEffect = 0;
    }

    float latencyRatio = 0;
    Favor favor = Favor::Throughput;
    for (const KindOnWorker &other : state.workers[worker].kinds) {
        if (other.service != NoId && other.latencyRatio >= latencyRatio) {
            latencyRatio = other.latencyRatio;
            favor = state.customerInfo[state.serviceInfo[other.service].customer].favor;
        }
    }
    bool atMinimumSpeed = true;
    for (const std::uint32_t other : state.workers[worker].tasks) {
        const TaskRecord &colocated = state.tasks[other];
        atMinimumSpeed =
            atMinimumSpeed && (!colocated.batch() || colocated.queueClass == QueueClass::Urgent || colocated.running->speedPercent <= MinimumSpeedPercent);
    }
    const bool atFullSpeed = state.workers[worker].throttledTasks == 0;
    const auto action = state.eviction.observe(worker, latencyRatio, favor, atMinimumSpeed, atFullSpeed, measuredAt, now);
    if (action != EvictionPolicy::Action::None) {
        state.dueActions[worker] = action;
    }
}

} // namespace

PlacementEngine::PlacementEngine()
    : PlacementEngine(PlacementOptions())
{
}

PlacementEngine::PlacementEngine(const PlacementOptions &options)
    : m_state(std::make_unique<PlacementState>(options))
{
}

PlacementEngine::~PlacementEngine() = default;

void PlacementEngine::setContracts(const std::vector<Contract> &contracts)
{
    std::vector<char> inContracts(m_state->teamInfo.size(), 0);
    for (const Contract &contract : contracts) {
        const std::uint32_t customer = m_state->customerId(contract.customer);
        CustomerInfo &info = m_state->customerInfo[customer];
        info.favor = contract.favor;
        info.batchShare = contract.batchShare;
        m_state->budget.setShare(customer, contract.evictionBudget);
        for (const ServiceContract &service : contract.services) {
            const std::uint32_t id = m_state->serviceId(contract.customer, service.name);
            m_state->serviceInfo[id].objectiveUs = static_cast<double>(service.latencyObjective.count());
        }
        for (const TeamContract &team : contract.teams) {
            const std::uint32_t id = m_state->teamId(contract.customer, team.name);
            inContracts.resize(m_state->teamInfo.size(), 0);
            inContracts[id] = 1;
            setTeam(*m_state, id, team);
        }
    }
    for (std::uint32_t team = 0; team < inContracts.size(); ++team) {
        if (!inContracts[team]) {
            setUrgentAllowed(*m_state, team, false);
        }
    }
}

void PlacementEngine::updateWorker(const WorkerOffer &offer, TimePoint /*now*/)
{
    const std::uint32_t worker = m_state->workerId(offer.worker);
    WorkerRecord &record = m_state->workers[worker];
    const std::uint32_t rack = m_state->racks.idOf(offer.rack);
    if (record.rack != rack) {
        for (const std::uint32_t task : record.tasks) {
            const TaskRecord &running = m_state->tasks[task];
            if (!running.batch()) {
                --m_state->replicasInRack(running.service, record.rack);
                ++m_state->replicasInRack(running.service, rack);
            }
        }
        record.rack = rack;
    }
    record.registered = true;
    record.accepting = offer.accepting;
    m_state->ledger.setCapacity(worker, offer.capacity);
    m_state->capacityIndex.set(worker, offer.capacity);
    m_state->refreshIndex(worker);
}

void PlacementEngine::removeWorker(const std::string &worker)
{
    const auto found = m_state->workerIds.find(worker);
    if (found == m_state->workerIds.end()) {
        return;
    }
    const std::uint32_t id = found->second;
    std::vector<std::uint32_t> reservingTasks;
    for (const auto &[task, reservation] : m_state->reservations) {
        if (reservation.worker == id) {
            reservingTasks.push_back(task);
        }
    }
    for (const std::uint32_t task : reservingTasks) {
        m_state->cancelReservation(task);
    }
    m_state->workers[id].registered = false;
    m_state->workers[id].accepting = false;
    m_state->ledger.setCapacity(id, Resources());
    m_state->capacityIndex.setUnavailable(id);
    m_state->freeIndex.setUnavailable(id);
    m_state->removeIfUnused(id);
}

void PlacementEngine::addPending(const PendingTask &task, TimePoint now)
{
    const std::uint32_t existing = m_state->tasks.find(task.jobId);
    if (existing != NoId) {
        return;
    }
    TaskRecord record = recordOf(*m_state, task, now);
    const auto evicted = m_state->evictedQueueKeys.find(task.jobId);
    if (evicted != m_state->evictedQueueKeys.end()) {
        record.queueKey = evicted->second;
        m_state->evictedQueueKeys.erase(evicted);
    }
    m_state->health.addFailedWorkers(task.jobId, task.avoidedWorkers);
    m_state->enqueue(m_state->tasks.add(std::move(record)));
}

void PlacementEngine::removePending(const std::string &jobId)
{
    m_state->evictedQueueKeys.erase(jobId);
    m_state->health.forgetJob(jobId);
    const std::uint32_t task = m_state->tasks.find(jobId);
    if (task != NoId && !m_state->tasks[task].running) {
        m_state->removePending(task);
    }
}

void PlacementEngine::adoptRunning(const PendingTask &task, const std::string &worker, TimePoint now)
{
    const std::uint32_t existing = m_state->tasks.find(task.jobId);
    if (existing != NoId && m_state->tasks[existing].running) {
        if (m_state->workers[m_state->tasks[existing].running->worker].name == worker) {
            return;
        }
        m_state->endRunning(existing, now);
    } else if (existing != NoId) {
        m_state->removePending(existing);
    }
    const std::uint32_t id = m_state->workerId(worker);
    const std::uint32_t taskNumber = m_state->tasks.add(recordOf(*m_state, task, now));
    m_state->ledger.forceCommit(id, task.declared);
    m_state->startRunning(taskNumber, id, task.declared, now);
    m_state->tasks[taskNumber].running->adopted = true;
}

void PlacementEngine::release(const std::string &jobId)
{
    const std::uint32_t task = m_state->tasks.find(jobId);
    if (task == NoId || !m_state->tasks[task].running) {
        return;
    }
    m_state->endRunning(task, m_state->lastTime);
}

void PlacementEngine::reportUsage(const UsageSample &sample, TimePoint now)
{
    m_state->lastTime = std::max(m_state->lastTime, now);
    const std::uint32_t task = m_state->tasks.find(sample.jobId);
    if (task == NoId || !m_state->tasks[task].running) {
        return;
    }
    const TaskRecord &record = m_state->tasks[task];
    RunningTask &running = *record.running;
    const TimePoint measuredAt = now - sample.age;
    if (measuredAt < running.startedAt) {
        return; // measured during an earlier attempt of the job
    }
    running.progress = static_cast<float>(sample.progress);
    running.hasCheckpoint = sample.hasCheckpoint;
    m_state->applyUsage(task, sample.usage);
    if (running.speedPercent == 100) {
        m_state->sizes.observeUsage(record.kind, record.declared, sample.usage);
    }
    if (!record.batch() && sample.serviceLatencyP99Us > 0) {
        reportServiceLatency(*m_state, task, sample.serviceLatencyP99Us, measuredAt, now);
    }
}

void PlacementEngine::reportFailure(const std::string &jobId, const std::string &worker, TimePoint now)
{
    m_state->lastTime = std::max(m_state->lastTime, now);
    const auto found = m_state->workerIds.find(worker);
    if (found == m_state->workerIds.end()) {
        m_state->health.addFailedWorkers(jobId, {worker});
        return;
    }
    m_state->health.reportFailure(jobId, found->second, worker, m_state->workerIds.size(), now);
    m_state->refreshIndex(found->second);
}

void PlacementEngine::reportSuccess(const std::string &jobId, const std::string &worker, TimePoint now)
{
    m_state->lastTime = std::max(m_state->lastTime, now);
    const std::uint32_t task = m_state->tasks.find(jobId);
    if (task != NoId && m_state->tasks[task].running && !m_state->tasks[task].running->adopted) {
        const TaskRecord &record = m_state->tasks[task];
        m_state->sizes.observeRunTime(record.kind,
                                      std::chrono::milliseconds(record.declaredRunTimeMs),
                                      std::chrono::duration_cast<std::chrono::milliseconds>(now - record.running->startedAt));
    }
    const auto found = m_state->workerIds.find(worker);
    if (found != m_state->workerIds.end()) {
        m_state->health.reportSuccess(jobId, found->second);
        m_state->refreshIndex(found->second);
    } else {
        m_state->health.forgetJob(jobId);
    }
}

std::vector<PlacementDecision> PlacementEngine::decide(TimePoint now, std::size_t maximumPlacements)
{
    m_state->lastTime = std::max(m_state->lastTime, now);
    return PlacementRound(*m_state, now, maximumPlacements).run();
}

std::size_t PlacementEngine::pendingCount() const
{
    return m_state->queue.size();
}

std::size_t PlacementEngine::runningCount() const
{
    return m_state->runningCount;
}

Resources PlacementEngine::committed(const std::string &worker) const
{
    const auto found = m_state->workerIds.find(worker);
    return found == m_state->workerIds.end() ? Resources() : m_state->ledger.committed(found->second);
}

} // namespace Hyssop
