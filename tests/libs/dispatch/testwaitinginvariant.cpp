#include "waitinginvariant.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

/// Two workers of which @p reservedMilliCores of 16000 are reserved.
std::vector<WaitingInvariant::Worker> workersWith(std::int64_t reservedMilliCores)
{
    std::vector<WaitingInvariant::Worker> workers(2);
    for (WaitingInvariant::Worker &worker : workers) {
        worker.info.capacity.milliCores = 8000;
        worker.reserved.milliCores = reservedMilliCores / 2;
    }
    return workers;
}

/// Observes a waiting task until @p end, with a disturbance at Begin and another one at @p disturbedAt.
std::size_t violationsOf(const Wire::TaskStep &step, std::int64_t reservedMilliCores, TimePoint disturbedAt, TimePoint end)
{
    WaitingInvariant invariant;
    invariant.noteDisturbance(Begin);
    for (TimePoint now = Begin; now < end; now += 100ms) {
        if (now == disturbedAt) {
            invariant.noteDisturbance(now);
        }
        invariant.observe(workersWith(reservedMilliCores), {{{"job", 0, 0, 0}, &step, {}, {}}}, now);
    }
    return invariant.violations().size();
}

Wire::TaskStep stepOf(std::int64_t milliCores, bool isServing)
{
    Wire::TaskStep step;
    step.taskCount = 1;
    step.milliCores = milliCores;
    step.longRunning = isServing;
    return step;
}

} // namespace

// Guards against an invariant that never fails, so that the simulations hold for any dispatcher.
Test(waitingInvariant, aWaitBesideRoomIsReportedOnceAfterTheBound)
{
    constexpr TimePoint Bound = Begin + WaitingInvariant::CalmTime + WaitingInvariant::MaximumWait;
    cr_expect_eq(violationsOf(stepOf(1000, false), 0, Begin, Bound + 100ms), 0);
    cr_expect_eq(violationsOf(stepOf(1000, false), 0, Begin, Bound + 200ms), 1);
    cr_expect_eq(violationsOf(stepOf(1000, false), 0, Begin, Bound + 10s), 1);
    cr_expect_eq(violationsOf(stepOf(1000, false), 0, Begin + 6s, Bound + 6s), 0, "the disturbance begins the time anew");
}

Test(waitingInvariant, onlyServingTasksAreJudgedInABusyPool)
{
    cr_expect_eq(violationsOf(stepOf(1000, false), 8000, Begin, Begin + 30s), 0);
    cr_expect_eq(violationsOf(stepOf(1000, true), 8000, Begin, Begin + 30s), 1);
    cr_expect_eq(violationsOf(stepOf(5000, true), 8000, Begin, Begin + 30s), 0, "it does not fit");
}
