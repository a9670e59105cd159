#include "dispatchsimulation.h"

#include <dispatch/commandwindow.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr Duration UsualTime = 40ms;
constexpr std::size_t ManyTasks = 1000;

/// Sends as many starts as the window permits at once. Their responses arrive one after the other, the first of them after UsualTime.
TimePoint answerBurst(CommandWindow &window, Duration interval, TimePoint now)
{
    const std::size_t count = window.size();
    for (std::size_t index = 0; index < count; ++index) {
        window.handleSent(now);
    }
    for (std::size_t index = 0; index < count; ++index) {
        window.handleResponse(now, index, now + UsualTime + index * interval);
    }
    return now + UsualTime + count * interval;
}

/// Lets the window learn the usual response time.
TimePoint answerSingleStarts(CommandWindow &window, TimePoint now)
{
    for (int start = 0; start < 20; ++start) {
        now = answerBurst(window, 0ms, now);
    }
    return now;
}

} // namespace

// Guards against bursts that fill the link of the owner for longer than commands may take.
Test(commandWindow, aLinkThatIsFullBoundsTheBurst)
{
    constexpr Duration SendTime = 3ms;
    CommandWindow window;
    window.setWaitingTasks(ManyTasks);
    TimePoint now = answerSingleStarts(window, Begin);
    const std::size_t size = window.size();
    cr_assert_gt(size, CommandWindow::InitialSize, "the window has not grown: %zu", size);
    for (int burst = 0; burst < 100; ++burst) {
        const TimePoint sentAt = now;
        now = answerBurst(window, SendTime, now);
        cr_expect(burst < 10 || now - sentAt < 400ms, "burst %d takes %ld ms", burst, static_cast<long>((now - sentAt) / 1ms));
    }
    cr_expect_geq(window.size(), CommandWindow::MinimumSize);
    cr_expect_gt(window.size() * SendTime, 100ms, "the window of %zu leaves the link idle", window.size());
}

// Guards against one congestion that closes the window for seconds.
Test(commandWindow, itIsHalvedOnceInARoundTrip)
{
    CommandWindow window;
    TimePoint now = answerSingleStarts(window, Begin);
    const std::size_t size = window.size();
    for (std::size_t index = 0; index < size; ++index) {
        window.handleSent(now);
    }
    for (std::size_t index = 0; index < size; ++index) {
        window.handleResponse(now, index, now + 500ms);
    }
    cr_expect_eq(window.size(), size / 2, "%zu of %zu", window.size(), size);
}

// Guards against a window that quiet hours have opened for a burst that the link can't carry.
Test(commandWindow, itGrowsOnlyWhileTasksWaitForIt)
{
    CommandWindow window;
    const TimePoint now = answerSingleStarts(window, Begin);
    cr_expect_eq(window.size(), CommandWindow::InitialSize);
    window.setWaitingTasks(ManyTasks);
    answerSingleStarts(window, now);
    cr_expect_eq(window.size(), CommandWindow::MaximumSize);
}

// Guards against the loss of many workers that is taken for a full link, or whose starts occupy the window until they time out.
Test(commandWindow, startsToLostWorkersBesideOthersAreNoCongestion)
{
    constexpr int Lost = 6; // of 10
    CommandWindow window;
    window.setWaitingTasks(ManyTasks);
    TimePoint now = answerSingleStarts(window, Begin);
    const std::size_t size = window.size();
    std::vector<TimePoint> lostStarts;
    for (int round = 0; round < 100; ++round, now += 10ms) {
        for (int start = 0; start < 10; ++start) {
            window.handleSent(now);
            if (start >= Lost) {
                window.handleResponse(now, static_cast<std::size_t>(start), now + UsualTime);
            } else {
                lostStarts.push_back(now);
            }
        }
        if (round >= 80) {
            for (int start = 0; start < Lost; ++start) {
                window.handleMissingResponse("w" + std::to_string(start + round % 2 * Lost), now - 800ms, now);
            }
        }
    }
    cr_expect_geq(window.size(), size, "%zu of %zu", window.size(), size);
    cr_expect_lt(window.startsInFlight(), 10 * Lost, "%zu are in flight", window.startsInFlight());
}

