#include "jobintake.h"

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
// A record without value would remove its key.
constexpr const char *CancellationValue = "1";
constexpr std::chrono::milliseconds AppendTimeout{1500};
constexpr std::chrono::milliseconds RefusalPause{100};
// A store that refuses for this long is refused to the caller, who may reach it through another instance.
constexpr std::chrono::milliseconds LongestRefusal{500};
constexpr std::chrono::milliseconds AnswerMargin{100};
constexpr std::chrono::milliseconds AppliedCheckInterval{20};
// A table that is older can't tell that a job does not exist.
constexpr std::chrono::milliseconds LongestTableAge{2500};
constexpr std::size_t LargestBatchBytes = 1024 * 1024;

struct PendingRecord
{
    PendingRecord(const asio::any_io_executor &executor, KeyedRecord content, std::chrono::milliseconds timeout)
        : record(std::move(content))
        , done(executor, timeout)
    {
    }

    KeyedRecord record;
    asio::steady_timer done; // cancelled when the outcome is known
    TimePoint since{};
    bool maybeSent = false;
    bool abandoned = false; // nobody waits any more
    std::optional<std::int64_t> offset;
};

} // namespace Internal

JobIntake::JobIntake(
    asio::any_io_executor executor, const Clock &clock, MetadataStore &store, const JobTable &table, const TopicFollower &follower, MetricsRegistry &metrics)
    : m_executor(std::move(executor))
    , m_wake(m_executor)
    , m_clock(clock)
    , m_store(store)
    , m_table(table)
    , m_follower(follower)
    , m_metrics(metrics)
{
}

asio::awaitable<SubmitResult> JobIntake::submit(std::string jobId, Wire::StepJob job, std::chrono::milliseconds timeout)
{
    if (m_table.find(jobId) != nullptr) {
        co_return JobAccepted{}; // a resend
    }
    if (!m_follower.isStoreResponsive()) {
        noteRefusal(jobId, "submission");
        co_return JobNotAccepted{};
    }
    const TimePoint begin = m_clock.now();
    auto pending = std::make_shared<Internal::PendingRecord>(m_executor, KeyedRecord{0, submissionKey(jobId), encode(job)}, timeout - Internal::AnswerMargin);
    co_await store(pending);
    m_metrics.observe("hyssop_intake_seconds", m_clock.now() - begin);
    const char *outcome = pending->offset ? "accepted" : pending->maybeSent ? "undetermined" : "refused";
    logMessage(LogLevel::Info,
               "intake",
               "job submitted",
               {{"job_id", jobId}, {"queue", job.queue}, {"outcome", outcome}, {"offset", static_cast<long long>(pending->offset.value_or(-1))}});
    m_metrics.add("hyssop_submissions_total", {{"outcome", outcome}});
    if (pending->offset) {
        co_return JobAccepted{};
    }
    if (pending->maybeSent) {
        co_return JobUndetermined{};
    }
    co_return JobNotAccepted{};
}

asio::awaitable<CancelResult> JobIntake::cancel(std::string jobId, std::chrono::milliseconds timeout)
{
    const JobEntry *entry = m_table.find(jobId);
    if (entry != nullptr && entry->isEnded()) {
        co_return JobAccepted{};
    }
    if (!m_follower.isStoreResponsive()) {
        noteRefusal(jobId, "cancellation");
        co_return JobNotAccepted{};
    }
    auto pending = std::make_shared<Internal::PendingRecord>(
        m_executor, KeyedRecord{0, cancellationKey(jobId), Internal::CancellationValue}, timeout - Internal::AnswerMargin);
    co_await store(pending);
    const char *outcome = pending->offset ? "cancelled" : pending->maybeSent ? "undetermined" : "refused";
    logMessage(LogLevel::Info, "intake", "job cancellation", {{"job_id", jobId}, {"outcome", outcome}, {"known", entry != nullptr}});
    m_metrics.add("hyssop_cancellations_total", {{"outcome", outcome}});
    if (!pending->offset) {
        co_return pending->maybeSent ? CancelResult(JobUndetermined{}) : CancelResult(JobNotAccepted{});
    }
    if (entry != nullptr) {
        co_return JobAccepted{};
    }
    // Another instance may have accepted the job a moment ago.
    if (!co_await waitUntilApplied(*pending->offset, timeout - Internal::AnswerMargin)) {
        co_return JobUndetermined{};
    }
    co_return m_table.find(jobId) != nullptr ? CancelResult(JobAccepted{}) : CancelResult(JobNotFound{});
}

