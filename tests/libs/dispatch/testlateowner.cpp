#include "colocatedfleet.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Seeds = 6;
constexpr int Workers = 16;
constexpr int ServingJobs = 8;
constexpr int ServingWidth = 14;
constexpr std::int64_t WorkerMilliCores = 64'000;
constexpr std::int64_t ServingMilliCores = 3'500; // 38 % of the capacity is reserved
constexpr Duration ArrivalTime = 90s;
constexpr Duration RestTime = ColocatedFleet::FinishTime + WaitingInvariant::MaximumWait;
constexpr int UsualArrivals = 2;
constexpr int ManyArrivals = 4; // more work than the targets permit at full speed
constexpr OwnerStalls TwoThirds{300ms, 200ms}; // leave a third of the processor time

/// Lets best-effort steps that interfere with most serving tasks arrive for 90 s, up to @p maximumArrivals each half second, and checks that all
/// accepted work has a run as soon as the platform asks for it.
void runBestEffortScenario(std::uint32_t seed, int maximumArrivals, const OwnerStalls &stalls)
{
    std::mt19937 random(seed);
    const auto between = [&random](int minimum, int maximum) { return minimum + static_cast<int>(random() % static_cast<unsigned>(maximum - minimum + 1)); };
    ColocatedFleet fleet(Workers, WorkerMilliCores);
    fleet.delayMessages(20ms, 300ms, seed);
    fleet.stallOwner(stalls);
    for (int number = 0; number < ServingJobs; ++number) {
        fleet.submitServing("service" + std::to_string(number), ServingWidth, ServingMilliCores, number * ColocatedFleet::LoadPeriod / ServingJobs);
    }
    fleet.advance(6s);
    int jobs = 0;
    for (Duration passed{0}; passed < ArrivalTime; passed += 500ms) {
        for (int arrivals = between(0, maximumArrivals); arrivals > 0; --arrivals) {
            const int image = between(0, 5);
            const double effect = image < 4 ? 1.6 + 0.1 * image : 0.1;
            const std::chrono::milliseconds duration(between(800, 4000));
            fleet.submitBestEffort("batch" + std::to_string(jobs++), between(1, 8), 1000 * between(2, 14), "image" + std::to_string(image), effect, duration);
        }
        fleet.advance(500ms);
    }
    fleet.advance(RestTime + 500ms);
    std::string text;
    for (const std::string &wait : fleet.lostWaits()) {
        text += "\n" + wait;
    }
    cr_expect(text.empty(), "seed %u:%s", seed, text.c_str());
}

} // namespace

// Guards against steps and serving tasks that are left without a run because the owner learns of everything late.
Test(lateOwner, delayedMessagesLeaveNoWorkWithoutRun)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        runBestEffortScenario(seed, UsualArrivals, {});
    }
}

Test(lateOwner, stallsLeaveNoWorkWithoutRun)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        runBestEffortScenario(seed, UsualArrivals, TwoThirds);
    }
}

// Guards against best-effort steps of a backlog that have no run at the end of a long day, beside workers of which 38 % are reserved.
Test(lateOwner, delayedMessagesLeaveNoWorkOfABacklogWithoutRun)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        runBestEffortScenario(seed, ManyArrivals, {});
    }
}

Test(lateOwner, stallsLeaveNoWorkOfABacklogWithoutRun)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        runBestEffortScenario(seed, ManyArrivals, TwoThirds);
    }
}
