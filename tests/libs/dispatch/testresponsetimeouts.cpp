#include "dispatchsimulation.h"

#include <dispatch/responsetimeoutpolicy.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Workers = 12;
constexpr std::size_t Tasks = 24;
constexpr std::uint32_t Seeds = 100;
constexpr int Jobs = 20;
constexpr TimePoint Begin{1000s};
constexpr std::chrono::milliseconds MaximumLease{6000};
constexpr std::chrono::milliseconds OrdinaryPollTimeout{900};
constexpr std::chrono::milliseconds ShortLease{3000};

void startServingJob(DispatchSimulation &simulation)
{
    simulation.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 0}; };
    simulation.claim();
    simulation.submit("serving", 1, Tasks, [](Wire::TaskStep &step) { step.longRunning = true; });
    simulation.run(4s);
    cr_assert_eq(simulation.openRuns(), Tasks);
}

/// Records @p responses quick responses and @p timeouts timeouts in each half second from @p begin on, for two seconds.
TimePoint recordResults(ResponseTimeoutPolicy &policy, int responses, int timeouts, TimePoint begin)
{
    TimePoint now = begin;
    for (; now < begin + 2s; now += 500ms) {
        for (int index = 0; index < responses; ++index) {
            policy.recordResponse(20ms, now);
        }
        for (int index = 0; index < timeouts; ++index) {
            policy.recordResponse(OrdinaryPollTimeout, now);
        }
    }
    return now;
}

/// Replaces the owner, restarts a worker, or does nothing.
void injectFault(DispatchSimulation &simulation)
{
    const int kind = simulation.random(6);
    if (kind == 0) {
        simulation.pauseOwner(std::chrono::milliseconds(500 + simulation.random(9000)));
        simulation.claim();
    } else if (kind == 1) {
        const auto index = static_cast<std::size_t>(simulation.random(Workers));
        simulation.restartWorker(index, std::chrono::milliseconds(1500 + simulation.random(4000)));
    }
}

std::size_t busyWorker(DispatchSimulation &simulation)
{
    std::size_t index = 0;
    while (simulation.worker(index).runCount() == 0) {
        ++index;
    }
    return index;
}

} // namespace

// Guards against an owner that is late itself, takes this for the loss of workers that respond, and lets their runs end.
Test(responseTimeouts, anOwnerThatIsLateItselfKeepsTheRunsOfWorkersThatRespond)
{
    for (const Duration delay : {1000ms, 1500ms, 2200ms}) {
        DispatchSimulation simulation(1, Workers);
        startServingJob(simulation);
        simulation.responseDelay = delay;
        std::size_t fewest = Tasks;
        for (int round = 0; round < 1200; ++round) {
            simulation.run(10ms);
            fewest = std::min(fewest, simulation.openRuns());
        }
        simulation.responseDelay = Duration::zero();
        simulation.run(4s);
        const auto milliseconds = static_cast<long>(delay / 1ms);
        cr_expect_eq(fewest, Tasks, "%zu tasks had a run with responses %ld ms late", fewest, milliseconds);
        cr_expect_eq(simulation.starts.size(), Tasks, "%zu starts with responses %ld ms late", simulation.starts.size(), milliseconds);
        cr_expect(simulation.violations.empty());
    }
}

// Guards against the same by a new owner, whose first polls go to all workers at once.
Test(responseTimeouts, aNewOwnerThatIsLateKeepsTheRunsOfWorkersThatRespond)
{
    DispatchSimulation simulation(1, Workers);
    startServingJob(simulation);
    simulation.responseDelay = 1500ms;
    simulation.pauseOwner(60s);
    simulation.run(2s);
    simulation.claim();
    simulation.run(12s);
    cr_expect_eq(simulation.openRuns(), Tasks, "%zu tasks have a run", simulation.openRuns());
    cr_expect_eq(simulation.starts.size(), Tasks, "%zu starts", simulation.starts.size());
    cr_expect(simulation.violations.empty());
}

