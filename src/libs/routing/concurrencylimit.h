#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// Adaptive limit of requests in flight for one service. Rises by about one for each limit's worth of fast answers and
/// falls by a tenth on overload (additive increase, multiplicative decrease). Never above the contract's concurrency.
class ConcurrencyLimit
{
public:
    /// @p maximum comes from the contract. Answers slower than twice @p objective count as overload; zero turns that off.
    ConcurrencyLimit(int maximum, std::chrono::microseconds objective);

    /// Takes over a changed contract and keeps the requests in flight.
    void setBounds(int maximum, std::chrono::microseconds objective);

    /// Takes a place if fewer than limit() * @p admittedShare requests are in flight; one place is always available.
    bool tryAcquire(double admittedShare = 1);

    /// Gives the place back without a sample, for example after a request that was not run.
    void release();

    /// Gives the place back. @p latency is the time to the first byte of the answer.
    void releaseAfterAnswer(std::chrono::microseconds latency, TimePoint now);

    /// Gives the place back after a timeout, a lost connection or a target's 503.
    void releaseAfterOverload(TimePoint now);

    int limit() const;
    int inFlight() const;

private:
    void decrease(TimePoint now);

    int m_maximum;
    std::chrono::microseconds m_objective;
    double m_limit;
    int m_inFlight = 0;
    TimePoint m_decreasedAt;
};

} // namespace Hyssop
