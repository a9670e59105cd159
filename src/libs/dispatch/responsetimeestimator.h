#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// Estimates from the responses of all workers after which time a response is overdue, in the way of a retransmission timeout of TCP: the
/// smoothed response time and a multiple of its smoothed deviation.
///
/// Load pattern: where responses are lost, those that arrive are quick, so the owner asks again soon. Where the owner is late itself, all
/// arrive and are late, so it asks later and doesn't multiply its own load.
class ResponseTimeEstimator
{
public:
    /// Records that a response that the worker might delay by @p wait has arrived after @p sinceSent.
    void recordResponse(Duration sinceSent, Duration wait);

    /// Returns after which time a response that the worker has not delayed is overdue.
    Duration usualTime() const;

private:
    void record(std::chrono::duration<double> responseTime);

    std::chrono::duration<double> m_mean{0.3}; // a new owner opens its connections with its first requests
    std::chrono::duration<double> m_deviation{0.05};
};

} // namespace Hyssop
