#pragma once

#include <chrono>
#include <cstddef>

namespace Hyssop {

/// Decides how long the owner waits for the response to an append before it repeats the append with the same position, and how long before
/// it gives an attempt up. The store executes the append only once, so an early repetition is safe.
class AppendTimeoutPolicy
{
public:
    /// Records the time from an attempt to its response.
    void recordLatency(std::chrono::milliseconds latency) { m_latency = latency; }

    /// Returns the time after which an append of @p bytes without a response is repeated if @p attempts is 0, otherwise the timeout of an
    /// attempt.
    std::chrono::milliseconds timeout(std::size_t bytes, int attempts) const;

private:
    std::chrono::milliseconds m_latency{0};
};

} // namespace Hyssop
