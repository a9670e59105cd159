#pragma once

#include <utils/clock.h>

namespace Hyssop {

/// Bounds the polls of all workers that are repeated while another is open, by the responses that arrive. So an owner whose link or
/// processor share is used up does not make it worse.
class RepeatedPollBudget
{
public:
    /// Records that a worker has responded to a poll. Less is permitted for the response to a repeated one, so that responses to these alone
    /// don't keep up their number.
    void recordResponse(bool isRepeated);

    /// Returns true and uses up one repeated poll if one is permitted at @p now.
    bool take(TimePoint now);

private:
    double m_available = 20;
    TimePoint m_refilledAt{};
};

} // namespace Hyssop
