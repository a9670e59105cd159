#pragma once

#include <utils/clock.h>

namespace Hyssop {

/// Token bucket for the request rate of one service.
class RateLimit
{
public:
    /// @p ratePerSecond comes from the contract; the bucket holds a quarter of a second's requests, at least one.
    RateLimit(double ratePerSecond, TimePoint now);

    void setRate(double ratePerSecond);

    /// Takes a token. @p admittedShare (0 to 1) slows the refill while load is admitted gradually.
    bool tryTake(TimePoint now, double admittedShare = 1);

private:
    double capacity() const;

    double m_rate;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace Hyssop