// Guards against a single worker without responses that shrinks the window for all others.
Test(commandWindow, aSingleSilentWorkerIsNoCongestion)
{
    CommandWindow window;
    const TimePoint now = answerSingleStarts(window, Begin);
    const std::size_t size = window.size();
    for (int start = 0; start < 100; ++start) {
        window.handleSent(now);
        window.handleMissingResponse("w", now, now + 800ms);
    }
    cr_expect_eq(window.size(), size);
}

// Guards against an owner that goes on sending although nothing that it sends arrives in time.
Test(commandWindow, itShrinksIfManyWorkersAreSilentAndNoneResponds)
{
    CommandWindow window;
    const TimePoint now = answerSingleStarts(window, Begin);
    const std::size_t size = window.size();
    for (int start = 0; start < 40; ++start) {
        window.handleSent(now);
        window.handleMissingResponse("w" + std::to_string(start), now, now + 800ms);
    }
    cr_expect_eq(window.size(), size / 2);
}

// Guards against response times that vary by themselves and are taken for congestion.
Test(commandWindow, variableResponseTimesAreNoCongestion)
{
    CommandWindow window;
    TimePoint now = Begin;
    for (int round = 0; round < 50; ++round, now += 1s) {
        for (std::size_t start = 0; start < 20; ++start) {
            window.handleSent(now);
        }
        for (std::size_t start = 0; start < 20; ++start) {
            window.handleResponse(now, start, now + 40ms + (start * 7 % 20) * 14ms);
        }
    }
    cr_expect_eq(window.size(), CommandWindow::InitialSize);
}

// Guards against starts whose result is never reported, which would close the window for good.
Test(commandWindow, aStartWithoutAResultIsInFlightForABoundedTime)
{
    CommandWindow window;
    window.handleSent(Begin);
    window.removeOldStarts(Begin + CommandWindow::MaximumResponseTime);
    cr_expect_eq(window.startsInFlight(), 1);
    window.removeOldStarts(Begin + CommandWindow::MaximumResponseTime + 1ms);
    cr_expect_eq(window.startsInFlight(), 0);
    window.handleResponse(Begin, 0, Begin + 3s);
    cr_expect_eq(window.startsInFlight(), 0);
}

// Guards against steps that wait for the last task of a large one before them, while the owner's link is full.
Test(commandWindow, eachStepGetsARunBeforeAnyGetsItsSecond)
{
    constexpr int Jobs = 40;
    constexpr int TasksPerJob = 20;
    DispatchSimulation simulation(1, 120);
    simulation.ownerLinkBytesPerSecond = 250'000;
    simulation.payloadSize = 500;
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.run(2s);
    for (int job = 0; job < Jobs; ++job) {
        simulation.submit("job" + std::to_string(job), 1, TasksPerJob);
    }
    simulation.run(10s);
    cr_assert_eq(simulation.starts.size(), Jobs * TasksPerJob, "%zu starts", simulation.starts.size());
    std::set<std::string> begun;
    std::size_t startsUntilAllBegan = 0;
    while (begun.size() < Jobs) {
        begun.insert(simulation.starts[startsUntilAllBegan++].first.job);
    }
    // Tasks wait for the window only once it has been filled for the first time, in the scheduling order.
    const std::size_t maximum = CommandWindow::InitialSize + Jobs;
    cr_expect_leq(startsUntilAllBegan, maximum, "all jobs have begun after %zu starts", startsUntilAllBegan);
    cr_expect(simulation.violations.empty());
}

