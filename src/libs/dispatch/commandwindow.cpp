#include "commandwindow.h"

#include <algorithm>
#include <chrono>

namespace Hyssop {

constexpr std::size_t MinimumSize = 8;
constexpr std::size_t MaximumSize = 8192;
constexpr std::size_t SizeStep = 8;
constexpr std::chrono::milliseconds RoundDuration{200};
constexpr std::size_t MinimumSlowResponses = 16; // fewer may be due to a worker
// Longer than a round trip to a distant region, and a third of the time that a poll has.
constexpr std::chrono::milliseconds SlowResponse{300};

std::size_t CommandWindow::room(std::size_t outstanding) const
{
    return m_size - std::min(m_size, outstanding);
}

void CommandWindow::recordResponse(Duration time, TimePoint now)
{
    count(time > SlowResponse, now);
}

void CommandWindow::recordTimeout(TimePoint now)
{
    count(true, now);
}

void CommandWindow::count(bool isSlow, TimePoint now)
{
    (isSlow ? m_slow : m_fast) += 1;
    if (now - m_roundBeganAt < RoundDuration) {
        return;
    }
    update();
    m_roundBeganAt = now;
    m_fast = 0;
    m_slow = 0;
}

void CommandWindow::update()
{
    m_isCongested = m_slow > m_fast && m_slow >= std::min(MinimumSlowResponses, m_size);
    if (m_isCongested) {
        m_size = std::max(MinimumSize, m_size * 2 / 3);
    } else if (m_fast >= m_slow) {
        m_size = std::min(MaximumSize, m_size + m_size / 4 + SizeStep);
    }
}

} // namespace Hyssop
