#pragma once

#include <utils/clock.h>

#include <chrono>
#include <optional>

namespace Hyssop {

/// Estimates the time in which a store usually responds, from a smoothed mean and a smoothed deviation, as RFC 6298 does for the round-trip
/// time. Late responses count as well, so that a store that has become slow is not asked more often.
class ResponseTimeEstimate
{
public:
    /// Records a response. If the store may have waited for records, the response time is known only to be within the range.
    void record(Duration shortest, Duration longest);

    /// Returns how long a response may take before its request is repeated.
    Duration repeatDelay() const;

private:
    std::optional<Duration> m_mean; // none: no response so far
    Duration m_deviation{0};
};

} // namespace Hyssop
