#pragma once

#include <cstddef>
#include <cstdint>

namespace Hyssop {

/// Load of the workers at one moment, for logs and metrics.
struct DispatchSummary
{
    std::size_t workers = 0; // that may get work
    std::size_t openRuns = 0;
    std::size_t pendingReserved = 0; // waiting tasks that count against capacity
    std::size_t pendingBestEffort = 0; // waiting tasks that fill idle time
    std::size_t pendingServing = 0;
    std::int64_t milliCores = 0; // capacity of these workers
    std::int64_t freeMilliCores = 0;
    std::int64_t idleMilliCores = 0; // expected idle time
};

} // namespace Hyssop
