#pragma once

#include "servingadmission.h"

#include "hyssop_types.h"

#include <ports/keyedrecord.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

class ClusterView;
class JobTable;
class MetadataStore;
class MetricsRegistry;
class TopicFollower;

/// The submission or cancellation is durable.
struct JobAccepted
{
};

/// The request was not recorded and has no effect; the caller may retry after a delay.
struct JobNotAccepted
{
    std::chrono::seconds retryAfter{1};
};

/// The outcome is unknown; the caller may retry with the same job id.
struct JobUndetermined
{
};

/// The job does not exist.
struct JobNotFound
{
};

using SubmitResult = std::variant<JobAccepted, JobNotAccepted, JobUndetermined>;
using CancelResult = std::variant<JobAccepted, JobNotFound, JobNotAccepted, JobUndetermined>;
using JobStateResult = std::variant<Wire::JobPhase::type, JobNotFound, JobNotAccepted>;

namespace Internal {
struct PendingRecord;
}

/// Writes submissions and cancellations of callers to the job topic, batched into few appends. A resent job has the same key, so
/// an append whose response was lost can be repeated safely, and a record that is read from the topic proves that it is durable. Jobs with
/// serving tasks are accepted only if there is room for them.
class JobIntake
{
public:
    JobIntake(boost::asio::any_io_executor executor,
              const Clock &clock,
              MetadataStore &store,
              const JobTable &table,
              const TopicFollower &follower,
              const ClusterView &cluster,
              MetricsRegistry &metrics);

    /// Must be called after a record of the job topic was applied to the table.
    void jobRecordApplied(const JobKey &key);

    /// @p timeout is the time that the caller waits for the result.
    boost::asio::awaitable<SubmitResult> submit(std::string jobId, Wire::StepJob job, std::chrono::milliseconds timeout);
    boost::asio::awaitable<CancelResult> cancel(std::string jobId, std::chrono::milliseconds timeout);
    JobStateResult state(const std::string &jobId) const;

    /// Answers at once from now on: the process ends soon. A request without an append under way is rejected, and no request waits for reads.
    void beginShutdown();

    /// Answers the requests whose appends are still under way; their outcome is unknown.
    void abandonRequests();

    /// Appends the records that submit() and cancel() enqueue. Runs until the executor stops.
    boost::asio::awaitable<void> run();

private:
    using PendingPtr = std::shared_ptr<Internal::PendingRecord>;

    /// Returns true if another attempt to submit the job through this instance may have succeeded.
    bool mayBeRecorded(const std::string &jobId) const;

    /// Returns why a request is rejected without a try, or a null pointer.
    const char *rejectionReason() const;
    void recordImmediateRejection(const std::string &jobId, const char *requestKind, const char *reason);

    /// Returns the result if @p job is to be submitted no further: it has serving tasks without room, or proves to be recorded.
    boost::asio::awaitable<std::optional<SubmitResult>> checkServingRoom(const std::string &jobId, const Wire::StepJob &job, std::chrono::milliseconds timeout);
    AdmissionDecision decideOnServing(const std::string &jobId, const Wire::StepJob &job) const;
    void recordAdmission(const std::string &jobId, const AdmissionDecision &decision);
    boost::asio::awaitable<void> store(PendingPtr pending);
    void acknowledge(const std::string &key);
    std::vector<PendingPtr> takeBatch();
    boost::asio::awaitable<void> writeBatch(std::vector<PendingPtr> batch);
    bool requeueUnfinished(const std::vector<PendingPtr> &batch);

    /// Waits until all records that existed at @p since have been read.
    boost::asio::awaitable<bool> waitUntilRead(TimePoint since, std::chrono::milliseconds timeout) const;
    boost::asio::awaitable<bool> waitUntilApplied(std::int64_t offset, std::chrono::milliseconds timeout) const;

    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_wake; // cancelled when a record is enqueued
    const Clock &m_clock;
    MetadataStore &m_store;
    const JobTable &m_table;
    const TopicFollower &m_follower;
    const ClusterView &m_cluster;
    MetricsRegistry &m_metrics;
    std::vector<PendingPtr> m_pending;
    std::multimap<std::string, PendingPtr> m_unanswered; // by the key of the record, also those that are being appended
    ServingAdmission m_admission;
    bool m_isShuttingDown = false;
};

} // namespace Hyssop
