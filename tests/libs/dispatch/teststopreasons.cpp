#include "eventharness.h"

#include <jobtopic/jobtable.h>

#include <criterion/criterion.h>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

void expectSingleStop(const EventHarness &harness, StopReason reason)
{
    const auto stops = harness.all<StopCommand>();
    cr_assert_eq(stops.size(), 1);
    cr_assert_eq(stops[0].reason, reason);
}

} // namespace

Test(stopReasons, drainingWorker)
{
    EventHarness harness(1, true);
    harness.startAllTasks();
    WorkerInfo info = harness.worker();
    info.draining = true;
    harness.dispatcher.updateWorker(info);
    harness.advance(100ms);
    expectSingleStop(harness, StopReason::WorkerDraining);
}

Test(stopReasons, cancelledJob)
{
    EventHarness harness;
    harness.startAllTasks();
    TopicJob entry;
    entry.cancelled = true;
    harness.dispatcher.jobChanged("j", &entry, harness.now, WallTime(1000s));
    harness.advance(100ms);
    expectSingleStop(harness, StopReason::JobEnded);
}

Test(stopReasons, noProgress)
{
    EventHarness harness;
    harness.makesProgress = false;
    harness.startAllTasks();
    harness.advance(70s);
    const auto stops = harness.all<StopCommand>();
    cr_assert_geq(stops.size(), 1);
    for (const StopCommand &stop : stops) {
        cr_assert_eq(stop.reason, StopReason::Stalled, "a repeated command has the reason of the first");
    }
}

Test(stopReasons, undeterminedStarts)
{
    EventHarness harness;
    std::size_t answered = 0;
    for (int round = 0; round < 20; ++round) {
        harness.advance(20ms);
        const auto starts = harness.all<StartCommand>();
        if (answered < starts.size()) {
            harness.dispatcher.startAnswered(starts[answered++], CommandUndetermined{"timeout"}, harness.now);
        }
    }
    cr_assert_eq(answered, 3);
    expectSingleStop(harness, StopReason::StartUndetermined);
}

Test(stopReasons, abandonedStart)
{
    EventHarness harness;
    while (harness.all<StartCommand>().empty()) {
        harness.advance(20ms);
    }
    WorkerInfo info = harness.worker();
    info.draining = true;
    harness.dispatcher.updateWorker(info);
    harness.dispatcher.startAnswered(harness.all<StartCommand>()[0], CommandUndetermined{"timeout"}, harness.now);
    harness.advance(20ms);
    expectSingleStop(harness, StopReason::StartAbandoned);
}

Test(stopReasons, restartedWorker)
{
    EventHarness harness(2);
    harness.advance(100ms);
    cr_assert_eq(harness.all<StartCommand>().size(), 2);
    harness.advance(3s, true);
    const auto starts = harness.all<StartCommand>();
    harness.dispatcher.startAnswered(starts[0], CommandExecuted{WorkerTime(10)}, harness.now);
    harness.advance(20ms);
    const auto stops = harness.all<StopCommand>();
    cr_assert_eq(stops.size(), 2, "both commands may have reached either process");
    cr_assert_eq(stops[0].reason, StopReason::WorkerRestarted);
    cr_assert_eq(stops[1].reason, StopReason::WorkerRestarted);
}

Test(stopReasons, runThatIsNotExpected)
{
    EventHarness harness(0);
    harness.runs.push_back({TaskId{"other", 0, 0, 0}, 3, "", 0, 0});
    harness.advance(100ms);
    expectSingleStop(harness, StopReason::Orphaned);
}
