#pragma once

#include "stagecost.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::Bench {

/// Returns the processor time of the calling thread.
std::chrono::nanoseconds threadTime();

/// Sums of the processor time and the allocations of the stages of a program, by name of the stage.
class StageTimes
{
public:
    /// Adds the time since the last mark to @p stage, for @p count events, and sets the mark.
    void end(const std::string &stage, std::int64_t count = 1);

    /// Sets the mark, so that the time until now belongs to no stage.
    void begin();

    void clear() { m_stages.clear(); }

    /// Returns the sum of all stages since the construction.
    std::chrono::nanoseconds total() const { return m_total; }

    /// Returns the costs of all stages for a load that lasts @p simulated.
    std::vector<StageCost> costs(std::chrono::milliseconds simulated) const;

    /// Returns the cost of @p stage under a load of @p eventsPerSecond.
    StageCost cost(const std::string &stage, double eventsPerSecond) const;

private:
    struct Stage
    {
        std::chrono::nanoseconds time{0};
        std::int64_t count = 0;
        std::int64_t allocations = 0;
    };

    static StageCost costOf(const std::string &name, const Stage &stage, double eventsPerSecond);

    std::chrono::nanoseconds m_total{0};
    std::chrono::nanoseconds m_mark{0};
    std::int64_t m_markedAllocations = 0;
    std::map<std::string, Stage> m_stages;
};

} // namespace Hyssop::Bench
