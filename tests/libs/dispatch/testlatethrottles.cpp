#include "colocatedfleet.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t WorkerMilliCores = 64000;
constexpr Duration HarmBound = 4s; // of the platform, for a serving task over its target beside best-effort tasks
constexpr Duration TrainingTime = 60s;
constexpr Duration ObservedTime = 40s;

/// Returns the longest time over its target of a serving task beside one best-effort run, of whose raises of the speed @p lateRaises are
/// executed after @p delay.
Duration timeOverTarget(int lateRaises, std::chrono::milliseconds delay)
{
    ColocatedFleet fleet(1, WorkerMilliCores);
    fleet.submitServing("service", 1, 13'000, 0s);
    fleet.submitBestEffort("heavy", 1, 16'000, "heavy", 2.0, 300s);
    fleet.advance(TrainingTime);
    fleet.executeRaisesLate(lateRaises, delay);
    fleet.advance(ObservedTime);
    cr_assert_eq(fleet.remainingLateRaises(), 0);
    return fleet.longestTimeOverTarget();
}

} // namespace

// Guards against a serving task that stays over its target because a raise without a response is executed after a later pause, and the owner
// believes the run paused.
Test(lateThrottles, aRaiseThatIsExecutedAfterAPauseIsCorrectedInTime)
{
    constexpr int LateRaises = 6;
    cr_assert_lt(timeOverTarget(0, 0ms).count(), HarmBound.count(), "without late commands");
    for (std::chrono::milliseconds delay = 2s; delay <= 12s; delay += 100ms) {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(timeOverTarget(LateRaises, delay));
        cr_expect(
            time < HarmBound, "%lld ms over the target with a delay of %lld ms", static_cast<long long>(time.count()), static_cast<long long>(delay.count()));
    }
}
