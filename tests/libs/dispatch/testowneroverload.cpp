#include "dispatchfleet.h"

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 400;
constexpr std::int64_t WorkerMilliCores = 64'000;
constexpr int TasksPerStep = 20;
constexpr Duration RunTime = 1500ms;
constexpr int UsualRate = 40; // steps a second
constexpr int BurstRate = 4 * UsualRate;
constexpr Duration BurstTime = 4s;
constexpr Duration RecoveryTime = 12s;
// The burst takes more than the whole processor.
constexpr ProcessorCosts Costs{2ms, 200us, 15us, 3us};

/// Submits best-effort steps at a constant rate for @p time.
void submitFor(DispatchFleet &fleet, Duration time, int stepsPerSecond)
{
    Wire::TaskStep step;
    step.taskCount = TasksPerStep;
    step.milliCores = 2000;
    step.estimateMs = 1500;
    step.fillsIdle = true;
    const TimePoint begin = fleet.now();
    int submitted = 0;
    while (fleet.now() - begin < time) {
        for (; submitted < (fleet.now() - begin) / 1ms * stepsPerSecond / 1000; ++submitted) {
            fleet.submit(step);
        }
        fleet.advance(DispatchFleet::TickInterval);
    }
}

} // namespace

// Guards against an owner whose work grows with what waits, so that a burst leaves it overloaded under a load that it carried before.
Test(ownerOverload, theOwnerRecoversFromABurst)
{
    constexpr Duration UsualTime = 5s;
    constexpr std::size_t Submitted = TasksPerStep * (UsualRate * (UsualTime + RecoveryTime) + BurstRate * BurstTime) / 1s;
    DispatchFleet fleet(Workers, WorkerMilliCores);
    fleet.advance(1s);
    fleet.limitProcessor(Costs, RunTime);
    submitFor(fleet, UsualTime, UsualRate);
    submitFor(fleet, BurstTime, BurstRate);
    submitFor(fleet, RecoveryTime, UsualRate);
    const std::size_t started = fleet.starts();
    fleet.advance(2 * RunTime);
    cr_expect_geq(started + TasksPerStep * UsualRate, Submitted, "%zu of %zu tasks were started", started, Submitted);
    cr_expect_geq(fleet.completedRuns(), started, "%zu of %zu runs completed", fleet.completedRuns(), started);
}
