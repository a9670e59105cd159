#pragma once

#include "jobkeys.h"

#include "hyssop_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Hyssop {

struct KeyedRecord;

/// What the job topic says about one job.
struct JobEntry
{
    std::optional<Wire::StepJob> job; // none: cancelled before its submission was seen; without steps: ended
    Wire::JobProgress progress;
    std::int64_t progressOffset = -1;
    bool cancelled = false;

    /// Phase to show to callers: a cancelled job that has not ended otherwise is cancelled.
    Wire::JobPhase::type phase() const;
    bool isEnded() const;
};

/// Copy of the job topic, built from its records. Every instance that has read the same records holds the same table.
/// Applying a record again changes nothing.
class JobTable
{
public:
    /// Applies one record. Bytes that can't be decoded are counted and change nothing. Returns the key's meaning.
    JobKey apply(const KeyedRecord &record);

    const JobEntry *find(const std::string &jobId) const;
    const std::map<std::string, JobEntry> &jobs() const { return m_jobs; }

    /// The newest claim of the topic.
    const std::optional<Wire::TopicClaim> &claim() const { return m_claim; }

    /// What earlier owners have learned about tails.
    const Wire::LearnedTails &learnedTails() const { return m_learnedTails; }

    /// Number of accepted jobs of @p queue without a start time for which no task has started.
    std::size_t pendingJobCount(const std::string &queue) const;

    std::uint64_t malformedRecords() const { return m_malformed; }

private:
    void applySubmission(const JobKey &key, const KeyedRecord &record);
    void applyCancellation(const JobKey &key, const KeyedRecord &record);
    void applyProgress(const JobKey &key, const KeyedRecord &record);
    void applyClaim(const KeyedRecord &record);
    void applyTails(const KeyedRecord &record);

    std::map<std::string, JobEntry> m_jobs;
    std::optional<Wire::TopicClaim> m_claim;
    std::int64_t m_claimOffset = -1;
    Wire::LearnedTails m_learnedTails;
    std::uint64_t m_malformed = 0;
};

} // namespace Hyssop
