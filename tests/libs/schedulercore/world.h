#pragma once

#include "invariantchecks.h"
#include "messagetransport.h"
#include "worldoptions.h"
#include "worldstate.h"

#include <chrono>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// Simulates several failure domains in one process under virtual time: fake log, fake workers and SchedulerCore
/// instances. The links between them can be cut, schedulers can be frozen, killed and started, and the log can become
/// unavailable.
class World
{
public:
    explicit World(WorldOptions options);
    ~World();

    static constexpr std::chrono::milliseconds Step{50};

    /// Advances the time and checks the invariants after every step.
    void advance(std::chrono::milliseconds duration);

    // Users and operators.
    void submit(const std::string &domain, const Wire::JobSpec &spec);
    void cancel(const std::string &domain, const std::string &jobId);
    void setDomain(const std::string &domain, bool inService);
    void setContract(const Contract &contract);

    // Faults. Names: schedulers "east.1", workers "east.w1", "log" (all streams) and
    // "config" (the configuration stream alone).
    void kill(const std::string &scheduler);
    void start(const std::string &scheduler);
    void freeze(const std::string &scheduler);
    void thaw(const std::string &scheduler);
    void cut(const std::string &first, const std::string &second);
    void heal(const std::string &first, const std::string &second);
    /// Drops the worker's answers to the scheduler, while requests still arrive. heal() ends the fault.
    void mute(const std::string &worker, const std::string &scheduler);
    void healAll();
    void setLogUp(bool up);
    /// Delays start commands to @p worker by @p delay from now on; the sender times out earlier. Zero ends the fault.
    void delayStarts(const std::string &worker, std::chrono::milliseconds delay);
    void setLoss(double lossRate, double lateCommandRate, double slowAppendRate, double droppedAppendRate = 0);
    FakeWorker &worker(const std::string &name);

    // State.
    std::chrono::milliseconds time() const { return m_state.time; }
    std::string ownerOf(const std::string &domain) const; // empty if there is none
    const JobLedger &ledger(const std::string &domain) const;
    bool isRunning(const std::string &scheduler) const;
    bool isFrozen(const std::string &scheduler) const;
    std::vector<std::string> schedulerNames() const;
    std::vector<std::string> workerNames() const;
    int starts(const std::string &jobId) const { return m_checks.starts(jobId); }
    std::vector<Wire::Target> targets(const std::string &domain) const;
    std::size_t activeTasks() const;
    /// Returns the entry of the domain that holds the job now.
    const JobEntry *findJob(const std::string &jobId) const;

    const std::vector<std::string> &trace() const { return m_state.trace; }
    /// Detected violations of P1 to P4, one a line.
    const std::vector<std::string> &violations() const { return m_state.violations; }
    void addTraceLine(const std::string &line) { m_state.addTraceLine(line); }

private:
    void step();
    void tick(SimulatedScheduler &scheduler);

    WorldState m_state;
    MessageTransport m_transport;
    InvariantChecks m_checks;
};

} // namespace Hyssop::Testing
