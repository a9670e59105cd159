#include "ownersilence.h"

namespace Hyssop {

// Longer than a read that waits for records plus the interval after it.
constexpr std::chrono::milliseconds MaximumReadInterval{1500};
// What counts of the time between two reads if all reads of this instance are slow. It must count, or no slow instance would ever claim.
constexpr std::chrono::milliseconds CountedSlowRead{500};

void OwnerSilence::handleRecord(TimePoint now)
{
    m_duration = Duration::zero();
    m_lastReadAt = now;
    m_isInterrupted = false;
}

void OwnerSilence::handleRead(TimePoint now)
{
    const Duration interval = now - m_lastReadAt;
    const bool isInterrupted = interval > MaximumReadInterval;
    if (!isInterrupted) {
        m_duration += interval;
    } else {
        m_duration = m_isInterrupted ? m_duration + CountedSlowRead : Duration::zero();
    }
    m_lastReadAt = now;
    m_isInterrupted = isInterrupted;
}

} // namespace Hyssop
