#pragma once

#include "clock.h"

#include <chrono>
#include <cstddef>

namespace Hyssop {

/// Number, mean and maximum of delays.
struct DelaySummary
{
    std::size_t count = 0;
    Duration total{0};
    Duration longest{0};

    void add(Duration delay);
    void add(const DelaySummary &other);
    std::chrono::milliseconds mean() const;
};

} // namespace Hyssop
