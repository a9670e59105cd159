#pragma once

#include "openattempt.h"
#include "proposaltable.h"
#include "replicaplanner.h"
#include "schedulercore.h"

#include <jobs/jobledger.h>
#include <jobs/ownershippolicy.h>
#include <placement/placementengine.h>
#include <workers/workerleasetable.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssop::Internal {

/// State of SchedulerCore. The methods are implemented in several source files: ownership and stream
/// (schedulercorestate.cpp), attempts on workers (attempts.cpp), placement (placements.cpp), transfers, replicas and
/// snapshots (housekeeping.cpp).
struct SchedulerCoreState
{
    explicit SchedulerCoreState(SchedulerCoreOptions coreOptions);

    // Ownership and stream.
    void apply(LogPosition position, WallTime time, const Wire::Record &record, TimePoint now);
    void applyClaim(TimePoint now);
    void becomeOwner(TimePoint now);
    void stepDown();
    void resolveProposal(const Wire::Record &record);
    void proposalFailed(std::int64_t id, TimePoint now);
    bool active() const;
    bool logReachable(TimePoint now) const;
    bool draining(TimePoint now) const;
    void updateIsolation(TimePoint now);
    std::vector<SchedulerAction> tick(TimePoint now);
    void tickOwner(TimePoint now);
    void renewClaim(TimePoint now);
    void propose(const std::string &key, Wire::Record record, TimePoint now);

    // Attempts on workers.
    void openAttempt(const std::string &jobId, const JobEntry &entry, StartState start, TimePoint now);
    void leaseAnswered(const std::string &worker, const LeaseResult &result, TimePoint sentAt, TimePoint now);
    void processTaskStatus(const std::string &jobId, OpenAttempt &attempt, const TaskStatus &task, const WorkerStatus &status, TimePoint now);
    void processMissingTask(const std::string &jobId, OpenAttempt &attempt, const WorkerStatus &status, TimePoint sentAt);
    bool stopOrphanTasks(const WorkerStatus &status);
    void handleWorkerRestart(const WorkerStatus &status);
    void commandAnswered(const SchedulerAction &command, CommandOutcome outcome, TimePoint now);
    void startAnswered(const StartTask &command, CommandOutcome outcome, TimePoint now);
    OpenAttempt *findAttempt(const std::string &jobId, int number);
    void setAttemptEnd(const std::string &jobId, OpenAttempt &attempt, Wire::AttemptOutcome::type outcome, const std::string &reason);
    void attemptEnded(const Wire::AttemptEnded &end, TimePoint now);
    void sendRenewals(TimePoint now);
    void handleLostWorkers(TimePoint now);
    void driveAttempts(TimePoint now);
    void driveStart(const std::string &jobId, OpenAttempt &attempt, const JobEntry &entry, TimePoint now);
    void driveStop(const std::string &jobId, OpenAttempt &attempt, TimePoint now);
    void driveEviction(const std::string &jobId, OpenAttempt &attempt, TimePoint now);
    void driveThrottle(const std::string &jobId, OpenAttempt &attempt, TimePoint now);
    void proposeEnd(const std::string &jobId, const OpenAttempt &attempt, TimePoint now);
    bool mustEvict(const OpenAttempt &attempt, bool isDraining) const;

    // Placement.
    void rebuildPlacement(TimePoint now);
    void syncPlacement(const std::string &jobId, TimePoint now);
    PendingTask pendingTask(const JobEntry &entry) const;
    void offerWorker(const std::string &worker, TimePoint now);
    void offerWorkers(TimePoint now);
    void decide(TimePoint now);
    void place(const PlaceTask &decision, TimePoint now);
    void reject(const RejectJob &decision, TimePoint now);
    bool permitValid(TimePoint now) const;
    bool startsAllowed(TimePoint now) const;

    // Transfers, replicas and snapshots.
    void transferPending(TimePoint now);
    void driveTransfers(TimePoint now);
    void driveTransfer(const JobEntry &entry, TimePoint now);
    void transferAppended(std::int64_t id, TimePoint now);
    void syncReplicas(TimePoint now);
    void publishSnapshots(TimePoint now);
    WallTime wallTime(TimePoint now) const;

    enum class EngineState {
        Absent,
        Pending,
        Placed,
    };
    struct TransferState
    {
        std::int64_t outstanding = 0; // id of the append in flight; 0 if there is none
        TimePoint sentAt;
        bool withCancellation = false; // the append in flight carries a cancellation
        bool appended = false;
    };
    struct LateStart
    {
        std::string worker;
        std::chrono::milliseconds notAfter{0}; // in the worker's clock
    };
    struct Offer
    {
        bool accepting = false;
        Resources capacity;
    };

    SchedulerCoreOptions options;
    JobLedger ledger;
    OwnershipPolicy policy;
    WorkerLeaseTable leases;
    ProposalTable proposals;
    ReplicaPlanner replicas;
    std::unique_ptr<PlacementEngine> engine;

    bool isOwner = false;
    bool isolated = false; // the log was unreachable for the whole grace period
    std::int64_t peerTerm = -1; // highest term reported by peers and workers
    std::optional<TimePoint> logReadAt;
    std::optional<TimePoint> claimAppliedAt;
    std::optional<TimePoint> claimRenewedAt;
    std::optional<TimePoint> configVerifiedAt;
    TimePoint lastAppliedAt;
    TimePoint lastTickAt;
    bool domainInService = false; // false until the configuration says that the domain is in service
    std::vector<std::string> otherDomains;
    std::vector<Contract> contracts;
    std::set<std::string> configuredWorkers;

    std::map<std::string, OpenAttempt> attempts; // by job id
    std::map<std::string, std::set<std::string>> attemptsOn; // job ids by worker
    std::map<std::string, EngineState> engineStates;
    std::map<std::string, Offer> offers;
    // Ended attempts whose start command may still reach the worker, by job id and attempt. A worker that forgot such a
    // task before the command's deadline would run it again.
    std::map<std::pair<std::string, int>, LateStart> lateStarts;
    std::set<std::string> workersWithOrphans; // workers that run a task without an open attempt
    std::map<std::string, TimePoint> refusedUntil; // by worker that refused a start; nothing is placed on it before
    std::map<std::string, TransferState> transfers; // by transfer id
    std::map<std::int64_t, std::string> transferIds; // append id to transfer id
    std::int64_t nextTransfer = -1; // negative, distinct from proposal ids
    TimePoint nextReplicaSync;
    TimePoint nextSnapshots;

    std::vector<SchedulerAction> actions; // returned by the next tick
};

} // namespace Hyssop::Internal
