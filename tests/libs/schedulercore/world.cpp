#include "world.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Hyssop::Testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReadInterval{100};
constexpr milliseconds HeartbeatInterval{500};
constexpr Resources WorkerCapacity{8000, 8'000'000'000, 0, 8};

} // namespace

World::World(WorldOptions options)
    : m_state(std::move(options))
    , m_transport(m_state)
    , m_checks(m_state)
{
    for (const std::string &name : m_state.options.domains) {
        SimulatedDomain &domain = m_state.domains[name];
        domain.ledger = std::make_unique<JobLedger>(std::chrono::hours(24));
        for (int number = 1; number <= m_state.options.workers; ++number) {
            const std::string workerName = name + ".w" + std::to_string(number);
            std::uniform_real_distribution<double> rate(0.995, 1.005);
            std::uniform_int_distribution<int> offset(0, 1'000'000);
            auto worker = std::make_unique<FakeWorker>(workerName, WorkerCapacity, rate(m_state.random), milliseconds(offset(m_state.random)));
            worker->setHandlers([this](const std::string &line) { m_state.addTraceLine(line); },
                                [this, workerName](const std::string &jobId, int attempt, const std::string &checkpoint) {
                                    m_checks.checkStart(workerName, jobId, attempt, checkpoint);
                                });
            domain.workers.push_back(workerName);
            m_state.workers.emplace(workerName, std::move(worker));
        }
        for (int number = 1; number <= m_state.options.schedulers; ++number) {
            const std::string schedulerName = name + "." + std::to_string(number);
            m_state.schedulers[schedulerName].name = schedulerName;
            m_state.schedulers[schedulerName].domain = name;
            start(schedulerName);
        }
    }
}

World::~World() = default;

void World::advance(milliseconds duration)
{
    const milliseconds end = m_state.time + duration;
    while (m_state.time < end) {
        m_state.time += Step;
        step();
    }
}

void World::step()
{
    for (auto &[name, worker] : m_state.workers) {
        worker->advance(Step);
    }
    m_state.runDueEvents();
    for (auto &[name, scheduler] : m_state.schedulers) {
        if (!scheduler.core || scheduler.isFrozen) {
            continue;
        }
        if (m_state.time >= scheduler.nextRead) {
            scheduler.nextRead = m_state.time + ReadInterval;
            m_transport.read(scheduler);
        }
        if (m_state.time % HeartbeatInterval < Step) {
            m_transport.sendHeartbeats(scheduler);
        }
        tick(scheduler);
    }
    m_checks.check();
}

void World::tick(SimulatedScheduler &scheduler)
{
    for (const SchedulerAction &action : scheduler.core->tick(m_state.now())) {
        m_transport.perform(scheduler, action);
    }
    if (scheduler.core->owner() != scheduler.wasOwner) {
        scheduler.wasOwner = scheduler.core->owner();
        m_state.addTraceLine(scheduler.name + (scheduler.wasOwner ? " owns term " + std::to_string(scheduler.core->term()) : " is standby"));
    }
}

void World::submit(const std::string &domain, const Wire::JobSpec &spec)
{
    Wire::JobSubmitted submission;
    submission.spec = spec;
    Wire::Record record;
    record.__set_jobSubmitted(submission);
    m_state.append(domain, record);
}

void World::cancel(const std::string &domain, const std::string &jobId)
{
    Wire::JobCancelled cancellation;
    cancellation.jobId = jobId;
    cancellation.operatorName = "test";
    Wire::Record record;
    record.__set_jobCancelled(cancellation);
    m_state.append(domain, record);
}

void World::setDomain(const std::string &name, bool inService)
{
    SimulatedDomain &domain = m_state.domains.at(name);
    domain.inService = inService;
    domain.changedAt = m_state.time;
    m_state.addTraceLine(name + (inService ? " is in" : " is out"));
}

void World::setContract(const Contract &contract)
{
    m_state.contracts[contract.customer] = contract;
}

void World::kill(const std::string &name)
{
    SimulatedScheduler &scheduler = m_state.schedulers.at(name);
    scheduler.core.reset();
    scheduler.isFrozen = false;
    scheduler.wasOwner = false;
    scheduler.frozenInput.clear();
    m_state.addTraceLine(name + " is killed");
}

