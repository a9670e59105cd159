#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace Hyssop {

/// Decides how much counted capacity of a service serving tasks leave to short tasks.
///
/// Load pattern: serving jobs that last fill the capacity, and waves of short jobs then wait beyond their objective. The
/// reserve follows the highest recent demand of short tasks, running and waiting, and falls slowly after a wave, so that
/// serving tasks get the capacity when short ones don't need it.
class ShortTaskReserve
{
public:
    /// Notes that short tasks of @p service run on or wait for @p demand thousandths of a core.
    void recordDemand(const std::string &service, std::int64_t demand, TimePoint now);

    /// Returns the reserve of @p service, of which @p capacity is the whole capacity, in thousandths of a core.
    std::int64_t milliCores(const std::string &service, std::int64_t capacity) const;

private:
    struct Peak
    {
        double demand = 0;
        TimePoint at{};
    };

    std::map<std::string, Peak> m_peaks; // by service
};

} // namespace Hyssop
