#pragma once

#include "jobentry.h"

#include "hyssop_types.h"

#include <utils/clock.h>
#include <wire/logposition.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

enum class LedgerVerdict {
    Accepted,
    Ignored, // no effect: the term is old, the record is a duplicate, or the job's state does not allow it
    Deferred, // about a job whose submission was truncated; kept until its snapshot arrives
    Unrelated, // a record of another stream
};

/// Replicated state machine of a failure domain's job stream. Every reader of the same stream reaches the same state.
class JobLedger
{
public:
    /// @p retention: minimum time for which the log keeps records. Ended jobs are kept for the same time.
    explicit JobLedger(std::chrono::milliseconds retention);

    /// Applies one record; positions must increase. @p time is the log's time of the batch.
    LedgerVerdict apply(LogPosition position, WallTime time, const Wire::Record &record);

    /// Offset of the highest claim; -1 if there is none.
    std::int64_t term() const { return m_term; }
    /// The highest claim.
    const Wire::OwnershipClaim &claim() const { return m_claim; }
    std::int64_t appliedUpTo() const { return m_appliedUpTo; }
    /// Log time of the last applied record.
    WallTime time() const { return m_time; }

    const JobEntry *job(const std::string &jobId) const;
    const std::map<std::string, JobEntry> &jobs() const { return m_jobs; }
    /// Jobs that have not ended and are not transferred, and transfers without confirmation.
    const std::set<std::string> &openJobs() const { return m_openJobs; }
    /// Job ids by transfer id.
    const std::map<std::string, std::string> &unconfirmedTransfers() const { return m_transfers; }
    /// Returns true if records about @p jobId are deferred until its snapshot arrives.
    bool awaitsSnapshot(const std::string &jobId) const { return !m_jobs.contains(jobId) && m_deferred.contains(jobId); }

    /// Returns snapshots of at most @p maximum jobs that were not published for half of the retention time at @p now.
    std::vector<Wire::JobSnapshot> dueSnapshots(WallTime now, std::size_t maximum) const;

private:
    struct DeferredRecord
    {
        LogPosition position;
        WallTime time;
        std::int64_t term = -1; // highest claim that was visible at the record
        Wire::Record record;
    };

    LedgerVerdict applyToJobs(WallTime time, const Wire::Record &record);
    LedgerVerdict applyClaim(LogPosition position, const Wire::OwnershipClaim &claim);
    LedgerVerdict applySubmission(WallTime time, const Wire::JobSubmitted &submission);
    LedgerVerdict applyCancellation(const Wire::JobCancelled &cancellation);
    LedgerVerdict applyIntent(const Wire::AttemptIntent &intent);
    LedgerVerdict applyAttemptEnd(const Wire::AttemptEnded &end);
    LedgerVerdict applyJobEnd(const Wire::JobEnded &end);
    LedgerVerdict applyTransfer(const Wire::JobTransferred &transfer);
    LedgerVerdict applyConfirmation(const Wire::TransferConfirmed &confirmation);
    LedgerVerdict applySnapshot(WallTime time, const Wire::JobSnapshot &snapshot);
    void defer(const std::string &jobId, LogPosition position, WallTime time, const Wire::Record &record);
    void replayDeferred(const std::string &jobId, std::int64_t readUpTo, std::int64_t snapshotTerm);
    void removeExpiredDeferred(WallTime now);
    JobEntry *find(const std::string &jobId);
    bool termIsValid(std::int64_t term);
    bool truncated() const { return m_firstOffset > FirstLogOffset; }
    void markChanged(const std::string &jobId, WallTime time);
    void removeExpiredJobs(WallTime now);

    std::chrono::milliseconds m_retention;
    std::map<std::string, JobEntry> m_jobs;
    std::set<std::string> m_openJobs;
    std::map<std::string, std::string> m_transfers; // unconfirmed transfer id to job id
    // Records after the first visible one, by job. They are applied again after the job's first complete snapshot.
    std::map<std::string, std::vector<DeferredRecord>> m_deferred;
    std::multimap<WallTime, std::string> m_endedJobs; // by the log time of their last record
    std::int64_t m_term = -1;
    Wire::OwnershipClaim m_claim;
    std::int64_t m_firstOffset = -1;
    std::int64_t m_appliedUpTo = -1;
    std::size_t m_appliedRecords = 0;
    WallTime m_time;
};

} // namespace Hyssop
