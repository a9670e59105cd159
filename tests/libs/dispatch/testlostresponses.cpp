#include "dispatchsimulation.h"

#include <criterion/criterion.h>

#include <cstdint>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Workers = 12;
constexpr std::size_t Tasks = 24;
constexpr std::uint32_t Seeds = 20;
constexpr double LostShare = 0.6;
constexpr auto FaultTime = 12s;
constexpr Duration LongTime = 2s;
constexpr int MaximumLongTimes = 5; // of 240 workers
constexpr int MaximumUnreachablePercent = 5;

void startServingJob(DispatchSimulation &simulation)
{
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.workersDelayPolls = true;
    simulation.claim();
    simulation.submit("serving", 1, Tasks, [](Wire::TaskStep &step) { step.longRunning = true; });
    simulation.run(4s);
    cr_assert_eq(simulation.openRuns(), Tasks);
}

/// How long workers were unreachable, over several seeds.
struct Unreachability
{
    Duration total{0};
    int longOnes = 0;

    void add(Duration time)
    {
        total += time;
        longOnes += time > LongTime ? 1 : 0;
    }
};

/// Runs the serving job with @p faults, and checks that no lease expires and that workers are unreachable rarely and briefly. Chance alone
/// loses all 14 polls of 2 s once in 1,300 cases.
void expectReachableWorkers(const DispatchFaults &faults)
{
    Unreachability unreachability;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        DispatchSimulation simulation(seed, Workers);
        startServingJob(simulation);
        simulation.faults = faults;
        simulation.run(FaultTime);
        for (const Duration time : simulation.unreachableTimes) {
            unreachability.add(time);
        }
        for (const auto &[worker, since] : simulation.unreachableSince) {
            unreachability.add(simulation.now - since);
        }
        cr_expect_eq(simulation.expiredLeases, 0, "seed %u: the leases of %zu workers have expired", seed, simulation.expiredLeases);
        cr_expect(simulation.violations.empty());
    }
    const auto percent = 100 * unreachability.total / (FaultTime * Seeds * Workers);
    cr_expect_leq(percent, MaximumUnreachablePercent, "workers were unreachable for %ld %% of the time", static_cast<long>(percent));
    cr_expect_leq(unreachability.longOnes, MaximumLongTimes, "workers were unreachable for more than 2 s %d times", unreachability.longOnes);
}

} // namespace

// Guards against sound workers that count as unreachable for seconds, or whose runs are replaced, because some of their responses are lost.
Test(lostResponses, aWorkerThatRespondsToSomePollsStaysReachable)
{
    DispatchFaults faults;
    faults.lostResponses = LostShare;
    expectReachableWorkers(faults);
}

// Guards against the same if the polls without a response are executed seconds later, when they renew no lease.
Test(lostResponses, aWorkerThatExecutesSomePollsLateStaysReachable)
{
    DispatchFaults faults;
    faults.delayedCommands = LostShare;
    expectReachableWorkers(faults);
}

// Guards against an owner that is late itself and makes that worse by polls that it repeats because of its own delay.
Test(lostResponses, anOwnerThatIsLateItselfRepeatsFewPolls)
{
    constexpr std::size_t MaximumPolls = 200; // 16 for each worker in 12 s, and 8 more
    for (const Duration delay : {1000ms, 1500ms, 2200ms}) {
        DispatchSimulation simulation(1, Workers);
        startServingJob(simulation);
        const std::size_t before = simulation.polls;
        simulation.responseDelay = delay;
        simulation.run(FaultTime);
        const std::size_t polls = simulation.polls - before;
        cr_expect_leq(polls, MaximumPolls, "%zu polls with responses %ld ms late", polls, static_cast<long>(delay / 1ms));
        cr_expect_eq(simulation.openRuns(), Tasks, "%zu tasks have a run", simulation.openRuns());
    }
}

// Guards against runs of a silent worker that are replaced later, because repeated polls renew its lease or delay the doubt.
Test(lostResponses, runsOfASilentWorkerAreReplacedWithTheirLeaseWhileResponsesAreLost)
{
    constexpr auto MaximumAbsence = 7s;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        DispatchSimulation simulation(seed, Workers);
        startServingJob(simulation);
        simulation.faults.lostResponses = 0.2;
        simulation.run(2s);
        std::size_t index = 0;
        while (simulation.worker(index).runCount() == 0) {
            ++index;
        }
        simulation.restartWorker(index, 60s);
        simulation.run(MaximumAbsence);
        cr_expect_eq(simulation.openRuns(), Tasks, "seed %u: %zu tasks have a run", seed, simulation.openRuns());
        cr_expect(simulation.violations.empty());
    }
}
