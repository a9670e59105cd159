#include "schedulercorestate.h"

#include <functional>

namespace Hyssop::Internal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TransferRepeatInterval{2000};
constexpr milliseconds TransferAnswerTimeout{15000}; // an append without an answer is sent again; the receiving domain recognizes the transfer id
constexpr milliseconds ReplicaInterval{500};
constexpr milliseconds SnapshotInterval{1000};
constexpr std::size_t SnapshotsPerInterval = 64;
constexpr const char *ContractOperator = "contract"; // operator name in cancellations that result from a contract

} // namespace

void SchedulerCoreState::transferPending(TimePoint now)
{
    if (domainInService || otherDomains.empty() || !permitValid(now)) {
        return;
    }
    for (const std::string &jobId : ledger.openJobs()) {
        const JobEntry &entry = *ledger.job(jobId);
        const bool transferable = entry.state == JobState::Pending && !entry.provisional && entry.spec.kind == Wire::TaskKind::Batch;
        if (!transferable || !proposals.mayPropose(jobId, now)) {
            continue;
        }
        const std::size_t choice = std::hash<std::string>()(jobId) % otherDomains.size();
        Wire::JobTransferred transfer;
        transfer.term = ledger.term();
        transfer.jobId = jobId;
        transfer.toDomain = otherDomains[choice];
        // Unique for each transfer of the job, because the ledger's offset increases between two transfers.
        transfer.transferId = options.domain + "/" + jobId + "/" + std::to_string(ledger.appliedUpTo());
        Wire::Record record;
        record.__set_jobTransferred(transfer);
        propose(jobId, std::move(record), now);
    }
}

void SchedulerCoreState::driveTransfers(TimePoint now)
{
    for (const auto &[transferId, jobId] : ledger.unconfirmedTransfers()) {
        const JobEntry *entry = ledger.job(jobId);
        if (entry && entry->state == JobState::Transferred && entry->transferId == transferId && !entry->provisional) {
            driveTransfer(*entry, now);
        }
    }
}

void SchedulerCoreState::driveTransfer(const JobEntry &entry, TimePoint now)
{
    TransferState &transfer = transfers[entry.transferId];
    const bool current = transfer.withCancellation == entry.cancelRequested;
    if (transfer.appended && current) {
        const std::string key = "confirm/" + entry.transferId;
        if (!proposals.mayPropose(key, now)) {
            return;
        }
        Wire::TransferConfirmed confirmation;
        confirmation.term = ledger.term();
        confirmation.transferId = entry.transferId;
        confirmation.cancelRequested = transfer.withCancellation;
        Wire::Record record;
        record.__set_transferConfirmed(confirmation);
        propose(key, std::move(record), now);
        return;
    }
    const milliseconds retryDelay = transfer.outstanding != 0 ? TransferAnswerTimeout : TransferRepeatInterval;
    if (transfer.sentAt != TimePoint() && now - transfer.sentAt < retryDelay) {
        return;
    }
    transferIds.erase(transfer.outstanding);
    transfer.outstanding = nextTransfer--;
    transfer.sentAt = now;
    transfer.withCancellation = entry.cancelRequested;
    transfer.appended = false;
    transferIds[transfer.outstanding] = entry.transferId;
    ProposeTransfer action;
    action.id = transfer.outstanding;
    action.toDomain = entry.toDomain;
    action.submission.spec = entry.spec;
    action.submission.checkpoint = entry.checkpoint;
    action.submission.transferId = entry.transferId;
    action.submission.submittedAtMs = entry.submittedAtMs;
    action.submission.attempts = entry.attempt;
    action.submission.cancelRequested = entry.cancelRequested;
    actions.emplace_back(std::move(action));
}

void SchedulerCoreState::transferAppended(std::int64_t id, TimePoint)
{
    const auto found = transferIds.find(id);
    if (found == transferIds.end()) {
        return;
    }
    TransferState &transfer = transfers[found->second];
    transfer.outstanding = 0;
    transfer.appended = true;
    transferIds.erase(found);
}

void SchedulerCoreState::syncReplicas(TimePoint now)
{
    // Replicas are created and cancelled only while the configuration is known to be recent.
    if (now < nextReplicaSync || !replicas.ready() || !permitValid(now)) {
        return;
    }
    nextReplicaSync = now + ReplicaInterval;
    const ReplicaChanges changes = replicas.plan(ledger);
    for (const Wire::JobSpec &spec : changes.submissions) {
        const std::string key = "replica/" + spec.jobId;
        if (!domainInService || !proposals.mayPropose(key, now)) {
            continue;
        }
        Wire::JobSubmitted submission;
        submission.spec = spec;
        submission.submittedAtMs = sinceEpoch(wallTime(now)).count();
        Wire::Record record;
        record.__set_jobSubmitted(submission);
        propose(key, std::move(record), now);
    }
    for (const std::string &jobId : changes.cancellations) {
        const std::string key = "replica/" + jobId;
        if (!proposals.mayPropose(key, now)) {
            continue;
        }
        Wire::JobCancelled cancellation;
        cancellation.jobId = jobId;
        cancellation.operatorName = ContractOperator;
        Wire::Record record;
        record.__set_jobCancelled(cancellation);
        propose(key, std::move(record), now);
    }
}

void SchedulerCoreState::publishSnapshots(TimePoint now)
{
    if (now < nextSnapshots) {
        return;
    }
    nextSnapshots = now + SnapshotInterval;
    for (Wire::JobSnapshot &snapshot : ledger.dueSnapshots(wallTime(now), SnapshotsPerInterval)) {
        const std::string key = "snapshot/" + snapshot.spec.jobId;
        if (!proposals.mayPropose(key, now)) {
            continue;
        }
        Wire::Record record;
        record.__set_jobSnapshot(snapshot);
        propose(key, std::move(record), now);
    }
}

WallTime SchedulerCoreState::wallTime(TimePoint now) const
{
    return ledger.time() + std::chrono::duration_cast<WallTime::duration>(now - lastAppliedAt);
}

} // namespace Hyssop::Internal
