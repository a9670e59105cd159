#pragma once

#include <utils/clock.h>

namespace Hyssop {

/// Token bucket that limits the request rate of one service.
class RateLimit
{
public:
    /// @p ratePerSecond comes from the contract. The bucket holds the requests of a quarter of a second, at least one.
    RateLimit(double ratePerSecond, TimePoint now);

    void setRate(double ratePerSecond);

    /// Takes a token and returns whether one was available. @p admittedShare (0 to 1) scales the refill rate during an
    /// admission ramp.
    bool tryTake(TimePoint now, double admittedShare = 1);

private:
    double capacity() const;

    double m_rate;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace Hyssop