void World::start(const std::string &name)
{
    SimulatedScheduler &scheduler = m_state.schedulers.at(name);
    if (scheduler.core) {
        return;
    }
    ++scheduler.incarnation;
    scheduler.position = 0;
    scheduler.nextRead = m_state.time;
    SchedulerCoreOptions options;
    options.instance = name;
    options.incarnation = scheduler.incarnation;
    options.domain = scheduler.domain;
    options.seed = m_state.random();
    options.logOutageGrace = m_state.options.logOutageGrace;
    scheduler.core = std::make_unique<SchedulerCore>(options);
    scheduler.core->setWorkers(m_state.domains.at(scheduler.domain).workers, m_state.now());
    m_state.addTraceLine(name + " starts");
}

void World::freeze(const std::string &name)
{
    m_state.schedulers.at(name).isFrozen = true;
    m_state.addTraceLine(name + " is frozen");
}

void World::thaw(const std::string &name)
{
    SimulatedScheduler &scheduler = m_state.schedulers.at(name);
    if (!scheduler.isFrozen) {
        return;
    }
    m_state.addTraceLine(name + " is thawed");
    scheduler.isFrozen = false;
    // The worst order: a thawed process acts on what it knew before it reads what it missed.
    tick(scheduler);
    for (const auto &input : std::exchange(scheduler.frozenInput, {})) {
        input();
    }
}

void World::cut(const std::string &first, const std::string &second)
{
    m_state.links.cut(first, second);
    m_state.addTraceLine("cut " + first + " " + second);
}

void World::mute(const std::string &workerName, const std::string &scheduler)
{
    m_state.links.mute(workerName, scheduler);
    m_state.addTraceLine("mute " + workerName + " " + scheduler);
}

void World::heal(const std::string &first, const std::string &second)
{
    m_state.links.heal(first, second);
    m_state.addTraceLine("heal " + first + " " + second);
}

void World::healAll()
{
    m_state.links.healAll();
    m_state.logUp = true;
    for (auto &[name, scheduler] : m_state.schedulers) {
        thaw(name);
        start(name);
    }
    for (auto &[name, worker] : m_state.workers) {
        worker->setFailsTasks(false);
        worker->setFailsCheckpoints(false);
        worker->setLeaving(false);
    }
    m_state.addTraceLine("all faults heal");
}

void World::setLogUp(bool up)
{
    m_state.logUp = up;
    m_state.addTraceLine(up ? "log is up" : "log is down");
}

void World::delayStarts(const std::string &workerName, milliseconds delay)
{
    if (delay == milliseconds(0)) {
        m_state.startDelays.erase(workerName);
    } else {
        m_state.startDelays[workerName] = delay;
    }
}

void World::setLoss(double lossRate, double lateCommandRate, double slowAppendRate, double droppedAppendRate)
{
    m_state.options.lossRate = lossRate;
    m_state.options.lateCommandRate = lateCommandRate;
    m_state.options.slowAppendRate = slowAppendRate;
    m_state.options.droppedAppendRate = droppedAppendRate;
}

FakeWorker &World::worker(const std::string &name)
{
    return *m_state.workers.at(name);
}

std::string World::ownerOf(const std::string &domain) const
{
    for (const auto &[name, scheduler] : m_state.schedulers) {
        const bool current = scheduler.core && !scheduler.isFrozen && scheduler.core->owner();
        if (current && scheduler.domain == domain && scheduler.core->term() == ledger(domain).term()) {
            return name;
        }
    }
    return {};
}

const JobLedger &World::ledger(const std::string &domain) const
{
    return *m_state.domains.at(domain).ledger;
}

bool World::isRunning(const std::string &scheduler) const
{
    return m_state.schedulers.at(scheduler).core != nullptr;
}

bool World::isFrozen(const std::string &scheduler) const
{
    return m_state.schedulers.at(scheduler).isFrozen;
}

std::vector<std::string> World::schedulerNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, scheduler] : m_state.schedulers) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> World::workerNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, worker] : m_state.workers) {
        names.push_back(name);
    }
    return names;
}

std::vector<Wire::Target> World::targets(const std::string &domain) const
{
    const std::string owner = ownerOf(domain);
    return owner.empty() ? std::vector<Wire::Target>() : m_state.schedulers.at(owner).core->targets();
}

std::size_t World::activeTasks() const
{
    std::size_t count = 0;
    for (const auto &[name, worker] : m_state.workers) {
        const auto &tasks = worker->tasks();
        count += static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return isActive(task.second.status.state); }));
    }
    return count;
}

const JobEntry *World::findJob(const std::string &jobId) const
{
    const JobEntry *found = nullptr;
    for (const auto &[name, domain] : m_state.domains) {
        const JobEntry *entry = domain.ledger->job(jobId);
        if (entry && (!found || entry->state != JobState::Transferred)) {
            found = entry;
        }
    }
    return found;
}

} // namespace Hyssop::Testing
