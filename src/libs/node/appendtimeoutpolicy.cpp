#include "appendtimeoutpolicy.h"

#include <algorithm>

namespace Hyssop {

// Other instances claim the topic 1.5 s after the last record that they have read (ClaimPolicy). Within that time the owner notices that a
// renewal has no response and repeats it: 0.5 s until the renewal, this timeout, 0.06 s until the repetition, its append, and 0.25 s
// until the others read.
constexpr std::chrono::milliseconds MinimumTimeout{500};
// Of repetitions too: a store that has become slow must be able to respond.
constexpr std::chrono::milliseconds MaximumTimeout{1500};
// The store may be slow, and responses are not equally late.
constexpr int LatencyFactor = 2;
// A link that commands have filled carries a large append no faster. Repetitions would only add to the load.
constexpr std::size_t BytesPerMillisecond = 32;

std::chrono::milliseconds AppendTimeoutPolicy::timeout(std::size_t bytes, int attempts) const
{
    if (attempts > 0) {
        return MaximumTimeout;
    }
    const auto expected = std::max(MinimumTimeout, m_latency * LatencyFactor);
    return std::min(MaximumTimeout, expected + std::chrono::milliseconds(bytes / BytesPerMillisecond));
}

} // namespace Hyssop
