#pragma once

#include <chrono>
#include <vector>

namespace Hyssop::Bench {

struct StageCost;

/// Processor time that an owner may use on a slower machine.
struct OwnerBudget
{
    double coreShare = 0.5; // of an instance on the large site
    double slowdown = 2; // how many times longer the slower machine takes
    std::chrono::seconds day{60};
};

/// Prints @p costs, their sum for each of @p startsPerSecond starts, and a comparison of the sum with @p budget. Returns true if the sum is
/// within the budget.
bool printCosts(const std::vector<StageCost> &costs, double startsPerSecond, const OwnerBudget &budget);

} // namespace Hyssop::Bench
