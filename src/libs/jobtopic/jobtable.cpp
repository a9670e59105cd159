#include "jobtable.h"

#include "joblimits.h"

#include <ports/keyedrecord.h>
#include <utils/result.h>
#include <wire/codec.h>

#include <algorithm>

namespace Hyssop {

/// Turns a decoded value that is out of the limits into a failure.
template<typename Value>
static Result<Value> withinLimits(Result<Value> decoded)
{
    BOOST_LEAF_AUTO(value, std::move(decoded));
    BOOST_LEAF_CHECK(checkLimits(value));
    return value;
}

Wire::JobPhase::type TopicJob::phase() const
{
    if (progress.phase == Wire::JobPhase::Completed || progress.phase == Wire::JobPhase::Failed) {
        return progress.phase;
    }
    return cancelled ? Wire::JobPhase::Cancelled : progress.phase;
}

bool TopicJob::isEnded() const
{
    const Wire::JobPhase::type current = phase();
    return current != Wire::JobPhase::Pending && current != Wire::JobPhase::Running;
}

JobKey JobTable::apply(const KeyedRecord &record)
{
    JobKey key = parseJobKey(record.key);
    switch (key.kind) {
    case JobKeyKind::Submission:
        applySubmission(key, record);
        break;
    case JobKeyKind::Cancellation:
        applyCancellation(key, record);
        break;
    case JobKeyKind::Progress:
        applyProgress(key, record);
        break;
    case JobKeyKind::Claim:
        applyClaim(record);
        break;
    case JobKeyKind::LearnedTails:
        applyLearnedTails(record);
        break;
    case JobKeyKind::Unknown:
        ++m_malformedRecords;
        break;
    }
    return key;
}

const TopicJob *JobTable::find(const std::string &jobId) const
{
    const auto entry = m_jobs.find(jobId);
    return entry != m_jobs.end() && entry->second.submission ? &entry->second : nullptr;
}

std::size_t JobTable::pendingJobCount(const std::string &queue) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [&](const auto &item) {
        const TopicJob &entry = item.second;
        return entry.submission && entry.submission->queue == queue && entry.submission->repeatCount == 0 && entry.phase() == Wire::JobPhase::Pending;
    }));
}

void JobTable::applySubmission(const JobKey &key, const KeyedRecord &record)
{
    if (!record.value) {
        m_jobs.erase(key.jobId);
        return;
    }
    TopicJob &entry = m_jobs[key.jobId];
    auto decoded = capture([&] { return withinLimits(decodeStepJob(*record.value)); });
    auto *job = valueOf(decoded);
    if (job == nullptr) {
        ++m_malformedRecords;
    } else if (!entry.submission || job->steps.empty()) {
        entry.submission = std::move(*job); // a second submission with steps is a resend and is ignored
    }
}

void JobTable::applyCancellation(const JobKey &key, const KeyedRecord &record)
{
    if (record.value) {
        m_jobs[key.jobId].cancelled = true;
    } else if (const auto entry = m_jobs.find(key.jobId); entry != m_jobs.end() && !entry->second.submission) {
        m_jobs.erase(entry);
    }
}

void JobTable::applyProgress(const JobKey &key, const KeyedRecord &record)
{
    if (!record.value) {
        return; // removed together with the submission
    }
    TopicJob &entry = m_jobs[key.jobId];
    if (record.offset <= entry.progressOffset) {
        return;
    }
    auto decoded = capture([&] { return withinLimits(decodeJobProgress(*record.value)); });
    if (auto *progress = valueOf(decoded)) {
        entry.progress = std::move(*progress);
        entry.progressOffset = record.offset;
    } else {
        ++m_malformedRecords;
    }
}

void JobTable::applyLearnedTails(const KeyedRecord &record)
{
    if (!record.value) {
        return;
    }
    auto decoded = capture([&] { return withinLimits(decodeLearnedTails(*record.value)); });
    if (auto *tails = valueOf(decoded)) {
        m_learnedTails = std::move(*tails);
    } else {
        ++m_malformedRecords;
    }
}

void JobTable::applyClaim(const KeyedRecord &record)
{
    if (!record.value || record.offset <= m_claimOffset) {
        return;
    }
    auto decoded = capture([&] { return withinLimits(decodeTopicClaim(*record.value)); });
    if (auto *claim = valueOf(decoded)) {
        m_claim = std::move(*claim);
        m_claimOffset = record.offset;
    } else {
        ++m_malformedRecords;
    }
}

} // namespace Hyssop
