#pragma once

#include <utils/clock.h>

namespace Hyssop::Testing {

/// When the process of an owner gets no processor time, as with a quota: for the last part of each period.
struct OwnerStalls
{
    Duration period{0}; // 0: never
    Duration length{0};

    bool isStalled(TimePoint now) const { return period > Duration::zero() && now.time_since_epoch() % period >= period - length; }

    /// Returns the end of the stall at @p now.
    TimePoint endOfStall(TimePoint now) const { return now - now.time_since_epoch() % period + period; }
};

} // namespace Hyssop::Testing
