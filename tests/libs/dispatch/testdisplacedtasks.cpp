#include "dispatchsimulation.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Seeds = 6;
constexpr std::size_t Workers = 6;
constexpr std::int64_t LargeMilliCores = 6000; // of 8000 of a worker
constexpr std::int64_t SmallMilliCores = 2000;
constexpr std::int64_t MediumMilliCores = 3000;
constexpr auto MaximumSmallRun = 1400ms;
constexpr auto Round = 500ms;
// Time to notice that a machine is gone, to wait for the small tasks on a worker and to start there.
constexpr auto MaximumDisplacement = 4000ms;

/// A fleet on which short tasks wait for room all the time.
class BusyFleet
{
public:
    explicit BusyFleet(std::uint32_t seed)
        : simulation(seed, Workers)
    {
        simulation.plan = [this](const TaskId &task) {
            if (task.job.starts_with("service")) {
                return SimulatedWorker::Run{0, TimePoint(1h), RunEndReason::Completed, 5};
            }
            constexpr auto ShortestRun = 600ms;
            const int range = static_cast<int>((MaximumSmallRun - ShortestRun).count());
            return SimulatedWorker::Run{0, TimePoint(ShortestRun + std::chrono::milliseconds(simulation.random(range))), RunEndReason::Completed, 0};
        };
        constexpr int DeadlineFactor = 30;
        simulation.config.queues["batch"].deadlineFactor = DeadlineFactor;
        simulation.claim();
        simulation.run(Round);
    }

    void submitServing(const std::string &jobId, std::int64_t milliCores, int perWorker = 0)
    {
        simulation.submit(jobId, 1, 1, [=](Wire::TaskStep &step) {
            step.longRunning = true;
            step.milliCores = milliCores;
            step.perWorker = perWorker;
        });
    }

    /// Advances by one round, in which more short tasks arrive than there is room for.
    void advance()
    {
        constexpr int JobsPerRound = 4;
        constexpr int TasksPerJob = 5;
        for (int job = 0; job < JobsPerRound; ++job) {
            simulation.submit("small" + std::to_string(m_smallJobs++), 1, TasksPerJob, [](Wire::TaskStep &step) { step.milliCores = SmallMilliCores; });
        }
        simulation.run(Round);
    }

    void advanceFor(Duration time)
    {
        for (const TimePoint until = simulation.now + time; simulation.now < until;) {
            advance();
        }
    }

    /// Returns the index of the worker that runs the task of the job, or the number of workers.
    std::size_t workerOf(const std::string &jobId)
    {
        std::size_t index = 0;
        while (index < Workers && !simulation.worker(index).runs().contains({jobId, 0, 0, 0})) {
            ++index;
        }
        return index;
    }

    /// Removes the machine that runs the task of the job, and returns the time until the task runs again.
    Duration displace(const std::string &jobId)
    {
        constexpr auto MaximumTime = 30s;
        const std::size_t worker = workerOf(jobId);
        cr_assert_lt(worker, Workers, "%s does not run", jobId.c_str());
        const TimePoint displacedAt = simulation.now;
        simulation.removeMachine(worker);
        while (workerOf(jobId) == Workers && simulation.now - displacedAt < MaximumTime) {
            if (duringDisplacement) {
                duringDisplacement();
            }
            advance();
        }
        return simulation.now - displacedAt;
    }

    DispatchSimulation simulation;
    std::function<void()> duringDisplacement; // called before each round

private:
    int m_smallJobs = 0;
};

long milliseconds(Duration time)
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

// Guards against a serving task that lost its worker and waits without end, because small tasks take each piece of room that becomes free.
Test(displacedTasks, aServingTaskFindsRoomAmongShortTasks)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        for (const int perWorker : {0, 1}) {
            BusyFleet fleet(seed);
            fleet.submitServing("service", LargeMilliCores, perWorker);
            fleet.advanceFor(5s);
            const Duration waited = fleet.displace("service");
            cr_expect_leq(waited, MaximumDisplacement, "seed %u, limit per worker %d: it has waited for %ld ms", seed, perWorker, milliseconds(waited));
            cr_expect(fleet.simulation.violations.empty());
        }
    }
}

// Guards against a serving task that lost its worker and waits while smaller serving tasks of later jobs take the room.
Test(displacedTasks, aServingTaskComesBeforeThoseOfNewJobs)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        BusyFleet fleet(seed);
        fleet.submitServing("service", LargeMilliCores);
        fleet.advanceFor(5s);
        int newJobs = 0;
        fleet.duringDisplacement = [&] { fleet.submitServing("service-" + std::to_string(newJobs++), MediumMilliCores); };
        const Duration waited = fleet.displace("service");
        cr_expect_leq(waited, MaximumDisplacement, "seed %u: it has waited for %ld ms beside %d new jobs", seed, milliseconds(waited), newJobs);
    }
}
