#include "jobledger.h"

#include <algorithm>

namespace Hyssop {

namespace {

// Number of recent failures that are kept for a task without a failure limit, so that the next start avoids those
// workers.
constexpr std::size_t MaximumRememberedFailures = 3;
constexpr std::size_t DeferredCleanupInterval = 1024; // applied records between two removals of old deferred records
constexpr const char *CancelledElsewhere = "cancelled before the transfer from another failure domain";

std::string jobIdOf(const Wire::Record &record)
{
    if (record.__isset.jobSubmitted) {
        return record.jobSubmitted.spec.jobId;
    }
    if (record.__isset.jobCancelled) {
        return record.jobCancelled.jobId;
    }
    if (record.__isset.attemptIntent) {
        return record.attemptIntent.jobId;
    }
    if (record.__isset.attemptEnded) {
        return record.attemptEnded.jobId;
    }
    if (record.__isset.jobEnded) {
        return record.jobEnded.jobId;
    }
    if (record.__isset.jobTransferred) {
        return record.jobTransferred.jobId;
    }
    return {};
}

void end(JobEntry &entry, Wire::AttemptOutcome::type outcome, const std::string &reason)
{
    entry.state = JobState::Ended;
    entry.outcome = outcome;
    entry.reason = reason;
}

void cancelPending(JobEntry &entry, const std::string &reason)
{
    entry.cancelRequested = true;
    end(entry, Wire::AttemptOutcome::Cancelled, reason);
}

LedgerVerdict cancel(JobEntry &entry, const std::string &reason)
{
    if (entry.cancelRequested || entry.state == JobState::Ended || entry.transferConfirmed) {
        return LedgerVerdict::Ignored;
    }
    // An unconfirmed transfer carries the cancellation to the other domain.
    entry.cancelRequested = true;
    if (entry.state == JobState::Pending) {
        cancelPending(entry, reason);
    }
    return LedgerVerdict::Accepted;
}

void recordFailure(JobEntry &entry, const std::string &reason)
{
    const bool repeated = std::find(entry.failedWorkers.begin(), entry.failedWorkers.end(), entry.worker) != entry.failedWorkers.end();
    if (!repeated) {
        entry.failedWorkers.push_back(entry.worker);
    }
    const int limit = entry.spec.maximumFailures;
    if (limit <= 0) {
        if (entry.failedWorkers.size() > MaximumRememberedFailures) {
            entry.failedWorkers.erase(entry.failedWorkers.begin());
        }
        return;
    }
    if (entry.failedWorkers.size() >= static_cast<std::size_t>(limit)) {
        end(entry, Wire::AttemptOutcome::Failed, reason);
    }
}

} // namespace

JobLedger::JobLedger(std::chrono::milliseconds retention)
    : m_retention(retention)
{
}

const JobEntry *JobLedger::job(const std::string &jobId) const
{
    const auto found = m_jobs.find(jobId);
    return found == m_jobs.end() ? nullptr : &found->second;
}

JobEntry *JobLedger::find(const std::string &jobId)
{
    const auto found = m_jobs.find(jobId);
    return found == m_jobs.end() ? nullptr : &found->second;
}

LedgerVerdict JobLedger::apply(LogPosition position, WallTime time, const Wire::Record &record)
{
    if (m_firstOffset < 0) {
        m_firstOffset = position.offset;
    }
    m_appliedUpTo = position.offset;
    m_time = std::max(m_time, time);
    removeExpiredJobs(m_time);
    if (++m_appliedRecords % DeferredCleanupInterval == 0) {
        removeExpiredDeferred(m_time);
    }
    if (record.__isset.ownershipClaim) {
        return applyClaim(position, record.ownershipClaim);
    }
    if (record.__isset.jobSnapshot) {
        return applySnapshot(time, record.jobSnapshot);
    }
    const std::string jobId = jobIdOf(record);
    if (truncated() && !jobId.empty()) {
        defer(jobId, position, time, record);
        if (!m_jobs.contains(jobId) && !record.__isset.jobSubmitted) {
            return LedgerVerdict::Deferred;
        }
    }
    return applyToJobs(time, record);
}

void JobLedger::defer(const std::string &jobId, LogPosition position, WallTime time, const Wire::Record &record)
{
    const JobEntry *entry = job(jobId);
    if (entry && entry->complete) {
        return;
    }
    m_deferred[jobId].push_back({position, time, m_term, record});
}

LedgerVerdict JobLedger::applyToJobs(WallTime time, const Wire::Record &record)
{
    LedgerVerdict verdict = LedgerVerdict::Unrelated;
    std::string jobId = jobIdOf(record);
    if (record.__isset.jobSubmitted) {
        verdict = applySubmission(time, record.jobSubmitted);
    } else if (record.__isset.jobCancelled) {
        verdict = applyCancellation(record.jobCancelled);
    } else if (record.__isset.attemptIntent) {
        verdict = applyIntent(record.attemptIntent);
    } else if (record.__isset.attemptEnded) {
        verdict = applyAttemptEnd(record.attemptEnded);
    } else if (record.__isset.jobEnded) {
        verdict = applyJobEnd(record.jobEnded);
    } else if (record.__isset.jobTransferred) {
        verdict = applyTransfer(record.jobTransferred);
    } else if (record.__isset.transferConfirmed) {
        const auto transfer = m_transfers.find(record.transferConfirmed.transferId);
        if (transfer != m_transfers.end()) {
            jobId = transfer->second;
        }
        verdict = applyConfirmation(record.transferConfirmed);
    }
    // An ignored submission counts as well: a reader that sees only this one must still learn from a later snapshot
    // that the job had ended.
    if (verdict == LedgerVerdict::Accepted || record.__isset.jobSubmitted) {
        markChanged(jobId, time);
    }
    return verdict;
}

LedgerVerdict JobLedger::applyClaim(LogPosition position, const Wire::OwnershipClaim &claim)
{
    m_term = position.offset;
    m_claim = claim;
    return LedgerVerdict::Accepted;
}

bool JobLedger::termIsValid(std::int64_t term)
{
    if (m_term < 0 && truncated()) {
        // The claim was truncated. The first remaining record of an owner shows the term.
        m_term = term;
    }
    return term == m_term && term >= 0;
}

LedgerVerdict JobLedger::applySubmission(WallTime time, const Wire::JobSubmitted &submission)
{
    const std::string &jobId = submission.spec.jobId;
    if (jobId.empty()) {
        return LedgerVerdict::Ignored;
    }
    JobEntry *known = find(jobId);
    if (!known) {
        JobEntry entry;
        entry.spec = submission.spec;
        entry.checkpoint = submission.checkpoint;
        entry.attempt = submission.attempts;
        entry.submittedAtMs = submission.submittedAtMs;
        if (!submission.transferId.empty()) {
            entry.acceptedTransfers.insert(submission.transferId);
        }
        entry.publishedAt = time;
        entry.complete = !truncated();
        if (submission.cancelRequested) {
            cancelPending(entry, CancelledElsewhere);
        }
        m_jobs.emplace(jobId, std::move(entry));
        return LedgerVerdict::Accepted;
    }
    const bool transfer = !submission.transferId.empty();
    if (transfer && submission.cancelRequested && known->acceptedTransfers.contains(submission.transferId)) {
        // The sending domain recorded a cancellation after it had sent the transfer for the first time.
        return cancel(*known, CancelledElsewhere);
    }
    const bool returning = known->state == JobState::Transferred && transfer;
    if (returning && !known->acceptedTransfers.contains(submission.transferId)) {
        known->acceptedTransfers.insert(submission.transferId);
        m_transfers.erase(known->transferId);
        known->state = JobState::Pending;
        known->attempt = std::max(known->attempt, submission.attempts);
        known->checkpoint = submission.checkpoint;
        known->transferId.clear();
        known->toDomain.clear();
        known->transferConfirmed = false;
        // The job may return before the other domain saw a cancellation that was recorded here.
        if (submission.cancelRequested || known->cancelRequested) {
            cancelPending(*known, CancelledElsewhere);
        }
        return LedgerVerdict::Accepted;
    }
    // Replicas have fixed ids, so a contract that restores a service submits an ended id again.
    const bool replicaResubmitted = submission.spec.kind == Wire::TaskKind::Service && known->state == JobState::Ended;
    if (replicaResubmitted) {
        known->spec = submission.spec;
        known->state = JobState::Pending;
        known->cancelRequested = false;
        known->failedWorkers.clear();
        known->reason.clear();
        return LedgerVerdict::Accepted;
    }
    return LedgerVerdict::Ignored;
}

LedgerVerdict JobLedger::applyCancellation(const Wire::JobCancelled &cancellation)
{
    JobEntry *entry = find(cancellation.jobId);
    return entry ? cancel(*entry, "cancelled by " + cancellation.operatorName) : LedgerVerdict::Ignored;
}

LedgerVerdict JobLedger::applyIntent(const Wire::AttemptIntent &intent)
{
    JobEntry *entry = find(intent.jobId);
    if (!termIsValid(intent.term) || !entry) {
        return LedgerVerdict::Ignored;
    }
    if (entry->state != JobState::Pending || intent.attempt != entry->attempt + 1) {
        return LedgerVerdict::Ignored;
    }
    entry->state = JobState::Running;
    entry->attempt = intent.attempt;
    entry->worker = intent.worker;
    entry->intentTerm = intent.term;
    return LedgerVerdict::Accepted;
}

LedgerVerdict JobLedger::applyAttemptEnd(const Wire::AttemptEnded &ended)
{
    JobEntry *entry = find(ended.jobId);
    if (!termIsValid(ended.term) || !entry) {
        return LedgerVerdict::Ignored;
    }
    if (entry->state != JobState::Running || ended.attempt != entry->attempt) {
        return LedgerVerdict::Ignored;
    }
    const bool service = entry->spec.kind == Wire::TaskKind::Service;
    entry->state = JobState::Pending;
    if (!ended.checkpoint.empty()) {
        entry->checkpoint = ended.checkpoint;
    }
    if (ended.outcome == Wire::AttemptOutcome::Finished && !service) {
        end(*entry, ended.outcome, ended.reason);
        return LedgerVerdict::Accepted;
    }
    if (ended.outcome == Wire::AttemptOutcome::Cancelled || entry->cancelRequested) {
        end(*entry, Wire::AttemptOutcome::Cancelled, ended.reason);
        return LedgerVerdict::Accepted;
    }
    if (ended.outcome == Wire::AttemptOutcome::Failed) {
        recordFailure(*entry, ended.reason);
    }
    return LedgerVerdict::Accepted;
}

LedgerVerdict JobLedger::applyJobEnd(const Wire::JobEnded &ended)
{
    JobEntry *entry = find(ended.jobId);
    if (!termIsValid(ended.term) || !entry || entry->state != JobState::Pending) {
        return LedgerVerdict::Ignored;
    }
    end(*entry, ended.outcome, ended.reason);
    return LedgerVerdict::Accepted;
}

LedgerVerdict JobLedger::applyTransfer(const Wire::JobTransferred &transfer)
{
    JobEntry *entry = find(transfer.jobId);
    if (!termIsValid(transfer.term) || !entry || entry->state != JobState::Pending) {
        return LedgerVerdict::Ignored;
    }
    entry->state = JobState::Transferred;
    entry->transferId = transfer.transferId;
    entry->toDomain = transfer.toDomain;
    entry->transferConfirmed = false;
    m_transfers[transfer.transferId] = transfer.jobId;
    return LedgerVerdict::Accepted;
}

LedgerVerdict JobLedger::applyConfirmation(const Wire::TransferConfirmed &confirmation)
{
    const auto transfer = m_transfers.find(confirmation.transferId);
    if (!termIsValid(confirmation.term) || transfer == m_transfers.end()) {
        return LedgerVerdict::Ignored;
    }
    JobEntry *entry = find(transfer->second);
    if (!entry || entry->transferId != confirmation.transferId) {
        m_transfers.erase(transfer);
        return LedgerVerdict::Ignored;
    }
    if (entry->cancelRequested && !confirmation.cancelRequested) {
        // The cancellation was recorded after the submission had been sent; the other domain does not know of it.
        return LedgerVerdict::Ignored;
    }
    m_transfers.erase(transfer);
    entry->transferConfirmed = true;
    return LedgerVerdict::Accepted;
}

LedgerVerdict JobLedger::applySnapshot(WallTime time, const Wire::JobSnapshot &snapshot)
{
    const std::string &jobId = snapshot.spec.jobId;
    if (jobId.empty()) {
        return LedgerVerdict::Ignored;
    }
    m_term = std::max(m_term, snapshot.term);
    JobEntry *known = find(jobId);
    const bool knownComplete = known ? known->complete : !truncated();
    if (knownComplete) {
        // The snapshot contains nothing that this reader has not derived from the stream.
        if (known) {
            known->publishedAt = time;
        }
        return LedgerVerdict::Ignored;
    }
    // The writer had read everything before this reader's first record only if its read offset is not older.
    const bool complete = snapshot.readUpTo >= m_firstOffset - 1;
    if (known && !complete) {
        return LedgerVerdict::Ignored;
    }
    JobEntry entry = entryOf(snapshot);
    entry.complete = complete;
    entry.provisional = !complete;
    entry.publishedAt = time;
    entry.intentTerm = snapshot.term;
    if (entry.state == JobState::Transferred && !entry.transferConfirmed) {
        m_transfers[entry.transferId] = jobId;
    }
    const WallTime changedAt = entry.changedAt;
    m_jobs[jobId] = std::move(entry);
    markChanged(jobId, changedAt);
    if (complete) {
        replayDeferred(jobId, snapshot.readUpTo, snapshot.term);
    }
    return LedgerVerdict::Accepted;
}

void JobLedger::replayDeferred(const std::string &jobId, std::int64_t readUpTo, std::int64_t snapshotTerm)
{
    const auto deferred = m_deferred.find(jobId);
    if (deferred == m_deferred.end()) {
        return;
    }
    const std::vector<DeferredRecord> records = std::move(deferred->second);
    m_deferred.erase(deferred);
    const std::int64_t currentTerm = m_term;
    for (const DeferredRecord &kept : records) {
        if (kept.position.offset <= readUpTo) {
            continue;
        }
        // If no claim before the record is visible, the snapshot's term was current at its position.
        m_term = kept.term >= 0 ? kept.term : snapshotTerm;
        applyToJobs(kept.time, kept.record);
    }
    m_term = currentTerm;
}

void JobLedger::removeExpiredDeferred(WallTime now)
{
    std::erase_if(m_deferred, [&](const auto &kept) { return kept.second.back().time + m_retention < now; });
}

void JobLedger::markChanged(const std::string &jobId, WallTime time)
{
    JobEntry *entry = find(jobId);
    if (!entry) {
        return;
    }
    entry->changedAt = time;
    const bool done = entry->state == JobState::Ended || (entry->state == JobState::Transferred && entry->transferConfirmed);
    if (!done) {
        m_openJobs.insert(jobId);
        return;
    }
    m_openJobs.erase(jobId);
    m_endedJobs.emplace(time, jobId);
}

void JobLedger::removeExpiredJobs(WallTime now)
{
    while (!m_endedJobs.empty() && m_endedJobs.begin()->first + m_retention < now) {
        const auto [time, jobId] = *m_endedJobs.begin();
        m_endedJobs.erase(m_endedJobs.begin());
        const JobEntry *entry = job(jobId);
        if (entry && !m_openJobs.contains(jobId) && entry->changedAt == time) {
            m_jobs.erase(jobId);
        }
    }
}

std::vector<Wire::JobSnapshot> JobLedger::dueSnapshots(WallTime now, std::size_t maximum) const
{
    std::vector<Wire::JobSnapshot> due;
    for (const auto &[jobId, entry] : m_jobs) {
        if (due.size() >= maximum) {
            break;
        }
        if (entry.provisional || now - entry.publishedAt < m_retention / 2) {
            continue;
        }
        Wire::JobSnapshot snapshot = snapshotOf(entry);
        snapshot.term = m_term;
        snapshot.readUpTo = m_appliedUpTo;
        due.push_back(std::move(snapshot));
    }
    return due;
}

} // namespace Hyssop
