#pragma once

#include "hyssop_types.h"

#include <ports/keyedrecord.h>
#include <utils/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

class JobTable;
class MetadataStore;
class MetricsRegistry;
class TopicFollower;

/// The job is durable.
struct JobAccepted
{
};

/// The job is not recorded and never runs; ask again after a while.
struct JobNotAccepted
{
    std::chrono::seconds retryAfter{1};
};

/// Recorded or not; ask again with the same id.
struct JobUndetermined
{
};

/// There is no such job.
struct JobNotFound
{
};

using SubmitResult = std::variant<JobAccepted, JobNotAccepted, JobUndetermined>;
using CancelResult = std::variant<JobAccepted, JobNotFound, JobNotAccepted, JobUndetermined>;
using JobStateResult = std::variant<Wire::JobPhase::type, JobNotFound, JobNotAccepted>;

namespace Internal {
struct PendingRecord;
}

/// Takes jobs and cancellations from callers and makes them durable, many in one append. A resent job has the same key, so
/// an append whose answer was lost is repeated without harm.
class JobIntake
{
public:
    JobIntake(boost::asio::any_io_executor executor,
              const Clock &clock,
              MetadataStore &store,
              const JobTable &table,
              const TopicFollower &follower,
              MetricsRegistry &metrics);

    /// @p timeout is how long the caller waits.
    boost::asio::awaitable<SubmitResult> submit(std::string jobId, Wire::StepJob job, std::chrono::milliseconds timeout);
    boost::asio::awaitable<CancelResult> cancel(std::string jobId, std::chrono::milliseconds timeout);
    JobStateResult state(const std::string &jobId) const;

    /// Writes what submit() and cancel() collect. Runs until the executor stops.
    boost::asio::awaitable<void> run();

private:
    using PendingPtr = std::shared_ptr<Internal::PendingRecord>;

    void noteRefusal(const std::string &jobId, const char *kind);
    boost::asio::awaitable<void> store(PendingPtr pending);
    boost::asio::awaitable<void> writeBatch();
    bool dropRefused(const std::vector<PendingPtr> &batch);
    boost::asio::awaitable<bool> waitUntilApplied(std::int64_t offset, std::chrono::milliseconds timeout) const;

    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_wake; // cancelled when there is something to write
    const Clock &m_clock;
    MetadataStore &m_store;
    const JobTable &m_table;
    const TopicFollower &m_follower;
    MetricsRegistry &m_metrics;
    std::vector<PendingPtr> m_pending;
};

} // namespace Hyssop
