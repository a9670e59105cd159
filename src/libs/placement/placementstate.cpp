#include "placementstate.h"

#include <algorithm>

namespace Hyssop::Internal {

namespace {

constexpr std::size_t MaximumEndedTasks = 16;
constexpr std::chrono::seconds EvictionTimeout{30};

Resources componentMaximum(const Resources &left, const Resources &right)
{
    return Resources{std::max(left.milliCores, right.milliCores),
                     std::max(left.memoryBytes, right.memoryBytes),
                     std::max(left.accelerators, right.accelerators),
                     std::max(left.slots, right.slots)};
}

} // namespace

PlacementState::PlacementState(const PlacementOptions &placementOptions)
    : options(placementOptions)
    , random(placementOptions.seed)
{
    kinds.idOf(std::string()); // reserves id 0 for the kinds that exceed the limit
}

std::uint32_t PlacementState::customerId(const std::string &customer)
{
    const std::uint32_t id = customers.idOf(customer);
    if (id >= customerInfo.size()) {
        customerInfo.resize(id + 1);
    }
    return id;
}

std::uint32_t PlacementState::teamId(const std::string &customer, const std::string &team)
{
    const std::uint32_t id = teams.idOf(customer + '/' + team);
    if (id >= teamInfo.size()) {
        teamInfo.resize(id + 1);
        teamInfo[id].customer = customerId(customer);
        queue.setTeam(id, 1, Resources());
    }
    return id;
}

std::uint32_t PlacementState::serviceId(const std::string &customer, const std::string &service)
{
    const std::uint32_t id = services.idOf(customer + '/' + service);
    if (id >= serviceInfo.size()) {
        serviceInfo.resize(id + 1);
        serviceInfo[id].customer = customerId(customer);
    }
    return id;
}

std::uint32_t PlacementState::workerId(const std::string &name)
{
    const auto found = workerIds.find(name);
    if (found != workerIds.end()) {
        return found->second;
    }
    std::uint32_t id = 0;
    if (freeWorkerIds.empty()) {
        id = static_cast<std::uint32_t>(workers.size());
        workers.emplace_back();
    } else {
        id = freeWorkerIds.back();
        freeWorkerIds.pop_back();
    }
    workers[id].name = name;
    workerIds.emplace(name, id);
    ledger.setCapacity(id, Resources());
    freeIndex.setUnavailable(id);
    capacityIndex.setUnavailable(id);
    return id;
}

void PlacementState::removeIfUnused(std::uint32_t worker)
{
    if (workers[worker].registered || !workers[worker].tasks.empty()) {
        return;
    }
    workerIds.erase(workers[worker].name);
    workers[worker] = WorkerRecord();
    health.forgetWorker(worker);
    eviction.forgetWorker(worker);
    dueActions.erase(worker);
    freeWorkerIds.push_back(worker);
}

bool PlacementState::schedulable(std::uint32_t worker) const
{
    const WorkerRecord &record = workers[worker];
    if (!record.registered || !record.accepting) {
        return false;
    }
    return !options.quarantine || health.state(worker) == WorkerHealth::State::Healthy || health.awaitsProbe(worker);
}

Resources PlacementState::available(std::uint32_t worker) const
{
    return ledger.capacity(worker) - componentMaximum(workers[worker].charged, ledger.committed(worker)) - workers[worker].reserved;
}

double PlacementState::load(std::uint32_t worker, std::int64_t addedMilliCores) const
{
    const std::int64_t capacity = ledger.capacity(worker).milliCores;
    return capacity > 0 ? static_cast<double>(workers[worker].loadMilliCores + addedMilliCores) / static_cast<double>(capacity) : 1;
}

void PlacementState::refreshIndex(std::uint32_t worker)
{
    if (schedulable(worker)) {
        freeIndex.set(worker, available(worker));
    } else {
        freeIndex.setUnavailable(worker);
    }
}

Resources PlacementState::sizeOf(const TaskRecord &task) const
{
    if (!options.sizeCorrection) {
        return task.declared;
    }
    const Resources corrected = sizes.corrected(task.kind, task.declared);
    return capacityIndex.find(corrected, 0) ? corrected : task.declared;
}

void PlacementState::startRunning(std::uint32_t task, std::uint32_t worker, const Resources &committed, TimePoint now)
{
    TaskRecord &record = tasks[task];
    WorkerRecord &host = workers[worker];
    record.running = std::make_unique<RunningTask>();
    RunningTask &running = *record.running;
    running.worker = worker;
    running.position = static_cast<std::uint32_t>(host.tasks.size());
    running.committed = committed;
    running.charged = committed;
    running.loadMilliCores = sizes.expectedMilliCores(record.kind, record.declared);
    running.startedAt = now;
    host.tasks.push_back(task);
    host.charged += committed;
    host.loadMilliCores += running.loadMilliCores;
    host.lastPlacementAt = now;
    KindOnWorker *entry = findKind(worker, record);
    if (!entry) {
        host.kinds.push_back(KindOnWorker{record.kind, record.service, 0, 0, 0});
        entry = &host.kinds.back();
    }
    ++entry->count;
    if (record.batch()) {
        customerInfo[record.customer].batchInUse += committed;
        const double scale = load(worker);
        for (KindOnWorker &colocated : host.kinds) {
            if (colocated.service != NoId) {
                colocated.unmeasuredEffect += static_cast<float>(interference.effect(colocated.kind, record.kind) * scale);
            }
        }
    } else {
        ++replicasInRack(record.service, host.rack);
    }
    queue.allocate(record.team, record.declared);
    ++runningCount;
    refreshIndex(worker);
}

void PlacementState::endRunning(std::uint32_t task, TimePoint now)
{
    TaskRecord &record = tasks[task];
    const RunningTask &running = *record.running;
    const std::uint32_t worker = running.worker;
    WorkerRecord &host = workers[worker];
    const std::uint32_t last = host.tasks.back();
    host.tasks[running.position] = last;
    tasks[last].running->position = running.position;
    host.tasks.pop_back();
    host.charged -= running.charged;
    host.loadMilliCores -= running.loadMilliCores;
    host.throttledTasks -= running.speedPercent < 100 ? 1 : 0;
    KindOnWorker *entry = findKind(worker, record);
    if (--entry->count == 0) {
        *entry = host.kinds.back();
        host.kinds.pop_back();
    }
    if (host.endedTasks.size() >= MaximumEndedTasks) {
        host.endedTasks.erase(host.endedTasks.begin());
    }
    host.endedTasks.push_back(EndedTask{record.kind, running.startedAt, now});
    if (record.batch()) {
        customerInfo[record.customer].batchInUse -= running.committed;
    } else {
        --replicasInRack(record.service, host.rack);
        const bool hasOtherServices = std::any_of(host.kinds.begin(), host.kinds.end(), [](const KindOnWorker &other) { return other.service != NoId; });
        if (!hasOtherServices && host.throttledTasks > 0) {
            dueActions[worker] = EvictionPolicy::Action::Unthrottle; // without services there are no measurements that would trigger it
        }
    }
    queue.release(record.team, record.declared);
    ledger.release(worker, running.committed);
    health.cancelProbe(worker, record.jobId);
    --runningCount;
    tasks.remove(task);
    refreshIndex(worker);
    removeIfUnused(worker);
}

bool PlacementState::isBeingEvicted(const RunningTask &task) const
{
    return task.evictedAt != TimePoint() && lastTime - task.evictedAt < EvictionTimeout;
}

void PlacementState::applyUsage(std::uint32_t task, const Resources &usage)
{
    RunningTask &running = *tasks[task].running;
    WorkerRecord &host = workers[running.worker];
    host.charged -= running.charged;
    host.loadMilliCores -= running.loadMilliCores;
    running.charged = componentMaximum(running.committed, usage);
    running.loadMilliCores = usage.milliCores;
    running.measured = true;
    host.charged += running.charged;
    host.loadMilliCores += running.loadMilliCores;
    refreshIndex(running.worker);
}

void PlacementState::enqueue(std::uint32_t task)
{
    const TaskRecord &record = tasks[task];
    queue.push(record.team, record.queueClass, QueueEntry{record.queueKey, task});
}

void PlacementState::dequeue(std::uint32_t task)
{
    const TaskRecord &record = tasks[task];
    queue.erase(record.team, record.queueClass, QueueEntry{record.queueKey, task});
    cancelReservation(task);
    unplaceableSince.erase(task);
}

void PlacementState::removePending(std::uint32_t task)
{
    dequeue(task);
    tasks.remove(task);
}

void PlacementState::reserve(std::uint32_t task, std::uint32_t worker, const Resources &amount, TimePoint now)
{
    cancelReservation(task);
    reservations[task] = Reservation{worker, amount, now};
    workers[worker].reserved += amount;
    refreshIndex(worker);
}

void PlacementState::cancelReservation(std::uint32_t task)
{
    if (headTask == task) {
        headTask = NoId;
    }
    const auto found = reservations.find(task);
    if (found == reservations.end()) {
        return;
    }
    const Reservation reservation = found->second;
    reservations.erase(found);
    workers[reservation.worker].reserved -= reservation.amount;
    refreshIndex(reservation.worker);
}

KindOnWorker *PlacementState::findKind(std::uint32_t worker, const TaskRecord &task)
{
    auto &entries = workers[worker].kinds;
    const auto found =
        std::find_if(entries.begin(), entries.end(), [&](const KindOnWorker &entry) { return entry.kind == task.kind && entry.service == task.service; });
    return found == entries.end() ? nullptr : &*found;
}

int &PlacementState::replicasInRack(std::uint32_t service, std::uint32_t rack)
{
    return replicas[(static_cast<std::uint64_t>(service) << 32U) | rack];
}

} // namespace Hyssop::Internal
