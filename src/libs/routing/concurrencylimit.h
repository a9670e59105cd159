#pragma once

#include <utils/clock.h>

#include <chrono>

namespace Hyssop {

/// Adaptive limit on the requests in flight of one service (additive increase, multiplicative decrease). Increases by
/// about one per limit() fast responses and decreases by a tenth on overload. Never exceeds the contract's concurrency.
class ConcurrencyLimit
{
public:
    /// @p maximum is the contract's concurrency. Responses slower than twice @p objective count as overload; an objective
    /// of 0 disables this.
    ConcurrencyLimit(int maximum, std::chrono::microseconds objective);

    /// Applies a changed contract. Requests in flight stay counted.
    void setBounds(int maximum, std::chrono::microseconds objective);

    /// Acquires a slot if fewer than limit() * @p admittedShare requests are in flight. One request is admitted even if
    /// the product is below 1.
    bool tryAcquire(double admittedShare = 1);

    /// Releases a slot without a latency sample, for example after a request that was not run.
    void release();

    /// Releases a slot. @p latency is the time to the first byte of the response.
    void releaseAfterResponse(std::chrono::microseconds latency, TimePoint now);

    /// Releases a slot after a timeout or a 503 response of a target.
    void releaseAfterOverload(TimePoint now);

    int limit() const;
    int inFlight() const;

private:
    void decrease(TimePoint now);

    int m_maximum;
    std::chrono::microseconds m_objective;
    double m_limit;
    int m_inFlight = 0;
    TimePoint m_lastDecrease;
};

} // namespace Hyssop
