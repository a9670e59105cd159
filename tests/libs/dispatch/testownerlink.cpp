#include "dispatchsimulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Workers = 120;
constexpr std::size_t LinkBytesPerSecond = 250'000;
constexpr std::size_t PayloadSize = 500;
constexpr std::size_t StartSize = 700;
constexpr int Jobs = 100;
constexpr int TasksPerJob = 40;
constexpr std::size_t Tasks = std::size_t(Jobs) * TasksPerJob;
// Of 800 ms until a command without response counts as lost. The other half is left for the way and the response.
constexpr Duration MaximumLinkWait = 400ms;
// The link carries the starts in half of this time, and polls and records in the other half.
constexpr std::chrono::milliseconds BacklogTime{2 * 1000 * Tasks * StartSize / LinkBytesPerSecond};

} // namespace

// Guards against an owner that sends more than its link carries and then takes the wait of its own requests for the loss of responses.
Test(ownerLink, aBacklogOfTasksDoesNotDelayCommandsBeyondTheirTimeout)
{
    DispatchSimulation simulation(1, Workers);
    simulation.ownerLinkBytesPerSecond = LinkBytesPerSecond;
    simulation.payloadSize = PayloadSize;
    simulation.claim();
    simulation.run(2s);
    for (int job = 0; job < Jobs; ++job) {
        simulation.submit("job" + std::to_string(job), 1, TasksPerJob);
    }
    Duration longestWait = Duration::zero();
    const TimePoint until = simulation.now + BacklogTime;
    while (simulation.now < until) {
        simulation.run(10ms);
        longestWait = std::max(longestWait, simulation.linkWait());
    }
    int complete = 0;
    for (int job = 0; job < Jobs; ++job) {
        complete += simulation.isComplete("job" + std::to_string(job)) ? 1 : 0;
    }
    cr_expect_leq(longestWait.count(), MaximumLinkWait.count(), "commands waited for %ld ms", static_cast<long>(longestWait / 1ms));
    cr_expect_eq(complete, Jobs, "%d of %d jobs are complete", complete, Jobs);
    cr_expect_eq(simulation.starts.size(), Tasks, "%zu starts of %zu tasks", simulation.starts.size(), Tasks);
    cr_expect(simulation.violations.empty());
}
