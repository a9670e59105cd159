#include "world.h"

#include <utils/overloaded.h>

#include <algorithm>
#include <cstdio>

namespace Hyssop::Testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReadInterval{100};
constexpr milliseconds HeartbeatInterval{500};
constexpr milliseconds AnswerTimeout{1000};
constexpr milliseconds MaximumCommandDelay{6000};
constexpr milliseconds MaximumAppendDelay{8000};
// The permit, plus the difference of two clocks' rates over it.
constexpr milliseconds MaximumStartDelayAfterOut{3100};
constexpr Resources WorkerCapacity{8000, 8'000'000'000, 0, 8};

std::string domainOf(const std::string &name)
{
    return name.substr(0, name.find('.'));
}

// Each failure domain has its own replicas of a service under the same ids.
std::string workKey(const std::string &jobId, const std::string &workerName)
{
    return jobId.starts_with("service/") ? domainOf(workerName) + ":" + jobId : jobId;
}

std::pair<std::string, std::string> linkOf(const std::string &first, const std::string &second)
{
    return std::minmax(first, second);
}

} // namespace

World::World(WorldOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    for (const std::string &name : m_options.domains) {
        Domain &domain = m_domains[name];
        domain.ledger = std::make_unique<JobLedger>(std::chrono::hours(24));
        for (int number = 1; number <= m_options.workers; ++number) {
            const std::string workerName = name + ".w" + std::to_string(number);
            std::uniform_real_distribution<double> rate(0.995, 1.005);
            std::uniform_int_distribution<int> offset(0, 1'000'000);
            auto worker = std::make_unique<FakeWorker>(workerName, WorkerCapacity, rate(m_random), milliseconds(offset(m_random)));
            worker->setHandlers([this](const std::string &line) { addTraceLine(line); },
                                [this, workerName](const std::string &jobId, int attempt, const std::string &checkpoint) {
                                    checkStart(workerName, jobId, attempt, checkpoint);
                                });
            domain.workers.push_back(workerName);
            m_workers.emplace(workerName, std::move(worker));
        }
        for (int number = 1; number <= m_options.schedulers; ++number) {
            const std::string schedulerName = name + "." + std::to_string(number);
            m_schedulers[schedulerName].name = schedulerName;
            m_schedulers[schedulerName].domain = name;
            start(schedulerName);
        }
    }
}

World::~World() = default;

void World::addTraceLine(const std::string &line)
{
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%9.3f ", static_cast<double>(m_time.count()) / 1000.0);
    m_trace.push_back(stamp + line);
}

void World::reportViolation(const std::string &line)
{
    addTraceLine("VIOLATION " + line);
    m_violations.push_back(m_trace.back());
}

void World::schedule(milliseconds time, std::function<void()> event)
{
    m_events.emplace(std::max(time, m_time), std::move(event));
}

milliseconds World::delay()
{
    std::uniform_int_distribution<std::int64_t> distribution(1, m_options.maximumDelay.count());
    return milliseconds(distribution(m_random));
}

bool World::chance(double share)
{
    return share > 0 && std::bernoulli_distribution(share)(m_random);
}

bool World::linked(const std::string &first, const std::string &second) const
{
    return !m_cuts.contains(linkOf(first, second));
}

void World::deliver(const std::string &scheduler, std::int64_t incarnation, std::function<void(SchedulerCore &)> input)
{
    Scheduler &target = m_schedulers.at(scheduler);
    const auto run = [&target, incarnation, input = std::move(input)] {
        if (target.core && target.incarnation == incarnation) {
            input(*target.core);
        }
    };
    if (target.isFrozen) {
        target.frozenInput.emplace_back(run);
        return;
    }
    run();
}

void World::advance(milliseconds duration)
{
    const milliseconds end = m_time + duration;
    while (m_time < end) {
        m_time += Step;
        step();
    }
}

void World::step()
{
    for (auto &[name, worker] : m_workers) {
        worker->advance(Step);
    }
    while (!m_events.empty() && m_events.begin()->first <= m_time) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (auto &[name, scheduler] : m_schedulers) {
        if (!scheduler.core || scheduler.isFrozen) {
            continue;
        }
        if (m_time >= scheduler.nextRead) {
            scheduler.nextRead = m_time + ReadInterval;
            read(scheduler);
        }
        if (m_time % HeartbeatInterval < Step) {
            sendHeartbeats(scheduler);
        }
        tick(scheduler);
    }
    check();
}

