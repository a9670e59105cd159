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

/// A task that waits for a worker.
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
    std::vector<std::string> avoidedWorkers; // workers on which it failed
};

/// What a worker offers.
struct WorkerOffer
{
    std::string worker;
    std::string rack;
    Resources capacity;
    bool accepting = true; // false: leaving, unreachable or without lease; nothing new is placed there
};

/// Measured use of one running task.
struct UsageSample
{
    std::string jobId;
    Resources usage;
    std::chrono::milliseconds age{0}; // lag of the measurement
    double progress = 0; // share of the work done, 0 to 1
    bool hasCheckpoint = false;
    double serviceLatencyP99Us = 0; // services only; 0 if unknown
};

/// Starts a pending task. The engine counts it as committed from now on.
struct PlaceTask
{
    std::string jobId;
    std::string worker;
};

/// Slows a batch task down to @p level percent of its speed, or back to 100.
struct ThrottleTask
{
    std::string jobId;
    int speedPercent = 100;
};

/// Checkpoints and stops a batch task; it becomes pending again when its end is durable.
struct EvictTask
{
    std::string jobId;
    std::string reason;
};

/// Ends a job that failed on enough distinct workers.
struct RejectJob
{
    std::string jobId;
    std::string reason;
};

using PlacementDecision = std::variant<PlaceTask, ThrottleTask, EvictTask, RejectJob>;

namespace Internal {
struct PlacementState;
}

/// Decides which task runs where. Never commits more of a worker than it has. No I/O; not thread-safe.
class PlacementEngine
{
public:
    PlacementEngine();
    explicit PlacementEngine(const PlacementOptions &options);
    ~PlacementEngine();

    /// Takes over quotas, shares and trade-offs; every limit follows from the contracts.
    void setContracts(const std::vector<Contract> &contracts);

    void updateWorker(const WorkerOffer &offer, TimePoint now);
    void removeWorker(const std::string &worker);

    void addPending(const PendingTask &task, TimePoint now);
    void removePending(const std::string &jobId);

    /// Takes over a task that already runs (after a change of owner). Counts it even if the worker is then overcommitted.
    void adoptRunning(const PendingTask &task, const std::string &worker, TimePoint now);

    /// Releases the resources of a placed task; call when its end is durable.
    void release(const std::string &jobId);

    void reportUsage(const UsageSample &sample, TimePoint now);
    void reportFailure(const std::string &jobId, const std::string &worker, TimePoint now);
    void reportSuccess(const std::string &jobId, const std::string &worker, TimePoint now);

    /// Returns at most @p maximumPlacements placements and any other decisions that are due.
    std::vector<PlacementDecision> decide(TimePoint now, std::size_t maximumPlacements);

    std::size_t pendingCount() const;
    std::size_t runningCount() const;
    Resources committed(const std::string &worker) const;

private:
    std::unique_ptr<Internal::PlacementState> m_state;
};

} // namespace Hyssop
