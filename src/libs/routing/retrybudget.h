#pragma once

#include <chrono>
#include <random>

namespace Hyssop {

/// Limits the retries of one service to a share of its successful requests, so that retries can't amplify an overload.
class RetryBudget
{
public:
    /// @p share is the number of retries per success, for example 0.1.
    explicit RetryBudget(double share);

    void setShare(double share);
    void recordSuccess();

    /// Takes one retry from the budget. Returns false if it is exhausted.
    bool tryTake();

    double available() const;

private:
    double m_share;
    double m_available;
};

/// Returns the backoff delay before retry number @p retry (1, 2, ...): uniformly distributed from 0 to a bound that
/// grows exponentially.
std::chrono::microseconds fullJitterDelay(int retry, std::mt19937_64 &random);

} // namespace Hyssop
