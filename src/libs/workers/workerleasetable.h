#pragma once

#include "workerstatus.h"

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

struct WorkerLeaseOptions
{
    std::chrono::milliseconds duration{10000};
    std::chrono::milliseconds margin{1000}; // maximum transit time of a renewal to the worker
    std::chrono::milliseconds renewInterval{1000};
    std::chrono::milliseconds previousOwnerGrace{15 * 60 * 1000}; // a previous owner that can't reach the log renews its leases for this long
};

struct LeaseRenewal
{
    std::string worker;
    std::chrono::milliseconds duration{0};
    /// Deadline in the worker's clock. A request that is processed later, for example after the worker process was
    /// suspended, must have no effect, because the owner may consider the worker lost by then. No value before the
    /// worker's clock is known.
    std::optional<std::chrono::milliseconds> notAfter;
};

/// Leases of one owner on its workers: when to renew them, when a worker is considered lost, and bounds for the
/// worker's clock.
class WorkerLeaseTable
{
public:
    explicit WorkerLeaseTable(WorkerLeaseOptions options);

    /// Begins a term whose claim was read from the stream at @p now. Resets the leases of all workers.
    void beginTerm(TimePoint now);
    /// Adds a worker that is not in the table yet.
    void add(const std::string &worker, TimePoint now);
    void remove(const std::string &worker);

    /// Returns the renewals to send now. No lease lasts beyond the time at which its worker is considered lost.
    std::vector<LeaseRenewal> dueRenewals(TimePoint now);
    /// Returns false if the worker is unknown or the answer is older than one that was processed before.
    bool granted(const std::string &worker, const WorkerStatus &status, TimePoint sentAt, TimePoint now);
    void refused(const std::string &worker, TimePoint now);
    void failed(const std::string &worker, TimePoint now);

    /// Returns the workers that have become lost since the last call: all their tasks that need the lease have stopped.
    std::vector<std::string> takeLostWorkers(TimePoint now);

    /// True if this owner's epoch holds the lease and commands may be sent.
    bool held(const std::string &worker, TimePoint now) const;
    /// True if the lease is held and one of the last renewals was answered. Required for starts: after a longer time
    /// without an answer the worker may have restarted, and then deadlines in its old clock are not valid.
    bool responsive(const std::string &worker, TimePoint now) const;
    /// True if the worker has answered under this owner's epoch.
    bool hasAnswered(const std::string &worker) const;
    bool lost(const std::string &worker) const;
    /// The last status under this owner's epoch, or a null pointer.
    const WorkerStatus *status(const std::string &worker) const;
    std::vector<std::string> workers() const;
    std::size_t heldCount(TimePoint now) const;

    /// Returns the latest time that the worker's clock is certain to reach no later than @p bound, regardless of the
    /// delay of the last answer. No value without an answer under this owner's epoch.
    std::optional<std::chrono::milliseconds> clockNoLaterThan(const std::string &worker, TimePoint bound) const;

private:
    struct Lease
    {
        TimePoint lostAt; // the worker is not considered lost before
        TimePoint nextRenewalAt;
        std::optional<TimePoint> outstandingSince; // send time of the renewal that awaits its answer
        std::chrono::milliseconds outstandingDuration{0};
        std::optional<TimePoint> grantSentAt; // request time of the last grant
        TimePoint answeredAt; // answer time of the last grant
        WorkerStatus status;
        bool lost = false;
        bool holds = false;
        bool clockKnown = false; // status.clock can be compared with the worker's present clock
    };

    Duration withMargin(Duration interval) const;
    std::chrono::milliseconds renewalDuration(const Lease &lease, TimePoint now) const;
    const Lease *find(const std::string &worker) const;

    WorkerLeaseOptions m_options;
    TimePoint m_termStartedAt;
    std::map<std::string, Lease> m_leases;
};

} // namespace Hyssop
