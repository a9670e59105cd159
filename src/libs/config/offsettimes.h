#pragma once

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace Hyssop::Internal {

/// Approximate write times of the records of a stream, in bounded memory.
class OffsetTimes
{
public:
    /// Records that the log wrote the record at @p offset at @p time. Offsets must not fall.
    void record(std::int64_t offset, WallTime time);

    /// Returns a lower bound for the time of the record at @p offset; no value if it is older than all recorded
    /// offsets.
    std::optional<WallTime> timeAt(std::int64_t offset) const;

private:
    struct Sample
    {
        std::int64_t offset;
        WallTime time;
    };

    void downsample();

    std::deque<Sample> m_samples;
    std::chrono::milliseconds m_spacing{1}; // minimum time between two samples; doubles when there are too many
};

} // namespace Hyssop::Internal
