#pragma once

#include "hyssop_types.h"

#include <contract/contract.h>
#include <utils/clock.h>
#include <wire/logposition.h>
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

/// Requests or renews the lease on a worker and reads its status.
struct RenewLease
{
    std::string worker;
    std::int64_t epoch = 0;
    std::chrono::milliseconds duration{0};
    std::optional<std::chrono::milliseconds> notAfter; // deadline in the worker's clock; a request that is processed later has no effect
};

struct StartTask
{
    std::string worker;
    std::int64_t epoch = 0;
    Wire::JobSpec spec;
    int attempt = 0;
    std::string checkpoint;
    std::chrono::milliseconds notAfter{0}; // deadline in the worker's clock
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

/// Allows the worker to delete an ended task whose end is durable.
struct ForgetTask
{
    std::string worker;
    std::int64_t epoch = 0;
    std::string jobId;
    int attempt = 0;
};

/// Appends a record to the job stream. The core acts on the record only when it is read back from the stream.
struct Propose
{
    std::int64_t id = 0; // for proposalFailed()
    Wire::Record record;
};

/// Appends an ownership claim as the only record of its batch.
struct ProposeClaim
{
    std::int64_t id = 0;
    Wire::OwnershipClaim claim;
};

/// Appends a job to the job stream of another failure domain. Sent again until the transfer is confirmed.
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
    std::chrono::milliseconds leaseMargin{1000}; // maximum transit time of a renewal to the worker
    std::chrono::milliseconds renewInterval{1000};
    std::chrono::milliseconds permitDuration{3000}; // tasks are started only if the configuration was verified within this time
    std::chrono::milliseconds logOutageGrace{15 * 60 * 1000}; // an owner that can't reach the log renews its leases for this long
    std::chrono::milliseconds logRetention{24 * 60 * 60 * 1000}; // minimum time for which the log keeps records
    std::chrono::milliseconds ownerTimeout{2000}; // time without a sign of the owner before another instance claims the stream
    std::chrono::milliseconds claimJitter{500};
    std::uint64_t seed = 1; // of the claim jitter
    std::size_t maximumStartsPerTick = 256;
};

namespace Internal {
struct SchedulerCoreState;
}

/// Scheduling logic of one failure domain, without I/O: ownership, job ledger, leases, placement, eviction and
/// recovery.
class SchedulerCore
{
public:
    explicit SchedulerCore(SchedulerCoreOptions options);
    ~SchedulerCore();

    // Input from the job stream, in offset order.
    void apply(LogPosition position, WallTime time, const Wire::Record &record, TimePoint now);
    /// A read of the job stream reached its head; @p sentAt is the time at which the read was sent.
    void jobStreamRead(std::int64_t head, TimePoint sentAt, TimePoint now);
    /// The record of a proposal was certainly not written. Without this call a proposal stays outstanding until its
    /// record is applied.
    void proposalFailed(std::int64_t id, TimePoint now);
    /// The other failure domain's stream holds the transferred job.
    void transferAppended(std::int64_t id, TimePoint now);

    // Input from configuration and membership.
    void setContracts(const std::vector<Contract> &contracts, TimePoint now);
    /// @p domainsInService: other failure domains that are in service, as destinations for transfers.
    void setDomainState(bool inService, const std::vector<std::string> &domainsInService, TimePoint now);
    /// The configuration was up to date with the log's head at @p verifiedAt.
    void setConfigVerifiedAt(TimePoint verifiedAt);
    /// A heartbeat from this failure domain with the owner's or a newer term arrived at @p receivedAt.
    void ownerHeartbeatReceived(std::int64_t term, TimePoint receivedAt);

    // Input from workers.
    /// Workers of this failure domain, from settings or the instance list.
    void setWorkers(const std::vector<std::string> &workers, TimePoint now);
    void leaseAnswered(const std::string &worker, const LeaseResult &result, TimePoint sentAt, TimePoint now);
    /// The renewal failed without an answer; the state of the worker is unknown.
    void leaseFailed(const std::string &worker, TimePoint now);
    void commandAnswered(const SchedulerAction &command, CommandOutcome outcome, TimePoint now);

    /// Returns the actions that are due. Call at least every 100 ms and after each input.
    std::vector<SchedulerAction> tick(TimePoint now);

    // State for operators and gateways.
    bool owner() const;
    std::int64_t term() const; // offset of the highest ownership claim; -1 if there is none
    std::vector<Wire::JobStatus> jobs(const Wire::JobQuery &query) const;
    bool hasJob(const std::string &jobId) const;
    /// Running service tasks with their addresses. Complete only on the owner.
    std::vector<Wire::Target> targets() const;
    std::size_t pendingCount() const;
    std::size_t runningCount() const;
    std::size_t workerCount() const; // workers under this scheduler's lease

private:
    std::unique_ptr<Internal::SchedulerCoreState> m_state;
};

} // namespace Hyssop
