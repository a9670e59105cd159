#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// Determines how long the owner waits for the responses of workers.
///
/// Load pattern: an owner whose processor share or link is used up handles the responses of most workers late. With a short timeout it
/// discards them, opens new connections, sends the commands again, and takes its own delay for the loss of workers, whose leases it
/// then no longer renews. So the timeout is extended while most responses of a second arrive late. Responses that don't arrive say
/// nothing about the owner: the failure of a region, or of six responses in ten, is noticed as fast as before. Each timeout ends before the lease that was
/// renewed with the command.
class ResponseTimeoutPolicy
{
public:
    /// @p leaseDuration is the length of the leases that the owner grants.
    explicit ResponseTimeoutPolicy(std::chrono::milliseconds leaseDuration);

    /// Records that a response arrived after @p responseTime. The time for which the worker was asked to wait does not count.
    void recordResponse(Duration responseTime, TimePoint now);

    /// Returns how long to wait for the response to a poll. @p isInDoubt: the last poll was not answered, or none of this owner was, so
    /// that nothing depends on a short timeout, and a late response counts as well. The first polls of a term are sent to all workers at
    /// once, and each opens a connection.
    std::chrono::milliseconds pollTimeout(bool isInDoubt, TimePoint now) const;

private:
    struct Responses
    {
        int total = 0;
        int late = 0;
    };

    bool isDelayed(TimePoint now) const { return now < m_delayedUntil; }

    std::chrono::milliseconds m_extendedTimeout;
    TimePoint m_intervalBeganAt{};
    Responses m_current; // of the interval that began then
    Responses m_previous; // of the interval before
    TimePoint m_delayedUntil{};
};

} // namespace Hyssop
