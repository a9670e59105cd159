#include "schedulercorestate.h"

#include <algorithm>
#include <utility>

namespace Hyssop::Internal {

namespace {

using std::chrono::milliseconds;

// The stream is polled at least once a second. Nothing is proposed while the last successful read is older than this.
constexpr milliseconds MaximumLogReadAge{3000};
constexpr milliseconds RetryDelay{500}; // after a proposal that was not written
// A record that is neither refused nor read back within this time may still appear in the stream. The owner then claims
// a new term, so that the record has no effect.
constexpr milliseconds ProposalTimeout{30000};
constexpr milliseconds ClaimRenewalInterval{10000}; // minimum time between two claims of the owner
// Time for checkpointing batch tasks before an owner that can't reach the log stops renewing its leases.
constexpr milliseconds DrainLead{60000};

} // namespace

SchedulerCoreState::SchedulerCoreState(SchedulerCoreOptions coreOptions)
    : options(std::move(coreOptions))
    , ledger(options.logRetention)
    , policy({options.ownerTimeout, options.claimJitter, options.seed})
    , leases({options.leaseDuration, options.leaseMargin, options.renewInterval, options.logOutageGrace})
    , engine(std::make_unique<PlacementEngine>())
{
}

void SchedulerCoreState::apply(LogPosition position, WallTime time, const Wire::Record &record, TimePoint now)
{
    const LedgerVerdict verdict = ledger.apply(position, time, record);
    lastAppliedAt = now;
    if (record.__isset.ownershipClaim) {
        applyClaim(now);
        return;
    }
    if (!isOwner) {
        return;
    }
    resolveProposal(record);
    std::string jobId;
    if (record.__isset.jobSubmitted) {
        jobId = record.jobSubmitted.spec.jobId;
    } else if (record.__isset.jobCancelled) {
        jobId = record.jobCancelled.jobId;
    } else if (record.__isset.attemptIntent) {
        jobId = record.attemptIntent.jobId;
        if (verdict == LedgerVerdict::Accepted) {
            openAttempt(jobId, *ledger.job(jobId), StartState::NotSent, now);
        }
    } else if (record.__isset.attemptEnded) {
        jobId = record.attemptEnded.jobId;
        if (verdict == LedgerVerdict::Accepted) {
            attemptEnded(record.attemptEnded, now);
        }
    } else if (record.__isset.jobEnded) {
        jobId = record.jobEnded.jobId;
    } else if (record.__isset.jobTransferred) {
        jobId = record.jobTransferred.jobId;
    } else if (record.__isset.jobSnapshot) {
        jobId = record.jobSnapshot.spec.jobId;
    }
    if (jobId.empty()) {
        return;
    }
    const auto open = attempts.find(jobId);
    if (open != attempts.end()) {
        // A submission can also carry a cancellation, if a transfer was cancelled before it was confirmed.
        open->second.cancelRequested = ledger.job(jobId)->cancelRequested;
    }
    syncPlacement(jobId, now);
}

void SchedulerCoreState::resolveProposal(const Wire::Record &record)
{
    const std::int64_t term = ledger.term();
    if (record.__isset.jobSubmitted) {
        proposals.resolve("replica/" + record.jobSubmitted.spec.jobId);
    } else if (record.__isset.jobCancelled) {
        proposals.resolve("replica/" + record.jobCancelled.jobId);
    } else if (record.__isset.attemptIntent && record.attemptIntent.term == term) {
        proposals.resolve(record.attemptIntent.jobId);
    } else if (record.__isset.attemptEnded && record.attemptEnded.term == term) {
        proposals.resolve(record.attemptEnded.jobId);
    } else if (record.__isset.jobEnded && record.jobEnded.term == term) {
        proposals.resolve(record.jobEnded.jobId);
    } else if (record.__isset.jobTransferred && record.jobTransferred.term == term) {
        proposals.resolve(record.jobTransferred.jobId);
    } else if (record.__isset.transferConfirmed && record.transferConfirmed.term == term) {
        transfers.erase(record.transferConfirmed.transferId);
        proposals.resolve("confirm/" + record.transferConfirmed.transferId);
    } else if (record.__isset.jobSnapshot && record.jobSnapshot.term == term) {
        proposals.resolve("snapshot/" + record.jobSnapshot.spec.jobId);
    }
}

void SchedulerCoreState::applyClaim(TimePoint now)
{
    const Wire::OwnershipClaim &claim = ledger.claim();
    policy.ownerSeen(now);
    claimAppliedAt = now;
    if (claim.instance == options.instance && claim.incarnation == options.incarnation) {
        becomeOwner(now);
        return;
    }
    if (isOwner) {
        policy.ownershipLost();
    }
    stepDown();
}

void SchedulerCoreState::becomeOwner(TimePoint now)
{
    stepDown();
    isOwner = true;
    leases.beginTerm(now);
    for (const std::string &worker : configuredWorkers) {
        leases.add(worker, now);
    }
    rebuildPlacement(now);
    for (const std::string &jobId : ledger.openJobs()) {
        const JobEntry &entry = *ledger.job(jobId);
        if (entry.state == JobState::Running && !entry.provisional) {
            openAttempt(jobId, entry, StartState::Adopted, now);
        }
        syncPlacement(jobId, now);
    }
}

void SchedulerCoreState::stepDown()
{
    isOwner = false;
    proposals.clear();
    attempts.clear();
    attemptsOn.clear();
    transfers.clear();
    transferIds.clear();
    lateStarts.clear();
    workersWithOrphans.clear();
    refusedUntil.clear();
    actions.clear();
}

void SchedulerCoreState::proposalFailed(std::int64_t id, TimePoint now)
{
    const auto transfer = transferIds.find(id);
    if (transfer != transferIds.end()) {
        transfers[transfer->second].outstanding = 0;
        transferIds.erase(transfer);
        return;
    }
    const auto key = proposals.fail(id, now + RetryDelay);
    if (key) {
        syncPlacement(*key, now);
    }
}

bool SchedulerCoreState::active() const
{
    return isOwner && !isolated && peerTerm <= ledger.term();
}

bool SchedulerCoreState::logReachable(TimePoint now) const
{
    return logReadAt && now - *logReadAt <= MaximumLogReadAge;
}

bool SchedulerCoreState::draining(TimePoint now) const
{
    const milliseconds lead = std::min(DrainLead, options.logOutageGrace / 2);
    return isOwner && (!logReadAt || now - *logReadAt >= options.logOutageGrace - lead);
}

void SchedulerCoreState::updateIsolation(TimePoint now)
{
    isolated = isOwner && (!logReadAt || now - *logReadAt >= options.logOutageGrace);
}

std::vector<SchedulerAction> SchedulerCoreState::tick(TimePoint now)
{
    lastTickAt = now;
    updateIsolation(now);
    if (active()) {
        policy.ownerSeen(now);
        tickOwner(now);
    } else {
        actions.clear();
    }
    if (!isOwner && policy.shouldClaim(now)) {
        policy.claimProposed(now);
        ProposeClaim claim;
        claim.id = proposals.add("claim", now);
        claim.claim.instance = options.instance;
        claim.claim.incarnation = options.incarnation;
        actions.emplace_back(std::move(claim));
    }
    return std::exchange(actions, {});
}

void SchedulerCoreState::tickOwner(TimePoint now)
{
    sendRenewals(now);
    handleLostWorkers(now);
    driveAttempts(now);
    offerWorkers(now);
    decide(now);
    if (!logReachable(now)) {
        return;
    }
    transferPending(now);
    driveTransfers(now);
    syncReplicas(now);
    publishSnapshots(now);
    renewClaim(now);
}

void SchedulerCoreState::renewClaim(TimePoint now)
{
    const std::optional<TimePoint> oldest = proposals.oldest();
    const bool stuck = oldest && now - *oldest > ProposalTimeout;
    // A reader of a truncated log needs a claim to validate the terms of later records.
    const bool expiring = claimAppliedAt && now - *claimAppliedAt > options.logRetention / 2;
    const bool recent = claimRenewedAt && now - *claimRenewedAt < ClaimRenewalInterval;
    if ((!stuck && !expiring) || recent) {
        return;
    }
    claimRenewedAt = now;
    ProposeClaim claim;
    claim.id = proposals.add("claim", now);
    claim.claim.instance = options.instance;
    claim.claim.incarnation = options.incarnation;
    actions.emplace_back(std::move(claim));
}

void SchedulerCoreState::propose(const std::string &key, Wire::Record record, TimePoint now)
{
    Propose proposal;
    proposal.id = proposals.add(key, now);
    proposal.record = std::move(record);
    actions.emplace_back(std::move(proposal));
}

} // namespace Hyssop::Internal
