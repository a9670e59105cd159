#include "ownerbudget.h"

#include "stagecost.h"

#include <cstdio>

namespace Hyssop::Bench {

bool printCosts(const std::vector<StageCost> &costs, double startsPerSecond, const OwnerBudget &budget)
{
    std::printf("%-30s %12s %12s %12s %12s %12s\n", "stage", "per second", "us each", "allocations", "core %", "% of budget");
    double coreShare = 0;
    double allocations = 0; // a second
    for (const StageCost &cost : costs) {
        coreShare += cost.coreShare();
        allocations += cost.eventsPerSecond * cost.allocations;
        std::printf("%-30s %12.1f %12.2f %12.2f %12.2f %12.1f\n",
                    cost.stage.c_str(),
                    cost.eventsPerSecond,
                    cost.microseconds,
                    cost.allocations,
                    cost.coreShare() * 100,
                    cost.coreShare() * budget.slowdown / budget.coreShare * 100);
    }
    std::printf("each start with all that belongs to it: %.1f us, %.1f allocations\n", coreShare * 1e6 / startsPerSecond, allocations / startsPerSecond);
    const auto day = static_cast<double>(budget.day.count());
    std::printf("processor time in a day of %.0f s: %.1f s here, %.1f s on a machine that is %.2f times slower; budget %.1f s (%.2f of a core)\n",
                day,
                coreShare * day,
                coreShare * budget.slowdown * day,
                budget.slowdown,
                budget.coreShare * day,
                budget.coreShare);
    std::printf("the budget is kept on machines that are up to %.2f times slower\n", budget.coreShare / coreShare);
    return coreShare * budget.slowdown <= budget.coreShare;
}

} // namespace Hyssop::Bench
