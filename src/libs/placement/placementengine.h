#pragma once

#include "placementoptions.h"

#include <contract/contract.h>
#include <utils/clock.h>
#include <utils/resources.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// A task that has to be placed on a worker.
struct PendingTask
{
    std::string jobId;
    std::string customer;
    std::string team;
    std::string taskName; // task kind of the interference model
    std::string service; // empty for batch
    Resources declared;
    std::chrono::milliseconds declaredRunTime{0};
    bool urgent = false;
    int priority = 0;
    std::vector<std::string> avoidedWorkers; // workers on which it failed before
};

/// The capacity and location of a worker.
struct WorkerOffer
{
    std::string worker;
    std::string rack;
    Resources capacity;
    bool accepting = true; // false if the worker is leaving, unreachable or without a lease; no tasks are placed on it then
};

/// A measurement of a running task.
struct UsageSample
{
    std::string jobId;
    Resources usage;
    std::chrono::milliseconds age{0}; // time since the measurement
    double progress = 0; // completed share of the work, 0 to 1
    bool hasCheckpoint = false;
    double serviceLatencyP99Us = 0; // services only; 0 if unknown
};

/// Decision to start a pending task. The engine has already committed its resources.
struct PlaceTask
{
    std::string jobId;
    std::string worker;
};

/// Decision to run a batch task at @p speedPercent of its full speed; 100 ends the throttling.
struct ThrottleTask
{
    std::string jobId;
    int speedPercent = 100;
};

/// Decision to checkpoint and stop a batch task. The caller adds it as pending again once its end is durable.
struct EvictTask
{
    std::string jobId;
    std::string reason;
};

/// Decision to end a job that failed on several distinct workers or that no worker or quota can hold.
struct RejectJob
{
    std::string jobId;
    std::string reason;
};

using PlacementDecision = std::variant<PlaceTask, ThrottleTask, EvictTask, RejectJob>;

namespace Internal {
struct PlacementState;
}

/// Decides which task runs on which worker. Never places a task beyond the capacity of a worker. Does no I/O; not thread-safe.
class PlacementEngine
{
public:
    PlacementEngine();
    explicit PlacementEngine(const PlacementOptions &options);
    ~PlacementEngine();

    /// Applies the quotas, shares, objectives and eviction budgets of all customers.
    void setContracts(const std::vector<Contract> &contracts);

    void updateWorker(const WorkerOffer &offer, TimePoint now);
    void removeWorker(const std::string &worker);

    void addPending(const PendingTask &task, TimePoint now);
    void removePending(const std::string &jobId);

    /// Adds a task that already runs, after a change of owner. Commits its resources even if this overcommits the worker.
    void adoptRunning(const PendingTask &task, const std::string &worker, TimePoint now);

    /// Releases the resources of a running task. To be called when its end is durable.
    void release(const std::string &jobId);

    void reportUsage(const UsageSample &sample, TimePoint now);
    void reportFailure(const std::string &jobId, const std::string &worker, TimePoint now);
    void reportSuccess(const std::string &jobId, const std::string &worker, TimePoint now);

    /// Returns at most @p maximumPlacements placements, and all other decisions that are due.
    std::vector<PlacementDecision> decide(TimePoint now, std::size_t maximumPlacements);

    std::size_t pendingCount() const;
    std::size_t runningCount() const;
    Resources committed(const std::string &worker) const;

private:
    std::unique_ptr<Internal::PlacementState> m_state;
};

} // namespace Hyssop
