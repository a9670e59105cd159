#pragma once

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace Hyssop::Internal {

/// Remembers about when the records of a stream were written, in bounded memory.
class OffsetTimes
{
public:
    /// Notes that the log wrote the record at @p offset at @p time. Offsets must not fall.
    void record(std::int64_t offset, WallTime time);

    /// Returns a lower bound for the time of the record at @p offset; no value if it is older than everything noted.
    std::optional<WallTime> timeAt(std::int64_t offset) const;

private:
    struct Sample
    {
        std::int64_t offset;
        WallTime time;
    };

    void downsample();

    std::deque<Sample> m_samples;
    std::chrono::milliseconds m_spacing{1}; // between two samples; grows when there are too many
};

} // namespace Hyssop::Internal
