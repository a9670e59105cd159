#pragma once

#include <chrono>
#include <random>

namespace Hyssop {

/// Bounds the retries of one service to a share of its successful requests, so that retries can't multiply an overload.
class RetryBudget
{
public:
    /// @p share is retries for each success, for example 0.1.
    explicit RetryBudget(double share);

    void setShare(double share);
    void noteSuccess();

    /// Takes one retry; false if the budget is used up.
    bool tryTake();

    double available() const;

private:
    double m_share;
    double m_available;
};

/// Draws the delay before retry number @p retry (1, 2, ...) from the full range up to an exponentially growing bound.
std::chrono::microseconds fullJitterDelay(int retry, std::mt19937_64 &random);

} // namespace Hyssop
