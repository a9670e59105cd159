#include "dispatchsimulation.h"

#include <dispatch/claimtimes.h>
#include <jobtopic/jobkeys.h>
#include <ports/keyedrecord.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <algorithm>
#include <deque>
#include <type_traits>

namespace Hyssop::Testing {

using namespace std::chrono_literals;

namespace {

constexpr auto Step = 10ms;
constexpr auto OwnerTick = 20ms;
constexpr auto CommandTimeout = 800ms;
constexpr auto ConnectionTime = 2ms;
constexpr int MaximumFailures = 3;
constexpr auto ReadInterval = 50ms;
constexpr auto ReadTime = 10ms;
constexpr std::size_t RequestBytes = 200; // of a command without payload, or a read

/// Returns how long the owner waits for the response to @p command. Simulated workers answer polls at once.
template<typename Command>
std::chrono::milliseconds timeoutOf(const Command &command)
{
    if constexpr (requires { command.responseTimeout; }) {
        return command.responseTimeout;
    } else {
        return CommandTimeout;
    }
}

/// Returns for how long a worker may delay the response to @p command.
template<typename Command>
Duration waitOf(const Command &command)
{
    if constexpr (requires { command.wait; }) {
        return command.wait;
    } else {
        return Duration::zero();
    }
}

template<typename Command>
std::size_t sizeOf(const Command &command)
{
    if constexpr (requires { command.payload; }) {
        return RequestBytes + command.payload.size();
    } else {
        return RequestBytes;
    }
}

std::size_t sizeOf(const std::vector<KeyedRecord> &records)
{
    std::size_t size = records.empty() ? 0 : RequestBytes;
    for (const KeyedRecord &record : records) {
        size += record.key.size() + (record.value ? record.value->size() : 0);
    }
    return size;
}

/// Returns the result of a command whose connection was refused.
template<typename Outcome>
Outcome refusal()
{
    if constexpr (std::is_same_v<Outcome, PollResult>) {
        return WorkerNotListening{"connection refused"};
    } else {
        return CommandNotSent{"connection refused"};
    }
}

} // namespace

struct DispatchSimulation::Owner
{
    Owner(std::int64_t claimedTerm, const DispatchLimits &limits)
        : term(claimedTerm)
        , dispatcher(limits)
    {
    }

