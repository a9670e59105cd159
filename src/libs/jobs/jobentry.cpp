#include "jobentry.h"

#include <algorithm>
#include <array>

namespace Hyssop {

namespace {

struct OutcomeName
{
    Wire::AttemptOutcome::type outcome;
    const char *name;
};

constexpr std::array<OutcomeName, 3> EndedNames{{
    {Wire::AttemptOutcome::Finished, "finished"},
    {Wire::AttemptOutcome::Failed, "failed"},
    {Wire::AttemptOutcome::Cancelled, "cancelled"},
}};

constexpr const char *PendingName = "pending";
constexpr const char *RunningName = "running";
constexpr const char *TransferredName = "transferred";
constexpr const char *ConfirmedName = "transfer-confirmed";

constexpr std::int64_t MaximumTimeMs = 9'000'000'000'000; // a later time overflows WallTime

WallTime fromMilliseconds(std::int64_t value)
{
    const std::chrono::milliseconds time(std::clamp<std::int64_t>(value, 0, MaximumTimeMs));
    return WallTime(std::chrono::duration_cast<WallTime::duration>(time));
}

} // namespace

const char *jobStateName(const JobEntry &entry)
{
    switch (entry.state) {
    case JobState::Pending:
        return PendingName;
    case JobState::Running:
        return RunningName;
    case JobState::Transferred:
        return entry.transferConfirmed ? ConfirmedName : TransferredName;
    case JobState::Ended:
        break;
    }
    for (const OutcomeName &ended : EndedNames) {
        if (ended.outcome == entry.outcome) {
            return ended.name;
        }
    }
    return "failed";
}

Wire::JobSnapshot snapshotOf(const JobEntry &entry)
{
    Wire::JobSnapshot snapshot;
    snapshot.spec = entry.spec;
    snapshot.state = jobStateName(entry);
    snapshot.attempt = entry.attempt;
    snapshot.worker = entry.worker;
    snapshot.checkpoint = entry.checkpoint;
    snapshot.failedWorkers = entry.failedWorkers;
    snapshot.cancelRequested = entry.cancelRequested;
    snapshot.submittedAtMs = entry.submittedAtMs;
    snapshot.transferId = entry.transferId;
    snapshot.toDomain = entry.toDomain;
    snapshot.reason = entry.reason;
    snapshot.acceptedTransfers.assign(entry.acceptedTransfers.begin(), entry.acceptedTransfers.end());
    snapshot.changedAtMs = sinceEpoch(entry.changedAt).count();
    return snapshot;
}

JobEntry entryOf(const Wire::JobSnapshot &snapshot)
{
    JobEntry entry;
    entry.spec = snapshot.spec;
    entry.attempt = snapshot.attempt;
    entry.worker = snapshot.worker;
    entry.checkpoint = snapshot.checkpoint;
    entry.failedWorkers = snapshot.failedWorkers;
    entry.cancelRequested = snapshot.cancelRequested;
    entry.submittedAtMs = snapshot.submittedAtMs;
    entry.transferId = snapshot.transferId;
    entry.toDomain = snapshot.toDomain;
    entry.reason = snapshot.reason;
    entry.acceptedTransfers.insert(snapshot.acceptedTransfers.begin(), snapshot.acceptedTransfers.end());
    entry.changedAt = fromMilliseconds(snapshot.changedAtMs);
    entry.transferConfirmed = snapshot.state == ConfirmedName;
    if (snapshot.state == PendingName) {
        entry.state = JobState::Pending;
    } else if (snapshot.state == RunningName) {
        entry.state = JobState::Running;
    } else if (snapshot.state == TransferredName || snapshot.state == ConfirmedName) {
        entry.state = JobState::Transferred;
    } else {
        entry.state = JobState::Ended;
        entry.outcome = Wire::AttemptOutcome::Failed;
    }
    for (const OutcomeName &ended : EndedNames) {
        if (snapshot.state == ended.name) {
            entry.outcome = ended.outcome;
        }
    }
    return entry;
}

} // namespace Hyssop
