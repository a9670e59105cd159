#pragma once

#include "jobkeys.h"
#include "servingsubmission.h"

#include "hyssop_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

struct KeyedRecord;

/// State of a job according to the job topic and, during a takeover, the runs topic.
struct TopicJob
{
    std::optional<Wire::StepJob> submission; // none: only a cancellation or progress has been read so far; no steps: the job has ended and was reduced
    Wire::JobProgress progress; // without steps, unless an earlier version has written it
    std::optional<Wire::JobProgress> runs; // according to the runs topic, while a takeover reads that
    std::int64_t progressOffset = -1;
    bool cancelled = false;

    /// Returns the phase to report to callers. A cancellation takes effect unless the job has completed or failed.
    Wire::JobPhase::type phase() const;
    bool isEnded() const;
};

/// Materialized view of the job topic. Instances that have read the same records hold identical tables. Applying a record is
/// idempotent.
class JobTable
{
public:
    /// Applies a record and returns its decoded key. Records that cannot be decoded are counted and otherwise ignored.
    JobKey apply(const KeyedRecord &record);

    /// Applies a record of the runs topic.
    void applyRuns(const KeyedRecord &record);

    /// Forgets what applyRuns() has added, except for what was learned about tail latencies.
    void clearRuns();

    /// Returns the jobs in the runs topic that no longer have runs there that matter.
    std::vector<std::string> jobsWithObsoleteRuns() const;

    const TopicJob *find(const std::string &jobId) const;
    const std::map<std::string, TopicJob> &jobs() const { return m_jobs; }

    /// Returns the newest ownership claim of the topic.
    const std::optional<Wire::TopicClaim> &claim() const { return m_claim; }

    /// Returns what previous owners have learned about tail latencies.
    const Wire::LearnedTails &learnedTails() const { return m_learnedTails; }

    /// Returns the room for serving tasks that an owner has published last.
    const std::optional<Wire::ServingRoom> &servingRoom() const { return m_servingRoom; }

    /// Returns which workers have not reported to the owner that has published this last.
    const std::optional<Wire::SilentWorkers> &silentWorkers() const { return m_silentWorkers; }

    /// Returns the newest offer to take the topic over.
    const std::optional<Wire::TakeoverOffer> &takeoverOffer() const { return m_takeoverOffer; }

    /// Return the offsets of the newest record of silent workers and of the newest claim; -1: none.
    std::int64_t silentWorkersOffset() const { return m_silentWorkersOffset; }
    std::int64_t claimOffset() const { return m_claimOffset; }

    /// Returns the submissions with serving tasks that the published room does not take into account, by offset. Only the newest ones
    /// are kept if there are many.
    const std::map<std::int64_t, ServingSubmission> &servingSubmissionsSinceRoom() const { return m_servingSubmissions; }

    /// Returns the number of accepted jobs of @p queue for which no task has started. Jobs with a start time are not counted.
    std::size_t pendingJobCount(const std::string &queue) const;

    std::uint64_t malformedRecords() const { return m_malformedRecords; }

private:
    void applySubmission(const JobKey &key, const KeyedRecord &record);
    void applyCancellation(const JobKey &key, const KeyedRecord &record);
    void applyProgress(const JobKey &key, const KeyedRecord &record);
    void applyClaim(const KeyedRecord &record);
    void applyLearnedTails(const KeyedRecord &record);
    void applyServingRoom(const KeyedRecord &record);
    void applySilentWorkers(const KeyedRecord &record);
    void applyTakeoverOffer(const KeyedRecord &record);
    void addServingSubmission(const Wire::StepJob &job, std::int64_t offset);

    std::map<std::string, TopicJob> m_jobs;
    std::optional<Wire::TopicClaim> m_claim;
    std::int64_t m_claimOffset = -1;
    Wire::LearnedTails m_learnedTails;
    std::optional<Wire::ServingRoom> m_servingRoom;
    std::int64_t m_servingRoomOffset = -1;
    std::optional<Wire::SilentWorkers> m_silentWorkers;
    std::int64_t m_silentWorkersOffset = -1;
    std::optional<Wire::TakeoverOffer> m_takeoverOffer;
    std::int64_t m_takeoverOfferOffset = -1;
    std::map<std::int64_t, ServingSubmission> m_servingSubmissions;
    std::vector<std::string> m_unknownRuns; // jobs that are in the runs topic only
    std::uint64_t m_malformedRecords = 0;
};

} // namespace Hyssop
