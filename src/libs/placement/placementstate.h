#pragma once

#include "capacityledger.h"
#include "evictionbudget.h"
#include "evictionpolicy.h"
#include "fairqueue.h"
#include "interferencemodel.h"
#include "nametable.h"
#include "placementoptions.h"
#include "sizeestimator.h"
#include "tasktable.h"
#include "workerhealth.h"
#include "workerindex.h"
#include "workerrecord.h"

#include <contract/contract.h>
#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hyssop::Internal {

struct TeamInfo
{
    std::uint32_t customer = 0;
    bool urgentAllowed = false;
};

struct CustomerInfo
{
    Favor favor = Favor::Latency;
    double batchShare = 1;
    Resources batchInUse;
};

struct ServiceInfo
{
    double objectiveUs = 0;
    std::uint32_t customer = 0;
};

/// Resources of a worker that are reserved for a pending task.
struct Reservation
{
    std::uint32_t worker = NoId;
    Resources amount;
    TimePoint madeAt{};
};

/// Data of the placement engine, with the operations that keep its parts consistent with each other.
struct PlacementState
{
    explicit PlacementState(const PlacementOptions &options);

    std::uint32_t customerId(const std::string &customer);
    std::uint32_t teamId(const std::string &customer, const std::string &team);
    std::uint32_t serviceId(const std::string &customer, const std::string &service);

    /// Returns the id of the worker; creates a record without capacity if there is none.
    std::uint32_t workerId(const std::string &name);
    /// Deletes the record of a removed worker that has no tasks left.
    void removeIfUnused(std::uint32_t worker);
    bool schedulable(std::uint32_t worker) const;

    /// Returns the resources available to new tasks. Components are negative on an overcommitted worker.
    Resources available(std::uint32_t worker) const;
    /// Returns the processor load of the worker as a fraction of its capacity: 0 to 1 and above.
    double load(std::uint32_t worker, std::int64_t addedMilliCores = 0) const;
    void refreshIndex(std::uint32_t worker);

    /// Returns the resources to commit for @p task.
    Resources sizeOf(const TaskRecord &task) const;

    /// Records that @p task runs on @p worker. The caller has added @p committed to the ledger.
    void startRunning(std::uint32_t task, std::uint32_t worker, const Resources &committed, TimePoint now);
    /// Releases the resources of a running task and removes it.
    void endRunning(std::uint32_t task, TimePoint now);
    /// Returns true while the eviction of @p task is in progress. An eviction without effect expires after a timeout.
    bool isBeingEvicted(const RunningTask &task) const;
    void applyUsage(std::uint32_t task, const Resources &usage);

    void enqueue(std::uint32_t task);
    void dequeue(std::uint32_t task);
    void removePending(std::uint32_t task);

    void reserve(std::uint32_t task, std::uint32_t worker, const Resources &amount, TimePoint now);
    void cancelReservation(std::uint32_t task);

    std::uint32_t randomBelow(std::uint32_t bound) { return static_cast<std::uint32_t>(random() % bound); }
    KindOnWorker *findKind(std::uint32_t worker, const TaskRecord &task);
    int &replicasInRack(std::uint32_t service, std::uint32_t rack);

    PlacementOptions options;
    std::mt19937_64 random;

    NameTable kinds{InterferenceModel::MaximumKinds};
    NameTable teams;
    NameTable customers;
    NameTable services;
    NameTable racks;
    std::vector<TeamInfo> teamInfo;
    std::vector<CustomerInfo> customerInfo;
    std::vector<ServiceInfo> serviceInfo;

    std::unordered_map<std::string, std::uint32_t> workerIds;
    std::vector<WorkerRecord> workers;
    std::vector<std::uint32_t> freeWorkerIds;
    std::unordered_map<std::uint64_t, int> replicas; // by service and rack

    CapacityLedger ledger;
    WorkerIndex freeIndex;
    WorkerIndex capacityIndex;
    SizeEstimator sizes;
    InterferenceModel interference;
    FairQueue queue;
    WorkerHealth health;
    EvictionPolicy eviction;
    EvictionBudget budget;
    TaskTable tasks;
    std::size_t runningCount = 0;
    TimePoint lastTime{}; // latest time passed by the caller, used by release(), which has no such parameter

    std::unordered_map<std::uint32_t, Reservation> reservations; // by pending task
    std::uint32_t headTask = NoId; // batch task that has a reservation
    std::unordered_map<std::uint32_t, TimePoint> unplaceableSince; // tasks larger than any worker or than their quota
    std::unordered_map<std::string, std::int64_t> evictedQueueKeys; // queue keys of evicted jobs, restored when the jobs are pending again
    std::map<std::uint32_t, EvictionPolicy::Action> dueActions; // by worker
};

} // namespace Hyssop::Internal
