#pragma once

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Hyssop {

/// What the serving runs on a worker use and can bear in the next seconds, and what becomes free.
struct ServingOutlook
{
    static constexpr std::chrono::milliseconds Soon{2000};
    static constexpr std::chrono::milliseconds Later{4000};

    /// Utilization that neighbours may still add to the serving runs of one image, of the run that bears least. Negative:
    /// too much is there already.
    struct Slack
    {
        std::uint32_t image = 0;
        double soon = 0; // within Soon
        double later = 0; // within Later
    };

    TimePoint at{}; // when it was computed; none: it is out of date
    std::int64_t milliCores = 0; // highest use of all serving runs within Soon
    std::int64_t endingMilliCores = 0; // declared by filling runs that end before another one could begin
    std::vector<Slack> slacks; // one for each image

    void add(const Slack &slack);
};

} // namespace Hyssop
