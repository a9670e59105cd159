#include "servingadmission.h"

#include <jobtopic/jobtable.h>
#include <jobtopic/servingdemand.h>
#include <ports/clusterconfig.h>

#include <algorithm>
#include <functional>

namespace Hyssop {

namespace Internal {

// Longer than the interval of the publications and the delay of reading them.
constexpr std::chrono::milliseconds MaximumRoomAge{5000};
// Longer than an append may take, and than reading its record.
constexpr std::chrono::milliseconds MaximumSubmissionTime{5000};
constexpr std::chrono::seconds MinimumRetryDelay{2};
constexpr std::size_t RetryDelays = 4; // in steps of a second, so that refused jobs don't return together

static std::chrono::seconds retryDelay(const std::string &jobId)
{
    return MinimumRetryDelay + std::chrono::seconds(std::hash<std::string>()(jobId) % RetryDelays);
}

static const std::string *workerPoolOf(const std::string &queueName, const ClusterConfig &config)
{
    const auto queue = config.queues.find(queueName);
    return queue != config.queues.end() ? &queue->second.workerPool : nullptr;
}

static bool usesWorkerPool(const ServingSubmission &job, const std::string &workerPool, const ClusterConfig &config)
{
    const std::string *used = workerPoolOf(job.queue, config);
    return used != nullptr && *used == workerPool;
}

} // namespace Internal

ServingAdmission::ServingAdmission(const JobTable &table)
    : m_table(table)
{
}

void ServingAdmission::jobRecordApplied(const JobKey &key, TimePoint now)
{
    if (key.kind == JobKeyKind::ServingRoom) {
        m_roomReadAt = now;
    } else if (key.kind == JobKeyKind::Submission) {
        m_submissions.erase(key.jobId);
    }
}

AdmissionDecision ServingAdmission::decide(const std::string &jobId, const Wire::StepJob &job, const ClusterConfig *config, TimePoint now) const
{
    AdmissionDecision decision;
    decision.needed = servingDemand(job);
    const std::string *workerPool = config != nullptr ? Internal::workerPoolOf(job.queue, *config) : nullptr;
    if (decision.needed == 0 || workerPool == nullptr) {
        return decision;
    }
    decision.publishedRoom = publishedRoom(*workerPool, now);
    if (!decision.publishedRoom) {
        return decision;
    }
    decision.roomAge = now - m_roomReadAt;
    decision.submittedSince = submittedSince(*workerPool, *config, now);
    if (decision.needed > *decision.publishedRoom - decision.submittedSince) {
        decision.retryAfter = Internal::retryDelay(jobId);
    }
    return decision;
}

void ServingAdmission::beginSubmission(const std::string &jobId, const Wire::StepJob &job, TimePoint now)
{
    std::erase_if(m_submissions, [&](const auto &item) { return now - item.second.at > Internal::MaximumSubmissionTime; });
    if (const std::int64_t milliCores = servingDemand(job); milliCores > 0) {
        Submission &submission = m_submissions[jobId];
        submission.job = {job.queue, milliCores};
        submission.at = now;
        ++submission.attempts;
    }
}

void ServingAdmission::withdrawSubmission(const std::string &jobId)
{
    const auto submission = m_submissions.find(jobId);
    if (submission != m_submissions.end() && --submission->second.attempts == 0) {
        m_submissions.erase(submission);
    }
}

bool ServingAdmission::isSubmitted(const std::string &jobId, TimePoint now) const
{
    const auto submission = m_submissions.find(jobId);
    return submission != m_submissions.end() && now - submission->second.at <= Internal::MaximumSubmissionTime;
}

std::optional<std::int64_t> ServingAdmission::publishedRoom(const std::string &workerPool, TimePoint now) const
{
    const auto &room = m_table.servingRoom();
    const auto &claim = m_table.claim();
    const bool isOfOwner = room && claim && !claim->released && claim->term == room->term;
    if (!isOfOwner || now - m_roomReadAt > Internal::MaximumRoomAge) {
        return std::nullopt;
    }
    const auto pool = std::ranges::find(room->pools, workerPool, &Wire::PoolServingRoom::workerPool);
    return pool != room->pools.end() ? std::optional(pool->milliCores) : std::nullopt;
}

std::int64_t ServingAdmission::submittedSince(const std::string &workerPool, const ClusterConfig &config, TimePoint now) const
{
    std::int64_t milliCores = 0;
    for (const auto &[offset, job] : m_table.servingSubmissionsSinceRoom()) {
        milliCores += Internal::usesWorkerPool(job, workerPool, config) ? job.milliCores : 0;
    }
    for (const auto &[jobId, submission] : m_submissions) {
        const bool counts = now - submission.at <= Internal::MaximumSubmissionTime && Internal::usesWorkerPool(submission.job, workerPool, config);
        milliCores += counts ? submission.job.milliCores : 0;
    }
    return milliCores;
}

} // namespace Hyssop
