#pragma once

#include <utils/clock.h>

namespace Hyssop {

/// When the owner read its own claim.
struct ClaimTimes
{
    TimePoint readAt{}; // when the response with the claim was processed
    TimePoint readSentAt{}; // when its request was sent: no later claim existed then
};

} // namespace Hyssop