// Guards against serving tasks that wait for the first runs of batch steps, while the owner's link is full.
Test(commandWindow, servingTasksComeBeforeOtherSteps)
{
    constexpr int Jobs = 100;
    constexpr std::size_t ServingTasks = 40;
    DispatchSimulation simulation(1, 120);
    simulation.ownerLinkBytesPerSecond = 250'000;
    simulation.payloadSize = 500;
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.run(2s);
    for (int job = 0; job < Jobs; ++job) {
        simulation.submit("job" + std::to_string(job), 1, 5);
    }
    simulation.run(100ms);
    simulation.submit("serving", 1, ServingTasks, [](Wire::TaskStep &step) { step.longRunning = true; });
    simulation.run(10s);
    std::size_t serving = 0;
    std::size_t startsUntilAllServe = 0;
    while (startsUntilAllServe < simulation.starts.size() && serving < ServingTasks) {
        serving += simulation.starts[startsUntilAllServe++].first.job == "serving" ? 1 : 0;
    }
    cr_assert_eq(serving, ServingTasks);
    cr_expect_leq(startsUntilAllServe, 4 * CommandWindow::InitialSize, "all serving tasks run after %zu starts", startsUntilAllServe);
    cr_expect(simulation.violations.empty());
}

// Guards against a gang that is never placed because it is larger than the window, or of which only a part is started.
Test(commandWindow, gangsLargerThanTheWindowArePlacedWhole)
{
    constexpr std::size_t GangSize = 2 * CommandWindow::InitialSize;
    DispatchSimulation simulation(1, 120);
    simulation.ownerLinkBytesPerSecond = 250'000;
    simulation.payloadSize = 500;
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.run(2s);
    for (int job = 0; job < 20; ++job) {
        simulation.submit("job" + std::to_string(job), 1, 20);
    }
    simulation.submit("gang", 1, GangSize, [](Wire::TaskStep &step) { step.gang = true; });
    simulation.run(5s);
    const auto isOfGang = [](const auto &start) { return start.first.job == "gang"; };
    const auto starts = std::ranges::count_if(simulation.starts, isOfGang);
    cr_expect_eq(starts, GangSize, "%ld starts of the gang", static_cast<long>(starts));
    cr_expect(simulation.violations.empty());
}

// Guards against the loss of many workers that keeps tasks from the others.
Test(commandWindow, workersThatAreLostTogetherDoNotCloseItForOthers)
{
    constexpr std::size_t Workers = 60;
    constexpr std::size_t Lost = 24;
    constexpr int Jobs = 10;
    DispatchSimulation simulation(1, Workers);
    simulation.claim();
    simulation.run(2s);
    for (std::size_t index = 0; index < Lost; ++index) {
        simulation.worker(index).unreachable = true;
    }
    for (int job = 0; job < Jobs; ++job) {
        simulation.submit("job" + std::to_string(job), 1, 20);
    }
    simulation.run(1500ms); // the lost workers count as unreachable after 900 ms
    const auto isLost = [&](const auto &start) { return std::stoul(start.second.substr(1)) < Lost; };
    const auto starts = std::ranges::count_if(simulation.starts, std::not_fn(isLost));
    // Half of the tasks; the others were sent to lost workers before these were known to be lost.
    cr_expect_geq(starts, 100, "%ld starts on the other workers", static_cast<long>(starts));
    cr_expect(simulation.violations.empty());
}

// Guards against an owner that takes the time for which responses wait for its own processor for a full link, and starts even less.
Test(commandWindow, latenessOfTheOwnerIsNoFullLink)
{
    constexpr Duration Lateness = 250ms;
    CommandWindow window;
    window.setWaitingTasks(ManyTasks);
    TimePoint now = answerSingleStarts(window, Begin);
    const std::size_t size = window.size();
    window.setOwnerLateness(Lateness);
    for (int burst = 0; burst < 10; ++burst) {
        const std::size_t count = window.size();
        for (std::size_t index = 0; index < count; ++index) {
            window.handleSent(now);
        }
        now += UsualTime + Lateness;
        for (std::size_t index = 0; index < count; ++index) {
            window.handleResponse(now - UsualTime - Lateness, index, now);
        }
    }
    cr_assert_geq(window.size(), size, "the window has shrunk from %zu to %zu", size, window.size());
    window.setOwnerLateness(0ms);
    for (int burst = 0; burst < 10; ++burst) {
        now = answerBurst(window, 20ms, now);
    }
    cr_assert_lt(window.size(), size, "the window has not shrunk: %zu", window.size());
}
