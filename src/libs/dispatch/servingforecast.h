#pragma once

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Hyssop {

/// Forecast for the serving runs on a worker: expected processor use, and headroom for interference in the next seconds.
struct ServingForecast
{
    static constexpr std::chrono::milliseconds ProcessorHorizon{2000};
    static constexpr std::chrono::milliseconds ControlHorizon{1000}; // until the speed of a best-effort run can be adjusted

    /// Utilization that further neighbours may add to the serving runs of one image within ControlHorizon, taken from the run with the
    /// least headroom. Negative if a run is expected to exceed its target already.
    struct Headroom
    {
        std::uint32_t image = 0;
        double utilization = 0;
    };

    TimePoint at{}; // when the forecast was computed; default: out of date
    std::int64_t milliCores = 0; // maximum use of all serving runs within ProcessorHorizon
    std::int64_t endingMilliCores = 0; // declared by best-effort runs that end before another run could start
    std::vector<Headroom> headrooms; // one per image

    void add(const Headroom &headroom);
};

} // namespace Hyssop
