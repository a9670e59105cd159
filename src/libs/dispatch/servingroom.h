#pragma once

#include <cstdint>
#include <string>

namespace Hyssop {

/// Processor capacity of a worker pool that further serving tasks may reserve, in thousandths of a core.
struct ServingRoom
{
    std::string workerPool;
    std::int64_t capacity = 0; // of the pool
    std::int64_t milliCores = 0; // negative: accepted serving tasks need more than they may reserve

    bool operator==(const ServingRoom &other) const = default;
};

} // namespace Hyssop
