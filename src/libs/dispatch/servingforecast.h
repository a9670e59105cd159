#pragma once

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Hyssop {

/// What the serving runs on a worker use and can bear in the next seconds, and what becomes free.
struct ServingForecast
{
    static constexpr std::chrono::milliseconds ShortHorizon{2000};
    static constexpr std::chrono::milliseconds LongHorizon{4000};

    /// Utilization that neighbours may still add to the serving runs of one image, of the run that bears least. Negative:
    /// too much is there already.
    struct Headroom
    {
        std::uint32_t image = 0;
        double shortTerm = 0; // within Soon
        double longTerm = 0; // within Later
    };

    TimePoint at{}; // when it was computed; none: it is out of date
    std::int64_t milliCores = 0; // highest use of all serving runs within Soon
    std::int64_t endingMilliCores = 0; // declared by filling runs that end before another one could begin
    std::vector<Headroom> headrooms; // one for each image

    void add(const Headroom &headroom);
};

} // namespace Hyssop
