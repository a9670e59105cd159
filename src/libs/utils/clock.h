#pragma once

#include <chrono>
#include <optional>

namespace Hyssop {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::system_clock::time_point;

/// What a clock counts while the machine is suspended.
enum class SuspendTime {
    Ignored, // as std::chrono::steady_clock
    Counted,
};

/// Source of monotonic time. Tests pause it and advance it by hand.
class Clock
{
public:
    explicit Clock(SuspendTime suspendTime = SuspendTime::Ignored);

    /// Returns the current time; constant while the clock is paused.
    TimePoint now() const;

    /// Stops the clock at its current time.
    void pause();

    /// Moves a paused clock forward. Has no effect on a running clock.
    void advance(Duration step);

    /// Lets a paused clock follow real time again.
    void resume();

private:
    TimePoint sourceTime() const;

    SuspendTime m_suspendTime;
    std::optional<TimePoint> m_pausedAt;
    Duration m_offset = Duration::zero();
};

/// Converts to milliseconds since the Unix epoch.
std::chrono::milliseconds sinceEpoch(WallTime time);

} // namespace Hyssop