void World::tick(Scheduler &scheduler)
{
    for (const SchedulerAction &action : scheduler.core->tick(now())) {
        perform(scheduler, action);
    }
    if (scheduler.core->owner() != scheduler.wasOwner) {
        scheduler.wasOwner = scheduler.core->owner();
        addTraceLine(scheduler.name + (scheduler.wasOwner ? " owns term " + std::to_string(scheduler.core->term()) : " is standby"));
    }
}

void World::read(Scheduler &scheduler)
{
    const milliseconds sentAt = m_time;
    const std::string name = scheduler.name;
    const std::int64_t incarnation = scheduler.incarnation;
    const std::string domainName = scheduler.domain;
    schedule(m_time + delay(), [this, name, incarnation, domainName, sentAt] {
        if (!m_logUp || !linked(name, "log")) {
            return;
        }
        Domain &domain = m_domains.at(domainName);
        const std::size_t head = domain.stream.size();
        const bool inService = domain.inService;
        std::vector<std::string> others;
        for (const auto &[otherName, other] : m_domains) {
            if (otherName != domainName && other.inService) {
                others.push_back(otherName);
            }
        }
        std::vector<Contract> contracts;
        for (const auto &[customer, contract] : m_contracts) {
            contracts.push_back(contract);
        }
        schedule(m_time + delay(), [this, name, incarnation, domainName, sentAt, head, inService, others, contracts] {
            if (!linked(name, "log")) {
                return;
            }
            deliver(name, incarnation, [this, name, domainName, sentAt, head, inService, others, contracts](SchedulerCore &core) {
                Scheduler &reader = m_schedulers.at(name);
                const std::vector<FakeRecord> &stream = m_domains.at(domainName).stream;
                for (; reader.position < head; ++reader.position) {
                    const FakeRecord &record = stream[reader.position];
                    core.apply({static_cast<std::int64_t>(reader.position), 0}, record.time, record.record, now());
                }
                core.jobStreamRead(static_cast<std::int64_t>(head) - 1, TimePoint(sentAt), now());
                if (linked(name, "config")) {
                    core.setContracts(contracts, now());
                    core.setDomainState(inService, others, now());
                    core.setConfigVerifiedAt(TimePoint(sentAt));
                }
            });
        });
    });
}

void World::sendHeartbeats(Scheduler &scheduler)
{
    if (!scheduler.core->owner()) {
        return;
    }
    const std::int64_t term = scheduler.core->term();
    for (auto &[name, peer] : m_schedulers) {
        if (name == scheduler.name || peer.domain != scheduler.domain || !linked(name, scheduler.name) || !peer.core) {
            continue;
        }
        deliver(name, peer.incarnation, [term, receivedAt = now()](SchedulerCore &core) { core.ownerHeartbeatReceived(term, receivedAt); });
    }
}

void World::perform(Scheduler &scheduler, const SchedulerAction &action)
{
    const auto onPropose = [&](std::int64_t id, const Wire::Record &record) {
        sendAppend(scheduler, scheduler.domain, record, [this, id](SchedulerCore &core, bool written) {
            if (!written) {
                core.proposalFailed(id, now());
            }
        });
    };
    const Overloaded visitor{
        [&](const RenewLease &command) { sendRenewal(scheduler, command); },
        [&](const Propose &command) { onPropose(command.id, command.record); },
        [&](const ProposeClaim &command) {
            Wire::Record record;
            record.__set_ownershipClaim(command.claim);
            onPropose(command.id, record);
        },
        [&](const ProposeTransfer &command) {
            Wire::Record record;
            record.__set_jobSubmitted(command.submission);
            sendAppend(scheduler, command.toDomain, record, [this, id = command.id](SchedulerCore &core, bool written) {
                if (written) {
                    core.transferAppended(id, now());
                } else {
                    core.proposalFailed(id, now());
                }
            });
        },
        [&](const auto &command) { sendCommand(scheduler, command.worker, command); },
    };
    std::visit(visitor, action);
}

void World::sendAppend(Scheduler &scheduler, const std::string &domain, const Wire::Record &record, std::function<void(SchedulerCore &, bool)> answer)
{
    std::uniform_int_distribution<std::int64_t> slow(1000, MaximumAppendDelay.count());
    const milliseconds transitDelay = chance(m_options.slowAppendRate) ? milliseconds(slow(m_random)) : delay();
    if (chance(m_options.droppedAppendRate)) {
        return;
    }
    // Appends of one writer arrive in the order in which they were sent.
    scheduler.lastAppendAt = std::max(scheduler.lastAppendAt, m_time + transitDelay);
    schedule(scheduler.lastAppendAt, [this, name = scheduler.name, incarnation = scheduler.incarnation, domain, record, answer = std::move(answer)] {
        const bool written = m_logUp && linked(name, "log");
        if (written) {
            append(domain, record);
        }
        // The log adapter resolves lost answers by reading, so an answer may be late but always arrives.
        const milliseconds answerDelay = chance(m_options.lossRate) ? AnswerTimeout : delay();
        schedule(m_time + answerDelay,
                 [this, name, incarnation, written, answer] { deliver(name, incarnation, [answer, written](SchedulerCore &core) { answer(core, written); }); });
    });
}

