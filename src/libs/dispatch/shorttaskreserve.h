#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace Hyssop {

/// Determines how much capacity of a worker pool is reserved for short tasks, which serving tasks must not use.
///
/// Load pattern: long-running serving tasks fill the capacity, and bursts of short jobs then miss their deadlines. The
/// reserve follows the recent peak demand of running and pending short tasks, and decays slowly after a burst, so that
/// serving tasks get the capacity when short tasks don't need it. Capacity in pieces that are smaller than the largest short
/// task of late doesn't count as reserved: that task would find no worker.
class ShortTaskReserve
{
public:
    /// Running and pending short tasks of a worker pool, in thousandths of a core.
    struct Demand
    {
        std::int64_t milliCores = 0;
        std::int64_t largestTask = 0;
        std::int64_t smallestTask = 0;

        /// Adds @p taskMilliCores of tasks whose sizes are between @p smallest and @p largest.
        void add(std::int64_t taskMilliCores, std::int64_t smallest, std::int64_t largest);
    };

    void recordDemand(const std::string &workerPool, const Demand &demand, TimePoint now);

    /// Returns the reserve of @p workerPool, which has a total capacity of @p capacity, in thousandths of a core.
    std::int64_t milliCores(const std::string &workerPool, std::int64_t capacity) const;

    /// Returns the size of the largest short task of @p workerPool in the last seconds, in thousandths of a core.
    std::int64_t placeSize(const std::string &workerPool) const;

    /// Returns the size of the smallest short task of @p workerPool that runs or is pending, in thousandths of a core.
    std::int64_t smallestTask(const std::string &workerPool) const;

private:
    struct Peak
    {
        double demand = 0;
        TimePoint at{};
        std::int64_t largestTask = 0; // since sizesSince
        std::int64_t previousLargestTask = 0; // in the period before
        TimePoint sizesSince{};
        std::int64_t smallestTask = 0;
    };

    std::map<std::string, Peak> m_peaks; // by worker pool
};

} // namespace Hyssop
