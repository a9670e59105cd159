#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <vector>

namespace Hyssop {

/// What the serving runs on a worker use and can bear in the next seconds.
struct ServingOutlook
{
    struct Slack
    {
        std::uint32_t image = 0; // of some serving runs
        double utilization = 0; // that neighbours may still add to the run that bears least; negative: too much is there
    };

    TimePoint at{}; // when it was computed; none: it is out of date
    std::int64_t milliCores = 0; // highest use of all serving runs
    std::vector<Slack> slacks; // one for each image
};

} // namespace Hyssop
