#pragma once

#include <utils/clock.h>

#include <optional>

namespace Hyssop {

/// When the owner read its own claim.
struct ClaimTimes
{
    TimePoint readAt{}; // when the response with the claim was processed
    TimePoint readSentAt{}; // when its request was sent: no later claim existed then
    std::optional<TimePoint> silentWorkersReadAt{}; // when the record of silent workers was read; none: an owner may have written a newer one
};

} // namespace Hyssop
