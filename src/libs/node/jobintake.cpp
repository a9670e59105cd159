#include "jobintake.h"

#include "clusterview.h"
#include "topicfollower.h"

#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <ports/metadatastore.h>
#include <ports/topicappend.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
// Must not be empty: a record without a value is a tombstone, which removes its key.
constexpr const char *CancellationValue = "1";
constexpr std::chrono::milliseconds AppendTimeout{1500};
constexpr std::chrono::milliseconds RejectionRetryDelay{100};
// If the store rejects appends for longer, the request is rejected: the caller may reach the store through another instance.
constexpr std::chrono::milliseconds MaximumRejectionTime{500};
constexpr std::chrono::milliseconds ResponseMargin{100};
constexpr std::chrono::milliseconds AppliedCheckInterval{20};
// An older table is not evidence that a job does not exist.
constexpr std::chrono::milliseconds MaximumTableAge{2500};
// Only a short part of the time that a caller waits, because most refused callers could have been refused at once.
constexpr std::chrono::milliseconds MaximumReadWait{1000};
constexpr std::size_t MaximumBatchBytes = 1024 * 1024;

struct PendingRecord
{
    PendingRecord(const asio::any_io_executor &executor, KeyedRecord content, std::chrono::milliseconds timeout)
        : record(std::move(content))
        , done(executor, timeout)
    {
    }

    KeyedRecord record;
    asio::steady_timer done; // cancelled when the outcome is known
    TimePoint enqueuedAt{};
    bool maybeAppended = false; // an append of the record was sent and may have succeeded
    bool abandoned = false; // the caller no longer waits
    std::optional<std::int64_t> offset; // at or before that of the durable record
};

} // namespace Internal

JobIntake::JobIntake(asio::any_io_executor executor,
                     const Clock &clock,
                     MetadataStore &store,
                     const JobTable &table,
                     const TopicFollower &follower,
                     const ClusterView &cluster,
                     MetricsRegistry &metrics)
    : m_executor(std::move(executor))
    , m_wake(m_executor)
    , m_clock(clock)
    , m_store(store)
    , m_table(table)
    , m_follower(follower)
    , m_cluster(cluster)
    , m_metrics(metrics)
    , m_admission(table)
{
}

asio::awaitable<SubmitResult> JobIntake::submit(std::string jobId, Wire::StepJob job, std::chrono::milliseconds timeout)
{
    if (m_table.find(jobId) != nullptr) {
        co_return JobAccepted{}; // the caller resent the job
    }
    if (const char *reason = rejectionReason()) {
        recordImmediateRejection(jobId, "submission", reason);
        co_return mayBeRecorded(jobId) ? SubmitResult(JobUndetermined{}) : SubmitResult(JobNotAccepted{});
    }
    const TimePoint begin = m_clock.now();
    if (const std::optional<SubmitResult> result = co_await checkServingRoom(jobId, job, timeout)) {
        co_return *result;
    }
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - begin);
    auto pending =
        std::make_shared<Internal::PendingRecord>(m_executor, KeyedRecord{0, submissionKey(jobId), encode(job)}, timeout - passed - Internal::ResponseMargin);
    m_admission.beginSubmission(jobId, job, m_clock.now());
    co_await store(pending);
    m_metrics.observe("hyssop_intake_seconds", m_clock.now() - begin);
    const char *outcome = pending->offset ? "accepted" : pending->maybeAppended ? "undetermined" : "refused";
    logMessage(LogLevel::Info,
               "intake",
               "job submitted",
               {{"job_id", jobId}, {"queue", job.queue}, {"outcome", outcome}, {"offset", static_cast<long long>(pending->offset.value_or(-1))}});
    m_metrics.add("hyssop_submissions_total", {{"outcome", outcome}});
    if (pending->offset) {
        co_return JobAccepted{};
    }
    if (pending->maybeAppended) {
        co_return JobUndetermined{};
    }
    m_admission.withdrawSubmission(jobId);
    co_return JobNotAccepted{};
}

asio::awaitable<std::optional<SubmitResult>> JobIntake::checkServingRoom(const std::string &jobId, const Wire::StepJob &job, std::chrono::milliseconds timeout)
{
    const TimePoint begin = m_clock.now();
    if (m_admission.isSubmitted(jobId, begin)) {
        co_return std::nullopt; // an earlier attempt may have been recorded
    }
    AdmissionDecision decision = decideOnServing(jobId, job);
    if (decision.isRefused()) {
        // An earlier attempt through another instance may have been recorded and not yet read.
        const bool isCurrent = co_await waitUntilRead(begin, std::min(timeout / 2, Internal::MaximumReadWait));
        if (m_table.find(jobId) != nullptr) {
            co_return JobAccepted{};
        }
        if (m_admission.isSubmitted(jobId, m_clock.now())) {
            co_return std::nullopt; // by another attempt through this instance meanwhile
        }
        if (m_isShuttingDown && !isCurrent) {
            co_return JobUndetermined{};
        }
        decision = decideOnServing(jobId, job);
        if (!isCurrent && decision.isRefused()) {
            decision.retryAfter.reset();
            decision.isTableOutdated = true;
        }
    }
    recordAdmission(jobId, decision);
    co_return decision.isRefused() ? std::optional<SubmitResult>(JobNotAccepted{*decision.retryAfter}) : std::nullopt;
}

