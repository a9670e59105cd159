#include "fakelog.h"

#include <map>

namespace Hyssop::Testing {

namespace {

const char *outcomeName(Wire::AttemptOutcome::type outcome)
{
    switch (outcome) {
    case Wire::AttemptOutcome::Finished:
        return "finished";
    case Wire::AttemptOutcome::Failed:
        return "failed";
    case Wire::AttemptOutcome::Evicted:
        return "evicted";
    case Wire::AttemptOutcome::Lost:
        return "lost";
    case Wire::AttemptOutcome::NotStarted:
        return "not-started";
    case Wire::AttemptOutcome::Cancelled:
        return "cancelled";
    }
    return "?";
}

std::string attemptName(const std::string &jobId, int attempt)
{
    return jobId + "/" + std::to_string(attempt);
}

} // namespace

std::string describe(const Wire::Record &record)
{
    if (record.__isset.ownershipClaim) {
        return "claim by " + record.ownershipClaim.instance + "." + std::to_string(record.ownershipClaim.incarnation);
    }
    if (record.__isset.jobSubmitted) {
        const Wire::JobSubmitted &submission = record.jobSubmitted;
        return "submitted " + submission.spec.jobId + (submission.transferId.empty() ? "" : " transfer " + submission.transferId);
    }
    if (record.__isset.jobCancelled) {
        return "cancelled " + record.jobCancelled.jobId;
    }
    if (record.__isset.attemptIntent) {
        const Wire::AttemptIntent &intent = record.attemptIntent;
        return "intent " + attemptName(intent.jobId, intent.attempt) + " on " + intent.worker + " term " + std::to_string(intent.term);
    }
    if (record.__isset.attemptEnded) {
        const Wire::AttemptEnded &end = record.attemptEnded;
        return "end " + attemptName(end.jobId, end.attempt) + " " + outcomeName(end.outcome) + " term " + std::to_string(end.term);
    }
    if (record.__isset.jobEnded) {
        return "job end " + record.jobEnded.jobId + " " + outcomeName(record.jobEnded.outcome);
    }
    if (record.__isset.jobTransferred) {
        return "transferred " + record.jobTransferred.jobId + " to " + record.jobTransferred.toDomain;
    }
    if (record.__isset.transferConfirmed) {
        return "confirmed " + record.transferConfirmed.transferId;
    }
    if (record.__isset.jobSnapshot) {
        return "snapshot " + record.jobSnapshot.spec.jobId + " " + record.jobSnapshot.state;
    }
    return "other";
}

} // namespace Hyssop::Testing
