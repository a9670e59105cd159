#pragma once

#include "hyssop_types.h"

#include <contract/contract.h>
#include <jobs/logposition.h>
#include <utils/clock.h>
#include <workers/commandoutcome.h>
#include <workers/leaseresult.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// Ask a worker for its lease, or renew it, and read its status.
struct RenewLease
{
    std::string worker;
    std::int64_t epoch = 0;
    std::chrono::milliseconds duration{0};
    std::optional<std::chrono::milliseconds> notAfter; // in the worker's clock; no effect if processed later
};

struct StartTask
{
    std::string worker;
    std::int64_t epoch = 0;
    Wire::JobSpec spec;
    int attempt = 0;
    std::string checkpoint;
    std::chrono::milliseconds notAfter{0}; // in the worker's clock
};

struct StopTask
{
    std::string worker;
    std::int64_t epoch = 0;
    std::string jobId;
    int attempt = 0;
};

struct RequestCheckpoint
{
    std::string worker;
    std::int64_t epoch = 0;
    std::string jobId;
    int attempt = 0;
};

struct SetThrottle
{
    std::string worker;
    std::int64_t epoch = 0;
    std::string jobId;
    int attempt = 0;
    int speedPercent = 100; // percent of full speed
};

/// Lets the worker drop an ended task whose end is durable.
struct ForgetTask
{
    std::string worker;
    std::int64_t epoch = 0;
    std::string jobId;
    int attempt = 0;
};

/// Append a record to the job stream. The core acts on it only when it is applied from the stream.
struct Propose
{
    std::int64_t id = 0; // for proposalFailed()
    Wire::Record record;
};

/// Append a claim, alone in its batch.
struct ProposeClaim
{
    std::int64_t id = 0;
    Wire::OwnershipClaim claim;
};

/// Append to the job stream of another failure domain. Repeated until the transfer is confirmed.
struct ProposeTransfer
{
    std::int64_t id = 0; // for transferAppended() and proposalFailed()
    std::string toDomain;
    Wire::JobSubmitted submission;
};

using SchedulerAction = std::variant<RenewLease, StartTask, StopTask, RequestCheckpoint, SetThrottle, ForgetTask, Propose, ProposeClaim, ProposeTransfer>;

struct SchedulerCoreOptions
{
    std::string instance;
    std::int64_t incarnation = 0;
    std::string domain;
    std::chrono::milliseconds leaseDuration{10000};
    std::chrono::milliseconds leaseMargin{1000};
    std::chrono::milliseconds renewInterval{1000};
    std::chrono::milliseconds permitDuration{3000};
    std::chrono::milliseconds logOutageGrace{15 * 60 * 1000};
    std::chrono::milliseconds logRetention{24 * 60 * 60 * 1000}; // shortest time for which the log keeps records
    std::chrono::milliseconds ownerTimeout{2000};
    std::chrono::milliseconds claimJitter{500};
    std::uint64_t seed = 1; // of the claim jitter
    std::size_t maximumStartsPerTick = 256;
};

namespace Internal {
struct SchedulerCoreState;
}

/// The scheduler of one failure domain without I/O: ownership, job ledger, leases, placement, eviction, recovery.
class SchedulerCore
{
public:
    explicit SchedulerCore(SchedulerCoreOptions options);
    ~SchedulerCore();

    // Input from the job stream, in offset order.
    void apply(LogPosition position, WallTime time, const Wire::Record &record, TimePoint now);
    /// A read of the job stream reached its head; @p sentAt is the time at which the read was sent.
    void jobStreamRead(std::int64_t head, TimePoint sentAt, TimePoint now);
    /// A proposal was certainly not written. Proposals without a call stay outstanding until applied.
    void proposalFailed(std::int64_t id, TimePoint now);
    /// The other failure domain's stream holds the transferred job.
    void transferAppended(std::int64_t id, TimePoint now);

    // Input from configuration and membership.
    void setContracts(const std::vector<Contract> &contracts, TimePoint now);
    /// @p domainsIn: other failure domains that are in service, as destinations for transfers.
    void setDomainState(bool inService, const std::vector<std::string> &domainsInService, TimePoint now);
    /// The configuration was up to date with the log's head at @p provenAt.
    void setConfigVerifiedAt(TimePoint verifiedAt);
    /// A live owner of this failure domain was heard at @p heardAt, with its term.
    void ownerHeartbeatReceived(std::int64_t term, TimePoint receivedAt);

    // Input from workers.
    /// Workers of this failure domain, from settings or the instance list.
    void setWorkers(const std::vector<std::string> &workers, TimePoint now);
    void leaseAnswered(const std::string &worker, const LeaseResult &result, TimePoint sentAt, TimePoint now);
    /// The renewal failed; nothing is known about the worker.
    void leaseFailed(const std::string &worker, TimePoint now);
    void commandAnswered(const SchedulerAction &command, CommandOutcome outcome, TimePoint now);

    /// Returns what is due. Call at least every 100 ms and after input.
    std::vector<SchedulerAction> tick(TimePoint now);

    // State for operators and gateways.
    bool owner() const;
    std::int64_t term() const; // highest claim seen; -1 if there is none
    std::vector<Wire::JobStatus> jobs(const Wire::JobQuery &query) const;
    bool hasJob(const std::string &jobId) const;
    /// Service tasks that run, with their addresses. Complete only on the owner.
    std::vector<Wire::Target> targets() const;
    std::size_t pendingCount() const;
    std::size_t runningCount() const;
    std::size_t workerCount() const; // workers under this scheduler's lease

private:
    std::unique_ptr<Internal::SchedulerCoreState> m_state;
};

} // namespace Hyssop