    std::int64_t term;
    Dispatcher dispatcher;
    bool steppedDown = false;
    bool knowsWorkers = false; // has read the registrations of the workers
    TimePoint pausedUntil{};
    TimePoint partitionedUntil{};
    TimePoint nextTick{};
    TimePoint nextRead{};
    std::deque<Event> responses; // received and not handled
    TimePoint linkFreeAt{}; // when all requests so far have been sent
};

DispatchSimulation::DispatchSimulation(std::uint32_t seed, std::size_t workers, const DispatchLimits &limits)
    : m_random(seed)
    , m_limits(limits)
{
    QueueInfo queue;
    queue.name = "batch";
    queue.workerPool = "hall";
    queue.maximumFailures = MaximumFailures;
    queue.deadlineFactor = 2;
    queue.deadlineMargin = 1s;
    config.queues["batch"] = queue;
    plan = [this](const TaskId &) {
        SimulatedWorker::Run run;
        run.endsAt = TimePoint(std::chrono::milliseconds(200 + random(1500)));
        run.endReason = chance(faults.failedRuns) ? RunEndReason::Failed : RunEndReason::Completed;
        return run;
    };
    for (std::size_t index = 0; index < workers; ++index) {
        WorkerInfo info;
        info.id = "w" + std::to_string(index);
        info.workerPool = "hall";
        info.address = "127.0.0.1:" + std::to_string(1 + index);
        info.failureDomain = index % 2 == 0 ? "a" : "b";
        info.rack = "r" + std::to_string(index / 2);
        info.capacity.milliCores = 8000;
        info.capacity.memoryBytes = 16'000'000'000;
        auto worker = std::make_unique<SimulatedWorker>(info, now - std::chrono::seconds(5 * (index + 1)), m_limits.maximumLease);
        worker->started = [this](const TaskId &task, int run, const std::string &id) { checkStart(task, run, id); };
        worker->ended = [this](const TaskId &task, int, const std::string &, RunEndReason endReason) {
            m_running.erase(task);
            m_lastRunEndedAt[task] = now;
            if (endReason == RunEndReason::Completed) {
                m_done.insert(task);
            }
        };
        worker->endAcknowledged = [this](const TaskId &task, int, const std::string &, RunEndReason endReason) {
            if (endReason == RunEndReason::Completed) {
                m_acknowledgedDone.insert(task);
            }
            if (endReason == RunEndReason::Failed) {
                ++m_failed[task];
            }
        };
        worker->plan = [this](const TaskId &task) { return plan(task); };
        m_workers.push_back(std::move(worker));
    }
}

DispatchSimulation::~DispatchSimulation() = default;

void DispatchSimulation::submit(const std::string &jobId, int steps, int width, std::function<void(Wire::TaskStep &)> change)
{
    Wire::StepJob job;
    job.queue = "batch";
    job.payload = "payload-" + jobId;
    job.payload.resize(std::max(job.payload.size(), payloadSize), 'x');
    job.acceptedAtMs = sinceEpoch(wall()).count();
    for (int index = 0; index < steps; ++index) {
        Wire::TaskStep step;
        step.taskCount = width;
        step.milliCores = 1000;
        step.memoryMb = 500;
        step.estimateMs = 800;
        step.checkpointable = true;
        if (index > 0) {
            step.after.push_back(index - 1);
        }
        if (change) {
            change(step);
        }
        job.steps.push_back(step);
    }
    m_jobs[jobId] = job;
    append({0, submissionKey(jobId), encode(job)});
}

void DispatchSimulation::cancel(const std::string &jobId)
{
    m_cancelled.insert(jobId);
    append({0, cancellationKey(jobId), "1"});
}

void DispatchSimulation::claim()
{
    noteDisturbance(workerLoadTime);
    Wire::TopicClaim record;
    record.instance = "instance-" + std::to_string(m_owners.size());
    record.term = static_cast<std::int64_t>(m_owners.size()) + 1;
    append({0, claimKey(), encode(record)});
    auto owner = std::make_shared<Owner>(record.term, m_limits);
    for (const auto &[key, runs] : m_runs) {
        m_table.applyRuns(runs);
    }
    owner->dispatcher.beginTerm(record.term, m_table, {now, now, m_silentWorkersReadAt});
    m_table.clearRuns();
    const auto loadWorkers = [this, owner] {
        owner->knowsWorkers = true;
        for (const auto &worker : m_workers) {
            if (!m_removedMachines.contains(worker->info().id)) {
                owner->dispatcher.updateWorker(worker->info());
            }
        }
    };
    if (workerLoadTime > Duration::zero()) {
        at(now + workerLoadTime, loadWorkers);
    } else {
        loadWorkers();
    }
    owner->nextTick = now;
    m_owners.push_back(std::move(owner));
}

void DispatchSimulation::pauseOwner(Duration time)
{
    noteDisturbance(time);
    m_owners.back()->pausedUntil = now + time;
}

void DispatchSimulation::partitionOwnerFromStore(Duration time)
{
    noteDisturbance(time);
    m_owners.back()->partitionedUntil = now + time;
}

void DispatchSimulation::restartWorker(std::size_t index, Duration downTime)
{
    noteDisturbance(downTime);
    SimulatedWorker &worker = *m_workers[index];
    worker.restart(now);
    worker.unreachable = true;
    at(now + downTime, [this, &worker] {
        worker.restart(now);
        worker.unreachable = false;
    });
}

void DispatchSimulation::replaceProcess(std::size_t index)
{
    noteDisturbance();
    m_workers[index]->restart(now);
}

void DispatchSimulation::crashWorker(std::size_t index, Duration downTime)
{
    noteDisturbance(downTime);
    SimulatedWorker &worker = *m_workers[index];
    worker.restart(now);
    worker.refusesConnections = true;
    worker.hasEnded = true;
    at(now + downTime, [this, &worker] {
        worker.restart(now);
        worker.refusesConnections = false;
        worker.hasEnded = false;
    });
}

void DispatchSimulation::cutOffWithResets(std::size_t index, Duration time)
{
    noteDisturbance(time);
    SimulatedWorker &worker = *m_workers[index];
    worker.refusesConnections = true;
    at(now + time, [&worker] { worker.refusesConnections = false; });
}

void DispatchSimulation::drainWorker(std::size_t index)
{
    noteDisturbance();
    m_withdrawnWorkers.insert(m_workers[index]->info().id);
    WorkerInfo info = m_workers[index]->info();
    info.draining = true;
    for (const auto &owner : m_owners) {
        owner->dispatcher.updateWorker(info);
    }
}

void DispatchSimulation::removeMachine(std::size_t index)
{
    noteDisturbance();
    m_workers[index]->restart(now);
    m_workers[index]->unreachable = true;
    m_removedMachines.insert(m_workers[index]->info().id);
    unregisterWorker(index);
}

void DispatchSimulation::addMachine(std::size_t index)
{
    noteDisturbance();
    m_removedMachines.erase(m_workers[index]->info().id);
    m_workers[index]->restart(now);
    m_workers[index]->unreachable = false;
    registerWorker(index);
}

void DispatchSimulation::unregisterWorker(std::size_t index)
{
    noteDisturbance();
    m_withdrawnWorkers.insert(m_workers[index]->info().id);
    for (const auto &owner : m_owners) {
        owner->dispatcher.removeWorker(m_workers[index]->info().id);
    }
}

void DispatchSimulation::registerWorker(std::size_t index)
{
    noteDisturbance();
    m_withdrawnWorkers.erase(m_workers[index]->info().id);
    for (const auto &owner : m_owners) {
        owner->dispatcher.updateWorker(m_workers[index]->info());
    }
}

bool DispatchSimulation::hasNewestOwnerSteppedDown() const
{
    return m_owners.back()->steppedDown;
}

void DispatchSimulation::run(Duration time)
{
    const TimePoint until = now + time;
    while (now < until) {
        now += Step;
        tick();
    }
}

bool DispatchSimulation::isComplete(const std::string &jobId) const
{
    return phaseOf(jobId) == Wire::JobPhase::Completed;
}

Wire::JobPhase::type DispatchSimulation::phaseOf(const std::string &jobId) const
{
    const TopicJob *entry = m_table.find(jobId);
    return entry != nullptr ? entry->phase() : Wire::JobPhase::Pending;
}

std::size_t DispatchSimulation::startsOn(const std::string &worker) const
{
    return static_cast<std::size_t>(std::ranges::count_if(starts, [&](const auto &start) { return start.second == worker; }));
}

std::size_t DispatchSimulation::openRuns() const
{
    return m_running.size();
}

void DispatchSimulation::at(TimePoint time, Event event)
{
    m_events.emplace(time, std::move(event));
}

void DispatchSimulation::tick()
{
    while (!m_events.empty() && m_events.begin()->first <= now) {
        const Event event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (const auto &worker : m_workers) {
        worker->advance(now);
    }
    for (const auto &owner : std::vector<std::shared_ptr<Owner>>(m_owners)) {
        if (!owner->steppedDown && now >= owner->pausedUntil && now >= owner->nextTick && !ownerStalls.isStalled(now)) {
            owner->nextTick = now + OwnerTick;
            tickOwner(*owner);
        }
    }
    if (m_waitingInvariant.isObservationDue(now)) {
        observeWaits();
    }
}

void DispatchSimulation::noteDisturbance(Duration time)
{
    m_disturbedUntil = std::max(m_disturbedUntil, now + time);
}

bool DispatchSimulation::isDisturbed() const
{
    const auto isOut = [](const auto &worker) { return worker->unreachable || worker->refusesConnections || worker->hasEnded; };
    const bool hasFaults = faults.lostResponses > 0 || faults.delayedCommands > 0 || faults.slowMessages > 0;
    return hasFaults || now <= m_disturbedUntil || m_owners.empty() || std::ranges::any_of(m_workers, isOut);
}

void DispatchSimulation::observeWaits()
{
    if (isDisturbed()) {
        m_waitingInvariant.noteDisturbance(now);
    }
    std::vector<WaitingInvariant::Waiting> waiting;
    for (const auto &[id, job] : m_jobs) {
        const Wire::JobPhase::type phase = phaseOf(id);
        if (!m_cancelled.contains(id) && (phase == Wire::JobPhase::Pending || phase == Wire::JobPhase::Running)) {
            addWaits(id, waiting);
        }
    }
    m_waitingInvariant.observe(waiting.empty() ? std::vector<WaitingInvariant::Worker>() : availableWorkers(), waiting, now);
}

std::vector<WaitingInvariant::Worker> DispatchSimulation::availableWorkers() const
{
    std::vector<WaitingInvariant::Worker> workers;
    for (const auto &worker : m_workers) {
        const WorkerInfo &info = worker->info();
        if (m_withdrawnWorkers.contains(info.id) || m_removedMachines.contains(info.id) || evacuated.contains(info.failureDomain)) {
            continue;
        }
        WaitingInvariant::Worker &added = workers.emplace_back(WaitingInvariant::Worker{info, {}, 0});
        for (const auto &[task, run] : worker->runs()) {
            added.addRun(m_jobs.at(task.job).steps[static_cast<std::size_t>(task.step)]);
        }
    }
    return workers;
}

void DispatchSimulation::addWaits(const std::string &jobId, std::vector<WaitingInvariant::Waiting> &waiting) const
{
    const Wire::StepJob &job = m_jobs.at(jobId);
    std::vector<bool> isDone;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        const Wire::TaskStep &step = job.steps[number];
        std::vector<WaitingInvariant::Waiting> waitingTasks;
        std::map<std::string, int> runsByWorker;
        for (int index = 0; index < step.taskCount; ++index) {
            const TaskId task{jobId, 0, static_cast<int>(number), index};
            const auto run = m_running.find(task);
            if (run != m_running.end()) {
                ++runsByWorker[run->second];
            } else if (!m_acknowledgedDone.contains(task) && !m_reportedDone.contains(task)) {
                const auto ended = m_lastRunEndedAt.find(task);
                waitingTasks.push_back({task, &step, ended != m_lastRunEndedAt.end() ? ended->second : TimePoint(), {}});
            }
        }
        isDone.push_back(waitingTasks.empty() && runsByWorker.empty());
        const bool isReady = std::ranges::all_of(step.after, [&](std::int32_t earlier) { return isDone[static_cast<std::size_t>(earlier)]; });
        if (!isReady || (!step.longRunning && !runsByWorker.empty())) {
            continue;
        }
        if (!step.longRunning && !waitingTasks.empty()) {
            waitingTasks.resize(1);
        }
        for (WaitingInvariant::Waiting &task : waitingTasks) {
            task.runsByWorker = runsByWorker;
            waiting.push_back(std::move(task));
        }
    }
}

void DispatchSimulation::tickOwner(Owner &owner)
{
    if (now >= owner.nextRead && now >= owner.partitionedUntil) {
        readTopics(*std::ranges::find_if(m_owners, [&](const auto &entry) { return entry.get() == &owner; }));
        if (owner.steppedDown) {
            return;
        }
    }
    for (std::size_t handled = 0; !owner.responses.empty() && (maximumResponses == 0 || handled < maximumResponses); ++handled) {
        const Event event = std::move(owner.responses.front());
        owner.responses.pop_front();
        event();
    }
    owner.dispatcher.applyConfiguration(config, evacuated);
    for (DispatchAction &action : owner.dispatcher.advance(now, wall())) {
        perform(owner, std::move(action));
    }
}

void DispatchSimulation::readTopics(const std::shared_ptr<Owner> &owner)
{
    if (ownerLinkBytesPerSecond == 0) {
        owner->nextRead = now + ReadInterval;
        confirmReads(*owner, now);
        return;
    }
    const TimePoint sentAt = now;
    const Duration readTime = occupyLink(*owner, RequestBytes) + ReadTime;
    owner->nextRead = now + readTime + ReadInterval;
    deliver(owner, readTime, [=, this] { confirmReads(*owner, sentAt); });
}

void DispatchSimulation::confirmReads(Owner &owner, TimePoint sentAt)
{
    if (owner.term != m_owners.back()->term) {
        owner.steppedDown = true;
        return;
    }
    owner.dispatcher.confirmRead(sentAt);
    if (owner.knowsWorkers) {
        owner.dispatcher.confirmWorkersRead(sentAt);
    }
}

Duration DispatchSimulation::occupyLink(Owner &owner, std::size_t bytes) const
{
    if (ownerLinkBytesPerSecond == 0) {
        return Duration::zero();
    }
    const std::chrono::duration<double> sendTime(static_cast<double>(bytes) / static_cast<double>(ownerLinkBytesPerSecond));
    owner.linkFreeAt = std::max(owner.linkFreeAt, now) + std::chrono::duration_cast<Duration>(sendTime);
    return owner.linkFreeAt - now;
}

Duration DispatchSimulation::linkWait() const
{
    return std::max(m_owners.back()->linkFreeAt - now, Duration(0));
}

void DispatchSimulation::perform(Owner &owner, DispatchAction action)
{
    std::visit(Overloaded{
                   [&](const StartCommand &start) {
                       send(
                           owner,
                           start,
                           [](SimulatedWorker &worker, const StartCommand &value, TimePoint time) { return worker.start(value, time); },
                           [](Owner &sender, const StartCommand &value, const CommandResult &result, TimePoint, TimePoint time) {
                               sender.dispatcher.startAnswered(value, result, time);
                           });
                   },
                   [&](const StopCommand &stop) {
                       send(
                           owner,
                           stop,
                           [](SimulatedWorker &worker, const StopCommand &value, TimePoint time) { return worker.stop(value, time); },
                           [](Owner &sender, const StopCommand &value, const CommandResult &result, TimePoint, TimePoint time) {
                               sender.dispatcher.stopAnswered(value, result, time);
                           });
                   },
                   [&](const PollCommand &poll) {
                       ++polls;
                       send(
                           owner,
                           poll,
                           [](SimulatedWorker &worker, const PollCommand &value, TimePoint time) { return worker.poll(value, time); },
                           [this](Owner &sender, const PollCommand &value, const PollResult &result, TimePoint sentAt, TimePoint time) {
                               noteReportedEnds(sender, result);
                               sender.dispatcher.pollAnswered(value, result, sentAt, time);
                           });
                   },
                   [&](const ThrottleCommand &throttle) { owner.dispatcher.throttleAnswered(throttle, CommandExecuted{}, now); },
                   [&](AppendRecords &records) { store(owner, std::move(records)); },
                   [&](const ListLiveWorkers &) { listWorkers(owner); },
                   [&](const OverdueStep &overdue) { overdueSteps.push_back(overdue); },
                   [&](const WorkerLeaseExpired &) { ++expiredLeases; },
                   [&](const WorkerUnreachable &event) { unreachableSince.emplace(event.worker, now); },
                   [&](const WorkerReachableAgain &event) {
                       if (const auto since = unreachableSince.extract(event.worker); !since.empty()) {
                           unreachableTimes.push_back(now - since.mapped());
                       }
                   },
                   [&](const StepDown &) { owner.steppedDown = true; },
                   [](const auto &) {},
               },
               action);
}

void DispatchSimulation::noteReportedEnds(const Owner &owner, const PollResult &result)
{
    const auto *report = std::get_if<WorkerReport>(&result);
    if (report == nullptr || owner.term != m_owners.back()->term) {
        return;
    }
    for (const ReportedRunEnd &end : report->ends) {
        if (end.endReason == RunEndReason::Completed) {
            m_reportedDone.insert(end.task);
        }
    }
}

void DispatchSimulation::deliver(const std::shared_ptr<Owner> &owner, Duration delay, Event event)
{
    at(now + delay, [this, owner, event] { handle(owner, event); });
}

void DispatchSimulation::handle(const std::shared_ptr<Owner> &owner, const Event &event)
{
    if (now < owner->pausedUntil) {
        at(owner->pausedUntil, event); // processed when the owner resumes
    } else if (ownerStalls.isStalled(now)) {
        at(ownerStalls.endOfStall(now), [this, owner, event] { handle(owner, event); });
    } else if (maximumResponses > 0 || !owner->responses.empty()) {
        owner->responses.push_back(event);
    } else {
        event();
    }
}

template<typename Command, typename Execute, typename Done>
void DispatchSimulation::send(Owner &owner, const Command &command, Execute execute, Done done)
{
    const auto sender = *std::ranges::find_if(m_owners, [&](const auto &entry) { return entry.get() == &owner; });
    const auto worker = std::ranges::find_if(m_workers, [&](const auto &entry) { return entry->info().id == command.worker.id; });
    using Outcome = decltype(execute(**worker, command, now));
    SimulatedWorker *target = worker->get();
    const TimePoint sentAt = now;
    const Duration wait = workersDelayPolls ? waitOf(command) : Duration::zero();
    const Duration timeout = timeoutOf(command) + wait;
    const bool late = chance(faults.delayedCommands);
    const Duration sendTime = occupyLink(owner, sizeOf(command));
    const Duration transitTime =
        sendTime + (late ? Duration(2s + std::chrono::milliseconds(random(10000))) : Duration(std::chrono::milliseconds(1 + random(20))));
    const auto unknown = [=, this] {
        const Duration untilResult = std::max(sentAt + timeout - now, Duration(0));
        deliver(sender, untilResult, [=, this] { done(*sender, command, Outcome(CommandUndetermined{"timeout"}), sentAt, now); });
    };
    const auto respond = [=, this](const Outcome &result) {
        const Duration responseTime = std::chrono::milliseconds(1 + random(10)) + responseDelay;
        const bool isInTime = now - sentAt + responseTime < timeout;
        const Duration untilResult = isInTime ? responseTime : std::max(timeout - (now - sentAt), Duration(0));
        deliver(sender, untilResult, [=, this] { done(*sender, command, isInTime ? result : Outcome(CommandUndetermined{"timeout"}), sentAt, now); });
    };
    if (target->refusesConnections) {
        deliver(sender, ConnectionTime, [=, this] { done(*sender, command, refusal<Outcome>(), sentAt, now); });
        return;
    }
    if (target->unreachable || late) {
        unknown();
    }
    if (target->unreachable) {
        return;
    }
    if (!late && faults.slowMessages > 0 && chance(faults.slowMessages)) {
        const Duration requestTime = std::chrono::milliseconds(random(700));
        const Duration responseTime = std::chrono::milliseconds(random(700));
        at(now + requestTime, [=, this] {
            if (target->unreachable || target->refusesConnections) {
                unknown();
                return;
            }
            const Outcome result = execute(*target, command, now);
            const bool isInTime = requestTime + responseTime < timeout;
            const Duration untilResult = isInTime ? responseTime : std::max(timeout - requestTime, Duration(0));
            deliver(sender, untilResult, [=, this] { done(*sender, command, isInTime ? result : Outcome(CommandUndetermined{"timeout"}), sentAt, now); });
        });
        return;
    }
    const bool lost = chance(faults.lostResponses);
    const int incarnation = target->incarnation(); // a restart of the worker closes the connection
    at(now + transitTime, [=, this] {
        if (target->unreachable || target->refusesConnections || target->incarnation() != incarnation) {
            if (!late) {
                unknown(); // lost in transit
            }
            return;
        }
        const Outcome result = execute(*target, command, now);
        if (late) {
            return;
        }
        if (lost) {
            unknown();
        } else if (wait > Duration::zero()) {
            at(now + wait, [=, this] {
                if (target->unreachable || target->refusesConnections || target->incarnation() != incarnation) {
                    unknown();
                } else {
                    respond(execute(*target, command, now));
                }
            });
        } else {
            respond(result);
        }
    });
}

void DispatchSimulation::listWorkers(Owner &owner)
{
    const auto sender = *std::ranges::find_if(m_owners, [&](const auto &entry) { return entry.get() == &owner; });
    std::set<std::string> ids;
    for (const auto &worker : m_workers) {
        if (!worker->hasEnded && !m_removedMachines.contains(worker->info().id)) {
            ids.insert(worker->info().id);
        }
    }
    const TimePoint sentAt = now;
    deliver(sender, std::chrono::milliseconds(4 + random(20)), [=, this] { sender->dispatcher.liveWorkersListed(ids, sentAt, now); });
}

void DispatchSimulation::store(Owner &owner, AppendRecords records)
{
    const auto sender = *std::ranges::find_if(m_owners, [&](const auto &entry) { return entry.get() == &owner; });
    const Duration sendTime = occupyLink(owner, sizeOf(records.records) + sizeOf(records.runs));
    const TimePoint arrivesAt = std::max(now, owner.partitionedUntil) + sendTime + 6ms;
    const auto appends = std::make_shared<int>(2); // that are not durable
    const auto appendAt = [=, this](TimePoint time, std::vector<KeyedRecord> part, void (DispatchSimulation::*appendRecord)(const KeyedRecord &)) {
        at(time, [=, this] {
            if (sender->term != m_owners.back()->term) {
                sender->steppedDown = true; // the store rejects appends with an earlier epoch
                return;
            }
            for (const KeyedRecord &record : part) {
                (this->*appendRecord)(record);
            }
            if (--*appends == 0) {
                deliver(sender, 2ms, [=, this] { sender->dispatcher.recordsStored(now); });
            }
        });
    };
    // Another instance may claim between the two appends.
    const bool isJobTopicFirst = random(2) == 0;
    const Duration delay = std::chrono::milliseconds(random(40));
    appendAt(arrivesAt + (isJobTopicFirst ? Duration(0) : delay), records.records, &DispatchSimulation::append);
    appendAt(arrivesAt + (isJobTopicFirst ? delay : Duration(0)), records.runs, &DispatchSimulation::appendRuns);
}

void DispatchSimulation::appendRuns(const KeyedRecord &record)
{
    if (record.value) {
        m_runs[record.key] = record;
    } else {
        m_runs.erase(record.key);
    }
}

void DispatchSimulation::append(const KeyedRecord &record)
{
    const JobKey key = m_table.apply({m_offset++, record.key, record.value});
    if (key.kind == JobKeyKind::SilentWorkers) {
        m_silentWorkersReadAt = now;
    }
    if (!m_owners.empty() && (key.kind == JobKeyKind::Submission || key.kind == JobKeyKind::Cancellation)) {
        const auto owner = m_owners.back();
        deliver(owner, 20ms, [=, this] { owner->dispatcher.jobChanged(key.jobId, m_table.find(key.jobId), now, wall()); });
    }
}

void DispatchSimulation::checkStart(const TaskId &task, int run, const std::string &worker)
{
    starts.emplace_back(task, worker);
    const auto violation = [&](const std::string &what) {
        violations.push_back(what + ": " + task.toString() + " run " + std::to_string(run) + " on " + worker);
    };
    if (m_running.contains(task)) {
        violation("second concurrent run, the first is on " + m_running[task]);
    }
    m_running[task] = worker;
    if (m_acknowledgedDone.contains(task)) {
        violation("started after its end was acknowledged");
    }
    if (m_failed[task] >= MaximumFailures) {
        violation("started after too many failures");
    }
    for (const std::int32_t earlier : m_jobs.at(task.job).steps[static_cast<std::size_t>(task.step)].after) {
        const int count = m_jobs.at(task.job).steps[static_cast<std::size_t>(earlier)].taskCount;
        for (int index = 0; index < count; ++index) {
            if (!m_done.contains({task.job, task.occurrence, earlier, index})) {
                violation("started before an earlier step was done");
                return;
            }
        }
    }
}

bool DispatchSimulation::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

WallTime DispatchSimulation::wall() const
{
    return WallTime(std::chrono::seconds(1'700'000'000) + std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
}

} // namespace Hyssop::Testing
