#include <dispatch/ownerlateness.h>
#include <ports/workercommands.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

/// Returns the shortest interval between polls after ticks at @p interval for 2 s.
Duration intervalAfterTicks(OwnerLateness &lateness, TimePoint begin, std::chrono::milliseconds interval)
{
    for (TimePoint now = begin; now < begin + 2s; now += interval) {
        lateness.handleTick(now);
    }
    return lateness.minimumPollInterval();
}

} // namespace

Test(ownerLateness, anOwnerThatIsInTimeIsNotSlowedDown)
{
    OwnerLateness lateness;
    cr_assert(intervalAfterTicks(lateness, TimePoint(1000s), 20ms) == 0ms);
    cr_assert(intervalAfterTicks(lateness, TimePoint(1002s), 40ms) == 0ms);
}

Test(ownerLateness, theIntervalGrowsWithTheDelayOfTicksUpToABound)
{
    OwnerLateness lateness;
    const Duration moderate = intervalAfterTicks(lateness, TimePoint(1000s), 60ms);
    const Duration large = intervalAfterTicks(lateness, TimePoint(1003s), 90ms);
    cr_assert(moderate > 100ms && moderate < large && large < OwnerLateness::MaximumPollInterval);
    cr_assert(intervalAfterTicks(lateness, TimePoint(1006s), 250ms) == OwnerLateness::MaximumPollInterval);
    cr_assert(intervalAfterTicks(lateness, TimePoint(1009s), 20ms) == 0ms);
}

Test(ownerLateness, onePauseOfTheProcessDoesNotSlowItDownForLong)
{
    OwnerLateness lateness;
    intervalAfterTicks(lateness, TimePoint(1000s), 20ms);
    lateness.handleTick(TimePoint(1010s));
    cr_assert(intervalAfterTicks(lateness, TimePoint(1010s + 20ms), 20ms) == 0ms);
}

// Guards against a start window that shrinks because commands and responses wait for the owner itself, and against one that grows until
// that wait exceeds the timeout of the responses.
Test(ownerLateness, theDelayOfCommandsFollowsTheLongestTicksUpToABound)
{
    OwnerLateness lateness;
    intervalAfterTicks(lateness, TimePoint(1000s), 20ms);
    cr_assert(lateness.commandDelay() == 0ms);
    intervalAfterTicks(lateness, TimePoint(1002s), 100ms);
    cr_assert(lateness.commandDelay() >= 2 * 100ms);
    intervalAfterTicks(lateness, TimePoint(1004s), 500ms);
    cr_assert(lateness.commandDelay() < StartCommand().responseTimeout);
}