void World::append(const std::string &domainName, const Wire::Record &record)
{
    Domain &domain = m_domains.at(domainName);
    const auto offset = static_cast<std::int64_t>(domain.stream.size());
    const WallTime time(std::chrono::duration_cast<WallTime::duration>(m_time));
    domain.stream.push_back({time, record});
    const LedgerVerdict verdict = domain.ledger->apply({offset, 0}, time, record);
    addTraceLine(domainName + " #" + std::to_string(offset) + " " + describe(record) + (verdict == LedgerVerdict::Accepted ? "" : " (void)"));
}

void World::sendRenewal(Scheduler &scheduler, const RenewLease &command)
{
    const milliseconds sentAt = m_time;
    const std::string name = scheduler.name;
    const std::int64_t incarnation = scheduler.incarnation;
    const bool lost = chance(m_options.lossRate);
    const bool answerLost = chance(m_options.lossRate);
    const auto fail = [this, name, incarnation, worker = command.worker] {
        deliver(name, incarnation, [this, worker](SchedulerCore &core) { core.leaseFailed(worker, now()); });
    };
    if (m_options.lateRenewalRate > 0 && chance(m_options.lateRenewalRate)) {
        const milliseconds renewalDelay(std::uniform_int_distribution<int>(1500, 9000)(m_random));
        schedule(m_time + renewalDelay, [this, command] { m_workers.at(command.worker)->renew(command); });
        schedule(sentAt + AnswerTimeout, fail);
        return;
    }
    schedule(m_time + delay(), [this, name, incarnation, command, sentAt, lost, answerLost, fail] {
        if (lost || !linked(name, command.worker)) {
            schedule(sentAt + AnswerTimeout, fail);
            return;
        }
        const LeaseResult answer = m_workers.at(command.worker)->renew(command);
        schedule(m_time + delay(), [this, name, incarnation, command, sentAt, answer, answerLost, fail] {
            if (answerLost || !linked(name, command.worker) || m_muted.contains(linkOf(name, command.worker))) {
                schedule(sentAt + AnswerTimeout, fail);
                return;
            }
            deliver(name, incarnation, [this, command, answer, sentAt](SchedulerCore &core) {
                core.leaseAnswered(command.worker, answer, TimePoint(sentAt), now());
            });
        });
    });
}

void World::sendCommand(Scheduler &scheduler, const std::string &workerName, const SchedulerAction &command)
{
    const std::string name = scheduler.name;
    const std::int64_t incarnation = scheduler.incarnation;
    const auto answer = [this, name, incarnation, command](CommandOutcome outcome) {
        deliver(name, incarnation, [this, command, outcome](SchedulerCore &core) { core.commandAnswered(command, outcome, now()); });
    };
    if (!linked(name, workerName)) {
        schedule(m_time + delay(), [answer] { answer(CommandOutcome::Unreachable); });
        return;
    }
    const auto fixed = std::holds_alternative<StartTask>(command) ? m_startDelays.find(workerName) : m_startDelays.end();
    if (fixed != m_startDelays.end() || chance(m_options.lateCommandRate)) {
        std::uniform_int_distribution<std::int64_t> late(AnswerTimeout.count(), MaximumCommandDelay.count());
        const milliseconds transitDelay = fixed != m_startDelays.end() ? fixed->second : milliseconds(late(m_random));
        // The connection that carries the command does not outlive the worker's process.
        schedule(m_time + transitDelay, [this, workerName, command, restarts = m_workers.at(workerName)->restarts()] {
            if (m_workers.at(workerName)->restarts() == restarts) {
                m_workers.at(workerName)->execute(command);
            }
        });
        schedule(m_time + AnswerTimeout, [answer] { answer(CommandOutcome::Undetermined); });
        return;
    }
    const milliseconds timeout = m_time + AnswerTimeout;
    const bool lost = chance(m_options.lossRate);
    const bool answerLost = chance(m_options.lossRate);
    schedule(m_time + delay(), [this, name, workerName, command, answer, timeout, lost, answerLost] {
        if (lost || !linked(name, workerName)) {
            schedule(timeout, [answer] { answer(CommandOutcome::Undetermined); });
            return;
        }
        const CommandOutcome outcome = m_workers.at(workerName)->execute(command);
        if (answerLost || m_muted.contains(linkOf(name, workerName))) {
            schedule(timeout, [answer] { answer(CommandOutcome::Undetermined); });
            return;
        }
        schedule(m_time + delay(), [answer, outcome] { answer(outcome); });
    });
}