void JobIntake::noteRefusal(const std::string &jobId, const char *kind)
{
    logMessage(LogLevel::Info,
               "intake",
               "refused at once, the store does not answer",
               {{"job_id", jobId}, {"request", kind}, {"table_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_follower.age()).count()}});
    m_metrics.add("hyssop_requests_refused_at_once_total", {{"request", kind}});
}

JobStateResult JobIntake::state(const std::string &jobId) const
{
    if (const JobEntry *entry = m_table.find(jobId)) {
        return entry->phase();
    }
    if (!m_follower.isLoaded() || m_follower.age() > Internal::LongestTableAge) {
        return JobNotAccepted{};
    }
    return JobNotFound{};
}

asio::awaitable<void> JobIntake::run()
{
    while (true) {
        if (m_pending.empty()) {
            m_wake.expires_at(asio::steady_timer::time_point::max());
            co_await m_wake.async_wait(Internal::AsTuple);
            continue;
        }
        co_await writeBatch();
    }
}

asio::awaitable<void> JobIntake::store(PendingPtr pending)
{
    pending->since = m_clock.now();
    m_pending.push_back(pending);
    m_wake.cancel();
    co_await pending->done.async_wait(Internal::AsTuple);
    pending->abandoned = true;
    if (!pending->maybeSent) {
        std::erase(m_pending, pending);
    }
}

asio::awaitable<void> JobIntake::writeBatch()
{
    std::vector<PendingPtr> batch;
    TopicAppend append;
    append.topic = Topic::Jobs;
    std::size_t bytes = 0;
    for (const PendingPtr &pending : m_pending) {
        bytes += pending->record.value->size();
        if (!batch.empty() && bytes > Internal::LargestBatchBytes) {
            break;
        }
        batch.push_back(pending);
        append.records.push_back(pending->record);
    }
    std::erase_if(m_pending, [&](const PendingPtr &pending) { return std::ranges::find(batch, pending) != batch.end(); });
    std::vector<bool> sentBefore;
    for (const PendingPtr &pending : batch) {
        sentBefore.push_back(pending->maybeSent);
        pending->maybeSent = true;
    }
    const TopicAppendResult answer = co_await m_store.append(std::move(append), Internal::AppendTimeout);
    if (const auto *appended = std::get_if<TopicAppended>(&answer)) {
        std::int64_t offset = appended->offset;
        for (const PendingPtr &pending : batch) {
            pending->offset = offset++;
            pending->done.cancel();
        }
        co_return;
    }
    if (!std::holds_alternative<TopicAppendUndetermined>(answer)) {
        for (std::size_t index = 0; index < batch.size(); ++index) {
            batch[index]->maybeSent = sentBefore[index];
        }
    }
    const bool again = dropRefused(batch);
    if (again) {
        asio::steady_timer timer(m_executor, Internal::RefusalPause);
        co_await timer.async_wait(Internal::AsTuple);
    }
}

bool JobIntake::dropRefused(const std::vector<PendingPtr> &batch)
{
    for (const PendingPtr &pending : batch) {
        const bool tooLong = m_clock.now() - pending->since > Internal::LongestRefusal;
        if (pending->abandoned) {
            continue;
        }
        if (tooLong && !pending->maybeSent) {
            pending->done.cancel();
            continue;
        }
        m_pending.push_back(pending);
    }
    return !m_pending.empty();
}

asio::awaitable<bool> JobIntake::waitUntilApplied(std::int64_t offset, std::chrono::milliseconds timeout) const
{
    const TimePoint until = m_clock.now() + timeout;
    while (m_follower.end() <= offset) {
        if (m_clock.now() >= until) {
            co_return false;
        }
        asio::steady_timer timer(m_executor, Internal::AppliedCheckInterval);
        co_await timer.async_wait(Internal::AsTuple);
    }
    co_return true;
}

} // namespace Hyssop
