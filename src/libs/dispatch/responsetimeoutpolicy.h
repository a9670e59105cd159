#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// Determines how long the owner waits for the responses of workers.
///
/// Load pattern: an owner whose processor share or link is used up handles the responses of most workers late. With a short timeout it
/// discards them, opens new connections, sends the commands again, and takes its own delay for the loss of workers, whose leases it
/// then no longer renews. So the timeout is extended while most results of a second are late. A failure that hits few
/// workers, or those of one region, is noticed as fast as before. Each timeout ends before the lease that was renewed with the command.
class ResponseTimeoutPolicy
{
public:
    /// @p leaseDuration is the length of the leases that the owner grants.
    explicit ResponseTimeoutPolicy(std::chrono::milliseconds leaseDuration);

    /// Records that a command got a response, or none until its timeout, after @p responseTime. The time for which the worker was asked
    /// to wait does not count.
    void recordResult(Duration responseTime, TimePoint now);

    /// Returns how long to wait for the response to a poll. @p isFirstContact: no poll of this owner was answered by the worker. The
    /// first polls of a term are sent to all workers at once, and each opens a connection.
    std::chrono::milliseconds pollTimeout(bool isFirstContact, TimePoint now) const;

private:
    struct Results
    {
        int total = 0;
        int late = 0; // with a slow response or none
    };

    bool isDelayed(TimePoint now) const { return now < m_delayedUntil; }

    std::chrono::milliseconds m_extendedTimeout;
    TimePoint m_intervalBeganAt{};
    Results m_current; // of the interval that began then
    Results m_previous; // of the interval before
    TimePoint m_delayedUntil{};
};

} // namespace Hyssop