void World::submit(const std::string &domain, const Wire::JobSpec &spec)
{
    Wire::JobSubmitted submission;
    submission.spec = spec;
    Wire::Record record;
    record.__set_jobSubmitted(submission);
    append(domain, record);
}

void World::cancel(const std::string &domain, const std::string &jobId)
{
    Wire::JobCancelled cancellation;
    cancellation.jobId = jobId;
    cancellation.operatorName = "test";
    Wire::Record record;
    record.__set_jobCancelled(cancellation);
    append(domain, record);
}

void World::setDomain(const std::string &name, bool inService)
{
    Domain &domain = m_domains.at(name);
    domain.inService = inService;
    domain.changedAt = m_time;
    addTraceLine(name + (inService ? " is in" : " is out"));
}

void World::setContract(const Contract &contract)
{
    m_contracts[contract.customer] = contract;
}

void World::kill(const std::string &name)
{
    Scheduler &scheduler = m_schedulers.at(name);
    scheduler.core.reset();
    scheduler.isFrozen = false;
    scheduler.wasOwner = false;
    scheduler.frozenInput.clear();
    addTraceLine(name + " is killed");
}

void World::start(const std::string &name)
{
    Scheduler &scheduler = m_schedulers.at(name);
    if (scheduler.core) {
        return;
    }
    ++scheduler.incarnation;
    scheduler.position = 0;
    scheduler.nextRead = m_time;
    SchedulerCoreOptions options;
    options.instance = name;
    options.incarnation = scheduler.incarnation;
    options.domain = scheduler.domain;
    options.seed = m_random();
    options.logOutageGrace = m_options.logOutageGrace;
    scheduler.core = std::make_unique<SchedulerCore>(options);
    scheduler.core->setWorkers(m_domains.at(scheduler.domain).workers, now());
    addTraceLine(name + " starts");
}

void World::freeze(const std::string &name)
{
    m_schedulers.at(name).isFrozen = true;
    addTraceLine(name + " is frozen");
}

void World::thaw(const std::string &name)
{
    Scheduler &scheduler = m_schedulers.at(name);
    if (!scheduler.isFrozen) {
        return;
    }
    addTraceLine(name + " is thawed");
    scheduler.isFrozen = false;
    // The worst order: a thawed process acts on what it knew before it reads what it missed.
    tick(scheduler);
    for (const auto &input : std::exchange(scheduler.frozenInput, {})) {
        input();
    }
}

void World::cut(const std::string &first, const std::string &second)
{
    m_cuts.insert(linkOf(first, second));
    addTraceLine("cut " + first + " " + second);
}

void World::mute(const std::string &workerName, const std::string &scheduler)
{
    m_muted.insert(linkOf(workerName, scheduler));
    addTraceLine("mute " + workerName + " " + scheduler);
}

void World::heal(const std::string &first, const std::string &second)
{
    m_cuts.erase(linkOf(first, second));
    m_muted.erase(linkOf(first, second));
    addTraceLine("heal " + first + " " + second);
}

void World::healAll()
{
    m_cuts.clear();
    m_muted.clear();
    m_logUp = true;
    for (auto &[name, scheduler] : m_schedulers) {
        thaw(name);
        start(name);
    }
    for (auto &[name, worker] : m_workers) {
        worker->setFailsTasks(false);
        worker->setFailsCheckpoints(false);
        worker->setLeaving(false);
    }
    addTraceLine("all faults heal");
}

void World::setLogUp(bool up)
{
    m_logUp = up;
    addTraceLine(up ? "log is up" : "log is down");
}

void World::delayStarts(const std::string &workerName, milliseconds delay)
{
    if (delay == milliseconds(0)) {
        m_startDelays.erase(workerName);
    } else {
        m_startDelays[workerName] = delay;
    }
}

void World::setLoss(double lossRate, double lateCommandRate, double slowAppendRate, double droppedAppendRate)
{
    m_options.lossRate = lossRate;
    m_options.lateCommandRate = lateCommandRate;
    m_options.slowAppendRate = slowAppendRate;
    m_options.droppedAppendRate = droppedAppendRate;
}

FakeWorker &World::worker(const std::string &name)
{
    return *m_workers.at(name);
}