// Guards against a later replacement of the runs of a silent worker, because the owner waits longer for responses.
Test(responseTimeouts, runsOfASilentWorkerAreReplacedWithTheirLeaseWhileTheOwnerIsLate)
{
    constexpr auto MaximumAbsence = 7s;
    DispatchSimulation simulation(1, Workers);
    startServingJob(simulation);
    simulation.responseDelay = 1200ms;
    simulation.run(4s);
    simulation.restartWorker(busyWorker(simulation), 60s);
    cr_assert_lt(simulation.openRuns(), Tasks);
    simulation.run(MaximumAbsence);
    cr_expect_eq(simulation.openRuns(), Tasks, "%zu tasks have a run", simulation.openRuns());
    cr_expect(simulation.violations.empty());
}

// Guards against concurrent or repeated runs while the owner's delay comes and goes, beside takeovers and restarts of workers.
Test(responseTimeouts, aDelayThatComesAndGoesCausesNoLostOrDuplicateRuns)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        DispatchSimulation simulation(seed, Workers);
        simulation.faults = {0.03, 0.03};
        simulation.claim();
        for (int job = 0; job < Jobs; ++job) {
            simulation.submit("job" + std::to_string(job), 1 + simulation.random(3), 1 + simulation.random(8));
            simulation.responseDelay = std::chrono::milliseconds(simulation.random(2) * simulation.random(3000));
            simulation.run(std::chrono::milliseconds(simulation.random(1500)));
            injectFault(simulation);
        }
        simulation.faults = {};
        simulation.responseDelay = Duration::zero();
        simulation.run(60s);
        cr_assert(simulation.violations.empty(), "seed %u: %s", seed, simulation.violations.empty() ? "" : simulation.violations.front().c_str());
        for (int job = 0; job < Jobs; ++job) {
            cr_assert(simulation.isComplete("job" + std::to_string(job)), "seed %u: job%d has not completed", seed, job);
        }
        cr_assert_eq(simulation.openRuns(), 0, "seed %u: a run is left", seed);
    }
}

Test(responseTimeouts, areExtendedWhileMostResultsAreLate)
{
    ResponseTimeoutPolicy policy(MaximumLease);
    const TimePoint now = recordResults(policy, 4, 6, Begin);
    cr_expect_gt(policy.pollTimeout(false, now).count(), OrdinaryPollTimeout.count());
    const TimePoint later = recordResults(policy, 10, 0, recordResults(policy, 10, 0, now));
    cr_expect_eq(policy.pollTimeout(false, later).count(), OrdinaryPollTimeout.count(), "the delay is over");
}

// Guards against a slower reaction to the loss of a region, which says nothing about the owner.
Test(responseTimeouts, areNotExtendedIfFewerThanHalfOfTheResultsAreLate)
{
    ResponseTimeoutPolicy policy(MaximumLease);
    const TimePoint now = recordResults(policy, 10, 6, Begin);
    cr_expect_eq(policy.pollTimeout(false, now).count(), OrdinaryPollTimeout.count());
}

// Guards against conclusions about the owner from the loss of a few workers of a small installation.
Test(responseTimeouts, areNotExtendedByFewResults)
{
    ResponseTimeoutPolicy policy(MaximumLease);
    policy.recordResponse(OrdinaryPollTimeout, Begin);
    policy.recordResponse(OrdinaryPollTimeout, Begin);
    cr_expect_eq(policy.pollTimeout(false, Begin).count(), OrdinaryPollTimeout.count());
}

// Guards against leases that end while the owner waits for a response.
Test(responseTimeouts, areShorterThanShortLeases)
{
    ResponseTimeoutPolicy policy(ShortLease);
    const TimePoint now = recordResults(policy, 0, 10, Begin);
    cr_expect_lt(2 * policy.pollTimeout(false, now).count(), ShortLease.count());
}
