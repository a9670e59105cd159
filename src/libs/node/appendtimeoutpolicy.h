#pragma once

#include <chrono>
#include <cstddef>

namespace Hyssop {

/// Decides how long the owner waits for the response to an append before it repeats the append with the same position. The store executes
/// it only once, so an early repetition is safe.
class AppendTimeoutPolicy
{
public:
    /// Records the time from an attempt to its response.
    void recordLatency(std::chrono::milliseconds latency) { m_latency = latency; }

    /// Returns the timeout of an attempt to append @p bytes, before which @p attempts had no response.
    std::chrono::milliseconds timeout(std::size_t bytes, int attempts) const;

private:
    std::chrono::milliseconds m_latency{0};
};

} // namespace Hyssop
