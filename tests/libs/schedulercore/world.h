#pragma once

#include "fakelog.h"
#include "fakeworker.h"

#include <contract/contract.h>
#include <jobs/jobledger.h>
#include <schedulercore/schedulercore.h>
#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Hyssop::Testing {

struct WorldOptions
{
    std::uint64_t seed = 1;
    int schedulers = 2; // in each failure domain
    int workers = 3; // in each failure domain
    std::vector<std::string> domains{"east", "west"};
    std::chrono::milliseconds maximumDelay{20}; // of one message
    double lateRenewalRate = 0; // share of renewals that the worker processes seconds after the sender's timeout
    double lossRate = 0; // share of messages that are lost
    double lateCommandRate = 0; // share of commands that arrive seconds later, after the sender's timeout
    double slowAppendRate = 0; // share of appends that take several seconds
    double droppedAppendRate = 0; // share of appends that are neither written nor answered
    std::chrono::milliseconds logOutageGrace{15 * 60 * 1000};
};

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
    std::chrono::milliseconds time() const { return m_time; }
    std::string ownerOf(const std::string &domain) const; // empty if there is none
    const JobLedger &ledger(const std::string &domain) const;
    bool isRunning(const std::string &scheduler) const;
    bool isFrozen(const std::string &scheduler) const;
    std::vector<std::string> schedulerNames() const;
    std::vector<std::string> workerNames() const;
    int starts(const std::string &jobId) const;
    std::vector<Wire::Target> targets(const std::string &domain) const;
    std::size_t activeTasks() const;
    /// Returns the entry of the domain that holds the job now.
    const JobEntry *findJob(const std::string &jobId) const;

    const std::vector<std::string> &trace() const { return m_trace; }
    /// Detected violations of P1 to P4, one a line.
    const std::vector<std::string> &violations() const { return m_violations; }
    void addTraceLine(const std::string &line);

private:
    struct Scheduler
    {
        std::string name;
        std::string domain;
        std::unique_ptr<SchedulerCore> core;
        std::int64_t incarnation = 0;
        bool isFrozen = false;
        bool wasOwner = false;
        std::size_t position = 0; // next offset to read
        std::chrono::milliseconds nextRead{0};
        std::chrono::milliseconds lastAppendAt{0};
        std::deque<std::function<void()>> frozenInput;
    };
    struct Domain
    {
        std::vector<FakeRecord> stream;
        std::unique_ptr<JobLedger> ledger; // of an observer that sees every record at once
        bool inService = true;
        std::chrono::milliseconds changedAt{0};
        std::vector<std::string> workers;
    };

    TimePoint now() const { return TimePoint(m_time); }
    void schedule(std::chrono::milliseconds time, std::function<void()> event);
    void deliver(const std::string &scheduler, std::int64_t incarnation, std::function<void(SchedulerCore &)> input);
    std::chrono::milliseconds delay();
    bool chance(double share);
    bool linked(const std::string &first, const std::string &second) const;
    void append(const std::string &domain, const Wire::Record &record);
    void step();
    void tick(Scheduler &scheduler);
    void read(Scheduler &scheduler);
    void sendHeartbeats(Scheduler &scheduler);
    void perform(Scheduler &scheduler, const SchedulerAction &action);
    void sendRenewal(Scheduler &scheduler, const RenewLease &command);
    void sendCommand(Scheduler &scheduler, const std::string &workerName, const SchedulerAction &command);
    void sendAppend(Scheduler &scheduler, const std::string &domain, const Wire::Record &record, std::function<void(SchedulerCore &, bool written)> answer);
    void checkStart(const std::string &workerName, const std::string &jobId, int attempt, const std::string &checkpoint);
    void check();
    void reportViolation(const std::string &line);

    WorldOptions m_options;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_time{1000};
    std::multimap<std::chrono::milliseconds, std::function<void()>> m_events;
    std::map<std::string, Scheduler> m_schedulers;
    std::map<std::string, std::unique_ptr<FakeWorker>> m_workers;
    std::map<std::string, Domain> m_domains;
    std::map<std::string, Contract> m_contracts;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::pair<std::string, std::string>> m_muted;
    bool m_logUp = true;
    std::map<std::string, std::chrono::milliseconds> m_startDelays; // by worker
    std::map<std::pair<std::string, int>, std::pair<int, int>> m_startCounts; // by job and attempt: starts, worker restarts
    std::vector<std::string> m_trace;
    std::vector<std::string> m_violations;
};

} // namespace Hyssop::Testing
