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
    std::chrono::milliseconds margin{1000}; // longest delay of a renewal on its way to the worker
    std::chrono::milliseconds renewInterval{1000};
    std::chrono::milliseconds formerOwnerGrace{15 * 60 * 1000}; // a former owner without log contact renews for that long
};

struct LeaseRenewal
{
    std::string worker;
    std::chrono::milliseconds duration{0};
    /// In the worker's clock. A request that is processed later, for example after the worker was frozen, must have no
    /// effect, because the owner may count the worker as lost by then. No value before the worker's clock is known.
    std::optional<std::chrono::milliseconds> notAfter;
};

/// Leases of one owner on its workers: when to renew, when a worker counts as lost, and what its clock shows.
class WorkerLeaseTable
{
public:
    explicit WorkerLeaseTable(WorkerLeaseOptions options);

    /// Starts anew for a term that was read from the stream at @p now. Every worker counts as not yet reached.
    void beginTerm(TimePoint now);
    /// Adds a worker that is not in the table yet.
    void add(const std::string &worker, TimePoint now);
    void remove(const std::string &worker);

    /// Returns the renewals to send now. No lease reaches beyond the time at which its worker counts as lost.
    std::vector<LeaseRenewal> dueRenewals(TimePoint now);
    /// Returns false if the answer is older than one that was taken before.
    bool granted(const std::string &worker, const WorkerStatus &status, TimePoint sentAt, TimePoint now);
    void refused(const std::string &worker, TimePoint now);
    void failed(const std::string &worker, TimePoint now);

    /// Returns workers that have become lost: every task that needs the lease has stopped there.
    std::vector<std::string> takeLostWorkers(TimePoint now);

    /// True if this owner's epoch holds the lease and commands may be sent.
    bool held(const std::string &worker, TimePoint now) const;
    /// True if the lease is held and one of the last renewals was answered. Starts need this: after a longer silence the
    /// worker may have restarted, and then bounds in its old clock mean nothing.
    bool responsive(const std::string &worker, TimePoint now) const;
    /// True if the worker has answered under this owner's epoch.
    bool hasAnswered(const std::string &worker) const;
    bool lost(const std::string &worker) const;
    /// The last status under this owner's epoch, or a null pointer.
    const WorkerStatus *status(const std::string &worker) const;
    std::vector<std::string> workers() const;
    std::size_t heldCount(TimePoint now) const;

    /// Latest reading of the worker's clock that it shows no later than @p bound, whatever the delays of the last answer
    /// were. No value without an answer under this owner's epoch.
    std::optional<std::chrono::milliseconds> clockNoLaterThan(const std::string &worker, TimePoint bound) const;

private:
    struct Lease
    {
        TimePoint lostAt; // not to be declared lost earlier
        TimePoint nextRenewalAt;
        std::optional<TimePoint> outstandingSince; // renewal without answer
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
