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
/// serving tasks get the capacity when short tasks don't need it.
class ShortTaskReserve
{
public:
    /// Records that running and pending short tasks of @p workerPool need @p demand thousandths of a core.
    void recordDemand(const std::string &workerPool, std::int64_t demand, TimePoint now);

    /// Returns the reserve of @p workerPool, which has a total capacity of @p capacity, in thousandths of a core.
    std::int64_t milliCores(const std::string &workerPool, std::int64_t capacity) const;

private:
    struct Peak
    {
        double demand = 0;
        TimePoint at{};
    };

    std::map<std::string, Peak> m_peaks; // by worker pool
};

} // namespace Hyssop