AdmissionDecision JobIntake::decideOnServing(const std::string &jobId, const Wire::StepJob &job) const
{
    const auto &config = m_cluster.config();
    return m_admission.decide(jobId, job, config ? &*config : nullptr, m_clock.now());
}

static const char *admissionOutcome(const AdmissionDecision &decision)
{
    if (decision.isRefused()) {
        return "refused";
    }
    if (!decision.publishedRoom) {
        return "room-unknown";
    }
    return decision.isTableOutdated ? "table-outdated" : "accepted";
}

void JobIntake::recordAdmission(const std::string &jobId, const AdmissionDecision &decision)
{
    if (decision.needed == 0) {
        return;
    }
    const char *outcome = admissionOutcome(decision);
    m_metrics.add("hyssop_serving_admissions_total", {{"outcome", outcome}});
    if (!decision.publishedRoom) {
        return;
    }
    logMessage(LogLevel::Info,
               "intake",
               "serving job admission",
               {{"job_id", jobId},
                {"outcome", outcome},
                {"needed_millicores", static_cast<long long>(decision.needed)},
                {"room_millicores", static_cast<long long>(*decision.publishedRoom)},
                {"submitted_since_millicores", static_cast<long long>(decision.submittedSince)},
                {"room_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(decision.roomAge).count()},
                {"retry_after_s", decision.retryAfter.value_or(std::chrono::seconds(0)).count()}});
}

asio::awaitable<CancelResult> JobIntake::cancel(std::string jobId, std::chrono::milliseconds timeout)
{
    const TopicJob *entry = m_table.find(jobId);
    if (entry != nullptr && entry->isEnded()) {
        co_return JobAccepted{};
    }
    if (const char *reason = rejectionReason()) {
        recordImmediateRejection(jobId, "cancellation", reason);
        co_return JobNotAccepted{};
    }
    auto pending = std::make_shared<Internal::PendingRecord>(
        m_executor, KeyedRecord{0, cancellationKey(jobId), Internal::CancellationValue}, timeout - Internal::ResponseMargin);
    co_await store(pending);
    const char *outcome = pending->offset ? "cancelled" : pending->maybeAppended ? "undetermined" : "refused";
    logMessage(LogLevel::Info, "intake", "job cancellation", {{"job_id", jobId}, {"outcome", outcome}, {"known", entry != nullptr}});
    m_metrics.add("hyssop_cancellations_total", {{"outcome", outcome}});
    if (!pending->offset) {
        co_return pending->maybeAppended ? CancelResult(JobUndetermined{}) : CancelResult(JobNotAccepted{});
    }
    if (entry != nullptr) {
        co_return JobAccepted{};
    }
    // Another instance may have accepted the job just before the cancellation, and this table may not have its record yet.
    if (!co_await waitUntilApplied(*pending->offset, timeout - Internal::ResponseMargin)) {
        co_return JobUndetermined{};
    }
    co_return m_table.find(jobId) != nullptr ? CancelResult(JobAccepted{}) : CancelResult(JobNotFound{});
}

bool JobIntake::mayBeRecorded(const std::string &jobId) const
{
    return m_unanswered.contains(submissionKey(jobId)) || m_admission.isSubmitted(jobId, m_clock.now());
}

const char *JobIntake::rejectionReason() const
{
    if (m_isShuttingDown) {
        return "shutdown";
    }
    return m_follower.isStoreResponsive() ? nullptr : "the store is not responding";
}

void JobIntake::recordImmediateRejection(const std::string &jobId, const char *requestKind, const char *reason)
{
    logMessage(LogLevel::Info,
               "intake",
               "request rejected immediately",
               {{"job_id", jobId},
                {"request", requestKind},
                {"reason", reason},
                {"table_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_follower.age()).count()}});
    m_metrics.add("hyssop_requests_refused_at_once_total", {{"request", requestKind}});
}

JobStateResult JobIntake::state(const std::string &jobId) const
{
    if (const TopicJob *entry = m_table.find(jobId)) {
        return entry->phase();
    }
    if (!m_follower.isLoaded() || m_follower.age() > Internal::MaximumTableAge) {
        return JobNotAccepted{};
    }
    return JobNotFound{};
}

void JobIntake::jobRecordApplied(const JobKey &key)
{
    m_admission.jobRecordApplied(key, m_clock.now());
    const auto entry = m_table.jobs().find(key.jobId);
    if (m_unanswered.empty() || entry == m_table.jobs().end()) {
        return;
    }
    if (key.kind == JobKeyKind::Submission && entry->second.submission) {
        acknowledge(submissionKey(key.jobId));
    } else if (key.kind == JobKeyKind::Cancellation && entry->second.cancelled) {
        acknowledge(cancellationKey(key.jobId));
    }
}

void JobIntake::acknowledge(const std::string &key)
{
    const auto [begin, end] = m_unanswered.equal_range(key);
    for (auto item = begin; item != end; ++item) {
        Internal::PendingRecord &pending = *item->second;
        pending.offset = pending.offset.value_or(m_follower.end());
        pending.done.cancel();
        std::erase(m_pending, item->second); // it would be appended again
    }
}

void JobIntake::beginShutdown()
{
    m_isShuttingDown = true;
    for (const PendingPtr &pending : m_pending) {
        if (!pending->maybeAppended) {
            pending->done.cancel();
        }
    }
}

void JobIntake::abandonRequests()
{
    for (const auto &[key, pending] : m_unanswered) {
        pending->done.cancel();
    }
}

asio::awaitable<void> JobIntake::run()
{
    while (true) {
        if (m_pending.empty()) {
            m_wake.expires_at(asio::steady_timer::time_point::max());
            co_await m_wake.async_wait(Internal::AsTuple);
            continue;
        }
        co_await writeBatch(takeBatch());
    }
}

asio::awaitable<void> JobIntake::store(PendingPtr pending)
{
    pending->enqueuedAt = m_clock.now();
    m_pending.push_back(pending);
    const auto unanswered = m_unanswered.emplace(pending->record.key, pending);
    m_wake.cancel();
    co_await pending->done.async_wait(Internal::AsTuple);
    m_unanswered.erase(unanswered);
    pending->abandoned = true;
    if (!pending->maybeAppended) {
        std::erase(m_pending, pending);
    }
}

std::vector<JobIntake::PendingPtr> JobIntake::takeBatch()
{
    std::vector<PendingPtr> batch;
    std::size_t bytes = 0;
    for (const PendingPtr &pending : m_pending) {
        bytes += pending->record.value->size();
        if (!batch.empty() && bytes > Internal::MaximumBatchBytes) {
            break;
        }
        batch.push_back(pending);
    }
    std::erase_if(m_pending, [&](const PendingPtr &pending) { return std::ranges::find(batch, pending) != batch.end(); });
    return batch;
}

asio::awaitable<void> JobIntake::writeBatch(std::vector<PendingPtr> batch)
{
    TopicAppend append;
    append.topic = Topic::Jobs;
    std::vector<bool> maybeAppendedBefore;
    for (const PendingPtr &pending : batch) {
        append.records.push_back(pending->record);
        maybeAppendedBefore.push_back(pending->maybeAppended);
        pending->maybeAppended = true;
    }
    const TopicAppendResult result = co_await m_store.append(std::move(append), Internal::AppendTimeout);
    if (const auto *appended = std::get_if<TopicAppended>(&result)) {
        std::int64_t offset = appended->offset;
        for (const PendingPtr &pending : batch) {
            pending->offset = offset++;
            pending->done.cancel();
        }
        co_return;
    }
    if (!std::holds_alternative<TopicAppendUndetermined>(result)) {
        for (std::size_t index = 0; index < batch.size(); ++index) {
            batch[index]->maybeAppended = maybeAppendedBefore[index];
        }
    }
    const bool hasPending = requeueUnfinished(batch);
    if (hasPending) {
        asio::steady_timer timer(m_executor, Internal::RejectionRetryDelay);
        co_await timer.async_wait(Internal::AsTuple);
    }
}

bool JobIntake::requeueUnfinished(const std::vector<PendingPtr> &batch)
{
    for (const PendingPtr &pending : batch) {
        const bool rejectedTooLong = m_clock.now() - pending->enqueuedAt > Internal::MaximumRejectionTime;
        if (pending->abandoned || pending->offset) {
            continue;
        }
        if (rejectedTooLong && !pending->maybeAppended) {
            pending->done.cancel();
            continue;
        }
        m_pending.push_back(pending);
    }
    return !m_pending.empty();
}

asio::awaitable<bool> JobIntake::waitUntilRead(TimePoint since, std::chrono::milliseconds timeout) const
{
    const TimePoint deadline = m_clock.now() + timeout;
    while (m_clock.now() - m_follower.age() < since) {
        if (m_clock.now() >= deadline || m_isShuttingDown) {
            co_return false;
        }
        asio::steady_timer timer(m_executor, Internal::AppliedCheckInterval);
        co_await timer.async_wait(Internal::AsTuple);
    }
    co_return true;
}

asio::awaitable<bool> JobIntake::waitUntilApplied(std::int64_t offset, std::chrono::milliseconds timeout) const
{
    const TimePoint deadline = m_clock.now() + timeout;
    while (m_follower.end() <= offset) {
        if (m_clock.now() >= deadline || m_isShuttingDown) {
            co_return false;
        }
        asio::steady_timer timer(m_executor, Internal::AppliedCheckInterval);
        co_await timer.async_wait(Internal::AsTuple);
    }
    co_return true;
}

} // namespace Hyssop
