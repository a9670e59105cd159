#pragma once

#include <utils/clock.h>

#include <cstddef>

namespace Hyssop {

/// Bounds the start commands that are not answered, so that they don't delay the polls that renew leases.
///
/// Load pattern: more tasks can be placed at once than the link or the processor of the owner carries. Their commands delay its polls
/// until these time out; workers then count as unreachable, and what is sent again delays the others. The window shrinks while most
/// responses are slow, whichever workers they come from. A few slow or silent workers don't change it.
class CommandWindow
{
public:
    /// Returns how many more commands may be sent beside @p outstanding ones.
    std::size_t room(std::size_t outstanding) const;

    /// Records a response that came @p time after the command.
    void recordResponse(Duration time, TimePoint now);

    /// Records a command without a response.
    void recordTimeout(TimePoint now);

    /// Returns true if most responses were slow when they were last counted.
    bool isCongested() const { return m_isCongested; }

    std::size_t size() const { return m_size; }

private:
    void count(bool isSlow, TimePoint now);
    void update();

    static constexpr std::size_t InitialSize = 256;

    std::size_t m_size = InitialSize;
    bool m_isCongested = false;
    TimePoint m_roundBeganAt{};
    std::size_t m_fast = 0; // responses in this round
    std::size_t m_slow = 0; // slow or missing responses in this round
};

} // namespace Hyssop
