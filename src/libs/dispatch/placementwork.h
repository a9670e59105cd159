#pragma once

#include <cstdint>

namespace Hyssop {

/// Number of operations in placement passes, which determine their cost.
struct PlacementWork
{
    std::uint64_t passes = 0;
    std::uint64_t visitedJobs = 0;
    std::uint64_t examinedWorkers = 0; // for one request each
};

} // namespace Hyssop
