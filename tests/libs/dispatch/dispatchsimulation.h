#pragma once

#include "ownerstalls.h"
#include "simulatedworker.h"
#include "waitinginvariant.h"

#include <dispatch/dispatcher.h>
#include <jobtopic/jobtable.h>
#include <ports/clusterconfig.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// Probabilities of injected faults, from 0 to 1.
struct DispatchFaults
{
    double lostResponses = 0; // the command is executed, but its response is lost
    double delayedCommands = 0; // the command is executed 2 to 12 s later, without a response
    double failedRuns = 0;
    double slowMessages = 0; // the command is in transit for up to 0.7 s, also across restarts of the worker, and so is its response
};

/// Simulates dispatchers, workers and the job topic with a virtual clock. Checks the scheduling invariants at each start of a
/// run, and collects their violations. Checks also that accepted work has a run, once the faults have ended and the newest owner is stable.
class DispatchSimulation
{
public:
    explicit DispatchSimulation(std::uint32_t seed, std::size_t workers = 6, const DispatchLimits &limits = {});
    ~DispatchSimulation();

    /// Submits a job with a chain of @p steps steps of @p width tasks each.
    void submit(const std::string &jobId, int steps, int width, std::function<void(Wire::TaskStep &)> change = {});
    void cancel(const std::string &jobId);

    /// Lets a new instance claim the topic; the previous owner continues until it reads the claim.
    void claim();

    /// Suspends the process of the newest owner for @p time.
    void pauseOwner(Duration time);

    /// Separates the newest owner from the store for @p time; appends of other instances succeed.
    void partitionOwnerFromStore(Duration time);

    /// Crashes the worker and restarts it after @p downTime.
    void restartWorker(std::size_t index, Duration downTime);

    /// Restarts the process of the worker without any downtime; messages in transit reach the new process.
    void replaceProcess(std::size_t index);

    /// Crashes the worker, whose machine refuses connections until the worker restarts after @p downTime.
    void crashWorker(std::size_t index, Duration downTime);

    /// Resets all connections to the worker and refuses new ones for @p time; the worker continues to run.
    void cutOffWithResets(std::size_t index, Duration time);

    /// Lets the worker announce that it leaves; it continues to run.
    void drainWorker(std::size_t index);

    /// Ends the worker and removes its machine; its address does not respond any more.
    void removeMachine(std::size_t index);

    /// Adds the machine of the worker again, with a new process under the same id.
    void addMachine(std::size_t index);

    /// Removes the registration of the worker, which continues to run, or adds it again.
    void unregisterWorker(std::size_t index);
    void registerWorker(std::size_t index);

    void run(Duration time);

    /// Returns how long the next request of the newest owner waits for its link.
    Duration linkWait() const;

    /// Returns true if the newest owner has stepped down.
    bool hasNewestOwnerSteppedDown() const;

    bool isComplete(const std::string &jobId) const;
    Wire::JobPhase::type phaseOf(const std::string &jobId) const;
    SimulatedWorker &worker(std::size_t index) { return *m_workers[index]; }
    std::size_t startsOn(const std::string &worker) const;
    std::size_t openRuns() const;

    /// Describes the steps and serving tasks that had no run for longer than the platform permits.
    const std::vector<std::string> &lostWaits() const { return m_waitingInvariant.violations(); }
    int random(int maximum) { return static_cast<int>(m_random() % static_cast<std::uint32_t>(maximum)); }

    DispatchFaults faults;
    Duration responseDelay{0}; // by which the owners handle each response later; from the timeout of the command on it is lost
    std::size_t maximumResponses = 0; // that an owner handles in a tick, the others wait in order; 0: all
    bool workersDelayPolls = false; // by their full wait; otherwise they respond at once
    OwnerStalls ownerStalls;
    /// Bound of what an owner sends, 0: none. Requests wait behind those that were sent before, also behind those that have timed out.
    std::size_t ownerLinkBytesPerSecond = 0;
    std::size_t payloadSize = 0; // of jobs that are submitted, 0: small
    Duration workerLoadTime{0}; // from a claim until its owner knows the registered workers
    ClusterConfig config;
    std::set<std::string> evacuated;
    std::vector<std::string> violations;
    std::vector<std::pair<TaskId, std::string>> starts; // task and worker
    std::vector<OverdueStep> overdueSteps; // reported by the owners
    std::size_t polls = 0; // sent by the owners
    std::size_t expiredLeases = 0; // of workers, as reported by the owners
    std::map<std::string, TimePoint> unreachableSince; // workers that the owners report as unreachable
    std::vector<Duration> unreachableTimes; // of workers that have become reachable again
    std::function<SimulatedWorker::Run(const TaskId &)> plan;
    TimePoint now{std::chrono::seconds(1000)};

private:
    struct Owner;
    using Event = std::function<void()>;

    void at(TimePoint time, Event event);
    void tick();
    void tickOwner(Owner &owner);
    void noteDisturbance(Duration time = Duration::zero());
    bool isDisturbed() const;
    void observeWaits();
    std::vector<WaitingInvariant::Worker> availableWorkers() const;
    void addWaits(const std::string &jobId, std::vector<WaitingInvariant::Waiting> &waiting) const;
    void readTopics(const std::shared_ptr<Owner> &owner);
    void confirmReads(Owner &owner, TimePoint sentAt);

    /// Adds @p bytes to what the owner sends, and returns the time until they have been sent.
    Duration occupyLink(Owner &owner, std::size_t bytes) const;
    void perform(Owner &owner, DispatchAction action);
    void noteReportedEnds(const Owner &owner, const PollResult &result);
    void deliver(const std::shared_ptr<Owner> &owner, Duration delay, Event event);
    void handle(const std::shared_ptr<Owner> &owner, const Event &event);
    template<typename Command, typename Execute, typename Done>
    void send(Owner &owner, const Command &command, Execute execute, Done done);
    void store(Owner &owner, AppendRecords records);
    void listWorkers(Owner &owner);
    void append(const KeyedRecord &record);
    void appendRuns(const KeyedRecord &record);
    void checkStart(const TaskId &task, int run, const std::string &worker);
    bool chance(double share);
    WallTime wall() const;

    std::mt19937 m_random;
    DispatchLimits m_limits;
    std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
    std::set<std::string> m_removedMachines; // ids of their workers
    std::set<std::string> m_withdrawnWorkers; // ids of those that drain or are not registered
    std::vector<std::shared_ptr<Owner>> m_owners;
    std::multimap<TimePoint, Event> m_events;
    JobTable m_table;
    std::map<std::string, KeyedRecord> m_runs; // newest record of each key of the runs topic
    std::int64_t m_offset = 0;
    TimePoint m_silentWorkersReadAt{}; // when the newest record of silent workers was appended
    std::map<TaskId, std::string> m_running; // tasks with a run, and its worker
    std::map<TaskId, TimePoint> m_lastRunEndedAt;
    std::set<TaskId> m_acknowledgedDone;
    std::set<TaskId> m_reportedDone; // in a report that the newest owner of that time has received: the worker may end before it is acknowledged
    std::set<TaskId> m_done;
    std::map<TaskId, int> m_failed;
    std::set<std::string> m_cancelled;
    std::map<std::string, Wire::StepJob> m_jobs;
    TimePoint m_disturbedUntil{};
    WaitingInvariant m_waitingInvariant;
};

} // namespace Hyssop::Testing
