#include "scriptedfleet.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

// The platform permits that nothing of a job runs for this long while less than half of a pool is in use.
constexpr auto MaximumWait = 3000ms;
// The platform permits the same for a serving task from 6 s after its last run on.
constexpr auto MaximumServingWait = 6000ms + MaximumWait;
// More than two reports can list.
constexpr std::size_t ManyEnds = 1200;
// Less than a report can list.
constexpr std::size_t SomeEnds = 350;

long milliseconds(Duration time)
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

Wire::TaskStep servingStep()
{
    Wire::TaskStep step;
    step.longRunning = true;
    step.image = "service";
    step.tailTargetMs = 18;
    step.milliCores = 4000;
    step.taskCount = 1;
    return step;
}

Wire::TaskStep shortStep(std::chrono::milliseconds estimate)
{
    Wire::TaskStep step;
    step.milliCores = 500;
    step.taskCount = 1;
    step.estimateMs = estimate.count();
    return step;
}

/// Lets the run of "serving" end behind @p earlierEnds others, and returns the time until it runs again. A short job is submitted in each
/// second meanwhile.
Duration timeWithoutRun(ScriptedFleet &fleet, std::size_t earlierEnds, bool losesStartResponses)
{
    ScriptedFleet::addUnknownEnds(fleet.worker(0), earlierEnds);
    fleet.endRun("serving", RunEndReason::Failed);
    Duration waited{0};
    for (int second = 0; second < 30 && fleet.runOf("serving") == nullptr; ++second) {
        fleet.worker(0).unansweredStarts = losesStartResponses ? 1 : 0;
        fleet.submit("short" + std::to_string(second), shortStep(1s));
        waited += fleet.advanceUntil([&] { return fleet.runOf("serving") != nullptr; }, 1s);
    }
    return waited;
}

} // namespace

// Guards against a serving task without a run, because its end is not among those that the worker lists.
Test(endLists, anEndBehindAFullListIsFoundInTime)
{
    for (const bool losesStartResponses : {false, true}) {
        ScriptedFleet fleet(1);
        fleet.advance(1s);
        fleet.worker(0).unansweredStarts = losesStartResponses ? 1 : 0;
        fleet.submit("serving", servingStep());
        fleet.advance(5s);
        cr_assert(fleet.runOf("serving") != nullptr);
        const Duration waited = timeWithoutRun(fleet, ManyEnds, losesStartResponses);
        cr_expect_leq(waited, MaximumServingWait, "start responses lost: %d: it has waited for %ld ms", losesStartResponses ? 1 : 0, milliseconds(waited));
    }
}

// Guards against tasks that wait beside an idle worker for as long as a late command may take, because it has many ends that are not
// acknowledged and a start had no response, although the worker has listed the run since.
Test(endLists, anUnansweredStartOfAListedRunDelaysNoAcknowledgement)
{
    for (const bool isServing : {false, true}) {
        ScriptedFleet fleet(1);
        fleet.advance(1s);
        fleet.worker(0).unansweredStarts = 1;
        fleet.submit("first", isServing ? servingStep() : shortStep(60s));
        fleet.advanceUntil([&] { return fleet.runOf("first") != nullptr; }, MaximumWait);
        cr_assert(fleet.runOf("first") != nullptr);
        fleet.advance(1s);
        ScriptedFleet::addUnknownEnds(fleet.worker(0), SomeEnds);
        fleet.advance(1s);
        fleet.submit("second", servingStep());
        const Duration waited = fleet.advanceUntil([&] { return fleet.runOf("second") != nullptr; }, 30s);
        cr_expect_leq(waited, MaximumWait, "start of a serving task: %d: it has waited for %ld ms", isServing ? 1 : 0, milliseconds(waited));
    }
}
