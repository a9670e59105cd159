#include "offsettimes.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace Hyssop::Internal {

constexpr std::size_t MaximumSamples = 4096;

void OffsetTimes::record(std::int64_t offset, WallTime time)
{
    if (!m_samples.empty() && (offset <= m_samples.back().offset || time - m_samples.back().time < m_spacing)) {
        return;
    }
    m_samples.push_back({offset, time});
    while (m_samples.size() > MaximumSamples) {
        downsample();
    }
}

std::optional<WallTime> OffsetTimes::timeAt(std::int64_t offset) const
{
    const auto next = std::ranges::upper_bound(m_samples, offset, {}, &Sample::offset);
    if (next == m_samples.begin()) {
        return std::nullopt;
    }
    return std::prev(next)->time;
}

void OffsetTimes::downsample()
{
    m_spacing *= 2;
    std::deque<Sample> kept;
    for (const Sample &sample : m_samples) {
        if (kept.empty() || sample.time - kept.back().time >= m_spacing) {
            kept.push_back(sample);
        }
    }
    m_samples = std::move(kept);
}

} // namespace Hyssop::Internal
