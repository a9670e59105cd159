#include <dispatch/pollpacing.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

/// Returns the shortest interval between polls after ticks at @p interval for 2 s.
Duration intervalAfterTicks(PollPacing &pacing, TimePoint begin, std::chrono::milliseconds interval)
{
    for (TimePoint now = begin; now < begin + 2s; now += interval) {
        pacing.handleTick(now);
    }
    return pacing.minimumInterval();
}

} // namespace

Test(pollPacing, anOwnerThatIsInTimeIsNotSlowedDown)
{
    PollPacing pacing;
    cr_assert(intervalAfterTicks(pacing, TimePoint(1000s), 20ms) == 0ms);
    cr_assert(intervalAfterTicks(pacing, TimePoint(1002s), 40ms) == 0ms);
}

Test(pollPacing, theIntervalGrowsWithTheDelayOfTicksUpToABound)
{
    PollPacing pacing;
    const Duration moderate = intervalAfterTicks(pacing, TimePoint(1000s), 60ms);
    const Duration large = intervalAfterTicks(pacing, TimePoint(1003s), 90ms);
    cr_assert(moderate > 100ms && moderate < large && large < PollPacing::MaximumInterval);
    cr_assert(intervalAfterTicks(pacing, TimePoint(1006s), 250ms) == PollPacing::MaximumInterval);
    cr_assert(intervalAfterTicks(pacing, TimePoint(1009s), 20ms) == 0ms);
}

Test(pollPacing, onePauseOfTheProcessDoesNotSlowItDownForLong)
{
    PollPacing pacing;
    intervalAfterTicks(pacing, TimePoint(1000s), 20ms);
    pacing.handleTick(TimePoint(1010s));
    cr_assert(intervalAfterTicks(pacing, TimePoint(1010s + 20ms), 20ms) == 0ms);
}