std::string World::ownerOf(const std::string &domain) const
{
    for (const auto &[name, scheduler] : m_schedulers) {
        const bool current = scheduler.core && !scheduler.isFrozen && scheduler.core->owner();
        if (current && scheduler.domain == domain && scheduler.core->term() == ledger(domain).term()) {
            return name;
        }
    }
    return {};
}

const JobLedger &World::ledger(const std::string &domain) const
{
    return *m_domains.at(domain).ledger;
}

bool World::isRunning(const std::string &scheduler) const
{
    return m_schedulers.at(scheduler).core != nullptr;
}

bool World::isFrozen(const std::string &scheduler) const
{
    return m_schedulers.at(scheduler).isFrozen;
}

std::vector<std::string> World::schedulerNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, scheduler] : m_schedulers) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> World::workerNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, worker] : m_workers) {
        names.push_back(name);
    }
    return names;
}

int World::starts(const std::string &jobId) const
{
    int sum = 0;
    for (auto entry = m_startCounts.lower_bound({jobId, 0}); entry != m_startCounts.end() && entry->first.first == jobId; ++entry) {
        sum += entry->second.first;
    }
    return sum;
}

std::vector<Wire::Target> World::targets(const std::string &domain) const
{
    const std::string owner = ownerOf(domain);
    return owner.empty() ? std::vector<Wire::Target>() : m_schedulers.at(owner).core->targets();
}

std::size_t World::activeTasks() const
{
    std::size_t count = 0;
    for (const auto &[name, worker] : m_workers) {
        const auto &tasks = worker->tasks();
        count += static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return isActive(task.second.status.state); }));
    }
    return count;
}

const JobEntry *World::findJob(const std::string &jobId) const
{
    const JobEntry *found = nullptr;
    for (const auto &[name, domain] : m_domains) {
        const JobEntry *entry = domain.ledger->job(jobId);
        if (entry && (!found || entry->state != JobState::Transferred)) {
            found = entry;
        }
    }
    return found;
}

void World::checkStart(const std::string &workerName, const std::string &jobId, int attempt, const std::string &checkpoint)
{
    const Domain &domain = m_domains.at(domainOf(workerName));
    // A worker that restarts loses the task; a repeated start command may then run the same attempt again.
    auto &[count, restarts] = m_startCounts[{workKey(jobId, workerName), attempt}];
    if (count > 0 && restarts != m_workers.at(workerName)->restarts()) {
        count = 0;
    }
    restarts = m_workers.at(workerName)->restarts();
    if (++count > 1) {
        reportViolation("P3 " + jobId + "/" + std::to_string(attempt) + " starts a second time");
    }
    if (!domain.inService && m_time - domain.changedAt > MaximumStartDelayAfterOut) {
        reportViolation("P4 " + jobId + " starts " + std::to_string((m_time - domain.changedAt).count()) + " ms after its domain was taken out");
    }
    const JobEntry *entry = domain.ledger->job(jobId);
    if (!entry || entry->state != JobState::Running || entry->attempt != attempt || entry->worker != workerName) {
        reportViolation("P3 " + jobId + "/" + std::to_string(attempt) + " starts on " + workerName + " without an open attempt there");
    } else if (entry->checkpoint != checkpoint) {
        reportViolation("P3 " + jobId + "/" + std::to_string(attempt) + " starts from '" + checkpoint + "' instead of '" + entry->checkpoint + "'");
    }
}

void World::check()
{
    std::map<std::string, Resources> committed;
    for (const auto &[name, domain] : m_domains) {
        for (const std::string &jobId : domain.ledger->openJobs()) {
            const JobEntry &entry = *domain.ledger->job(jobId);
            if (entry.state == JobState::Running) {
                const Wire::Resources &declared = entry.spec.declared;
                committed[entry.worker] += {declared.milliCores, declared.memoryBytes, declared.accelerators, declared.slots};
            }
        }
    }
    std::map<std::string, std::string> runsOn;
    for (const auto &[name, worker] : m_workers) {
        if (!committed[name].fitsIn(worker->capacity())) {
            reportViolation("P1 open attempts on " + name + " exceed its capacity");
        }
        if (!worker->used().fitsIn(worker->capacity())) {
            reportViolation("P1 tasks on " + name + " exceed its capacity");
        }
        for (const auto &[key, task] : worker->tasks()) {
            if (!isActive(task.status.state) || !task.stopsWithoutLease) {
                continue;
            }
            const auto [other, first] = runsOn.emplace(workKey(key.first, name), name);
            if (!first) {
                reportViolation("P2 " + key.first + " runs on " + other->second + " and " + name);
            }
        }
    }
}

} // namespace Hyssop::Testing
