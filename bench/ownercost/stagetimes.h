#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Hyssop::Bench {

/// Returns the processor time of the calling thread.
std::chrono::nanoseconds threadTime();

/// Sums of the processor time of the stages of a program, by name of the stage.
class StageTimes
{
public:
    /// Adds the time since the last mark to @p stage, for @p count events, and sets the mark.
    void end(const std::string &stage, std::int64_t count = 1);

    /// Sets the mark, so that the time until now belongs to no stage.
    void begin() { m_mark = threadTime(); }

    void clear() { m_stages.clear(); }

    /// Prints all stages as shares of a core for a load that lasts @p simulated.
    void print(std::chrono::milliseconds simulated) const;

private:
    struct Stage
    {
        std::chrono::nanoseconds time{0};
        std::int64_t count = 0;
    };

    std::chrono::nanoseconds m_mark{0};
    std::map<std::string, Stage> m_stages;
};

} // namespace Hyssop::Bench
