#include "jobtable.h"

#include "joblimits.h"
#include "servingdemand.h"

#include <ports/keyedrecord.h>
#include <utils/result.h>
#include <wire/codec.h>

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A published room is not used for longer than it takes to submit that many jobs.
constexpr std::size_t MaximumServingSubmissions = 4096;

} // namespace Internal

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
    case JobKeyKind::ServingRoom:
        applyServingRoom(record);
        break;
    case JobKeyKind::SilentWorkers:
        applySilentWorkers(record);
        break;
    case JobKeyKind::TakeoverOffer:
        applyTakeoverOffer(record);
        break;
    case JobKeyKind::Unknown:
        ++m_malformedRecords;
        break;
    }
    return key;
}

void JobTable::applyRuns(const KeyedRecord &record)
{
    const JobKey key = parseJobKey(record.key);
    if (key.kind == JobKeyKind::LearnedTails) {
        applyLearnedTails(record);
        return;
    }
    if (key.kind != JobKeyKind::Progress || !record.value) {
        return;
    }
    const auto entry = m_jobs.find(key.jobId);
    if (entry == m_jobs.end() || !entry->second.submission) {
        m_unknownRuns.push_back(key.jobId); // submissions precede runs, so the job was removed
        return;
    }
    auto decoded = capture([&] { return withinLimits(decodeJobProgress(*record.value)); });
    if (auto *progress = valueOf(decoded)) {
        entry->second.runs = std::move(*progress);
    } else {
        ++m_malformedRecords;
    }
}

void JobTable::clearRuns()
{
    m_unknownRuns.clear();
    for (auto &[id, entry] : m_jobs) {
        entry.runs.reset();
    }
}

std::vector<std::string> JobTable::jobsWithObsoleteRuns() const
{
    const auto isOpen = [](const Wire::TaskMark &mark) { return !mark.worker.empty(); };
    const auto hasOpenRun = [&](const Wire::StepMarks &step) { return std::ranges::any_of(step.marks, isOpen); };
    std::vector<std::string> obsolete = m_unknownRuns;
    for (const auto &[id, entry] : m_jobs) {
        if (entry.runs && entry.isEnded() && std::ranges::none_of(entry.runs->steps, hasOpenRun)) {
            obsolete.push_back(id);
        }
    }
    return obsolete;
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
        addServingSubmission(*job, record.offset);
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

void JobTable::applyServingRoom(const KeyedRecord &record)
{
    if (record.offset <= m_servingRoomOffset) {
        return;
    }
    if (!record.value) {
        m_servingRoom.reset();
        return;
    }
    auto decoded = capture([&] { return withinLimits(decodeServingRoom(*record.value)); });
    auto *room = valueOf(decoded);
    if (room == nullptr) {
        ++m_malformedRecords;
        return;
    }
    m_servingRoom = std::move(*room);
    m_servingRoomOffset = record.offset;
    m_servingSubmissions.erase(m_servingSubmissions.begin(), m_servingSubmissions.lower_bound(m_servingRoom->readUpTo));
}

void JobTable::applySilentWorkers(const KeyedRecord &record)
{
    if (record.offset <= m_silentWorkersOffset) {
        return;
    }
    // A record that can't be decoded replaces the earlier one too: that may list a worker which has a lease now.
    m_silentWorkers.reset();
    m_silentWorkersOffset = record.offset;
    if (!record.value) {
        return;
    }
    auto decoded = capture([&] { return withinLimits(decodeSilentWorkers(*record.value)); });
    if (auto *silent = valueOf(decoded)) {
        m_silentWorkers = std::move(*silent);
    } else {
        ++m_malformedRecords;
    }
}

void JobTable::applyTakeoverOffer(const KeyedRecord &record)
{
    if (record.offset <= m_takeoverOfferOffset) {
        return;
    }
    m_takeoverOffer.reset();
    m_takeoverOfferOffset = record.offset;
    if (!record.value) {
        return;
    }
    auto decoded = capture([&] { return withinLimits(decodeTakeoverOffer(*record.value)); });
    if (auto *offer = valueOf(decoded)) {
        m_takeoverOffer = std::move(*offer);
    } else {
        ++m_malformedRecords;
    }
}

void JobTable::addServingSubmission(const Wire::StepJob &job, std::int64_t offset)
{
    const std::int64_t milliCores = servingDemand(job);
    const bool isInRoom = m_servingRoom && offset < m_servingRoom->readUpTo;
    if (milliCores == 0 || isInRoom) {
        return;
    }
    m_servingSubmissions[offset] = {job.queue, milliCores};
    if (m_servingSubmissions.size() > Internal::MaximumServingSubmissions) {
        m_servingSubmissions.erase(m_servingSubmissions.begin());
    }
}

} // namespace Hyssop
