#pragma once

#include <chrono>
#include <optional>

namespace Hyssop {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::system_clock::time_point;

/// Whether a clock includes the time during which the machine is suspended.
enum class SuspendTime {
    Ignored, // like std::chrono::steady_clock
    Counted, // like CLOCK_BOOTTIME
};

/// Monotonic clock that tests can pause and advance.
class Clock
{
public:
    explicit Clock(SuspendTime suspendTime = SuspendTime::Ignored);

    /// Returns the current time; constant while the clock is paused.
    TimePoint now() const;

    /// Stops the clock at its current time.
    void pause();

    /// Advances a paused clock by @p step. Has no effect on a running clock.
    void advance(Duration step);

    /// Lets a paused clock run again, from the time at which it stands.
    void resume();

private:
    TimePoint sourceTime() const;

    SuspendTime m_suspendTime;
    std::optional<TimePoint> m_pausedAt;
    Duration m_offset = Duration::zero();
};

/// Returns @p time as milliseconds since the Unix epoch.
std::chrono::milliseconds sinceEpoch(WallTime time);

} // namespace Hyssop
