#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

enum class JobState {
    Pending, // no open attempt
    Running, // an attempt is open: its intent is durable and its end is not
    Ended,
    Transferred, // moved to another failure domain
};

/// State of one job, derived from the job stream.
struct JobEntry
{
    Wire::JobSpec spec;
    JobState state = JobState::Pending;
    int attempt = 0; // last attempt, open or ended
    std::string worker; // of the last attempt
    std::int64_t intentTerm = -1; // of the open attempt
    std::string checkpoint; // from which the next attempt resumes
    std::vector<std::string> failedWorkers; // distinct, in the order of the failures
    bool cancelRequested = false;
    Wire::AttemptOutcome::type outcome = Wire::AttemptOutcome::Finished; // of an ended job
    std::string reason;
    std::int64_t submittedAtMs = 0;
    std::string transferId; // of the transfer to another failure domain
    std::string toDomain;
    bool transferConfirmed = false;
    std::set<std::string> acceptedTransfers;
    WallTime changedAt; // log time of the last record about the job
    WallTime publishedAt; // log time of the last record from which the whole entry can be restored
    bool provisional = false; // from a snapshot that does not cover everything that was truncated for this reader; not to be acted on
    bool complete = true; // the reader saw every record about the job, or a complete snapshot
};

/// Returns the name of the entry's state as used in snapshots and replies.
const char *jobStateName(const JobEntry &entry);

/// Converts between an entry and its snapshot.
Wire::JobSnapshot snapshotOf(const JobEntry &entry);
JobEntry entryOf(const Wire::JobSnapshot &snapshot);

} // namespace Hyssop
