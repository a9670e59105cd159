#include "dispatchworld.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Seeds = 200;
constexpr int Jobs = 30;

/// One fault of the mix; each may come at any moment and more than once.
void strike(DispatchWorld &world)
{
    switch (world.random(7)) {
    case 0:
        world.claim();
        break;
    case 1:
        world.freezeOwner(std::chrono::milliseconds(500 + world.random(12000)));
        world.claim();
        break;
    case 2:
        world.cutOwnerFromStore(std::chrono::milliseconds(500 + world.random(9000)));
        break;
    case 3:
        world.cutOwnerFromStore(std::chrono::milliseconds(500 + world.random(20000)));
        world.claim();
        break;
    case 4:
        world.restartWorker(static_cast<std::size_t>(world.random(6)), std::chrono::milliseconds(1500 + world.random(4000)));
        break;
    case 5:
        world.worker(static_cast<std::size_t>(world.random(6))).cutOff = true;
        break;
    default:
        for (std::size_t index = 0; index < 6; ++index) {
            world.worker(index).cutOff = false;
        }
    }
}

void play(std::uint32_t seed)
{
    DispatchWorld world(seed);
    world.faults = {0.03, 0.03, 0.03};
    world.claim();
    for (int job = 0; job < Jobs; ++job) {
        world.submit("job" + std::to_string(job), 1 + world.random(3), 1 + world.random(5));
        world.run(std::chrono::milliseconds(world.random(1500)));
        if (world.random(4) == 0) {
            strike(world);
        }
        if (world.random(10) == 0) {
            world.cancel("job" + std::to_string(world.random(job + 1)));
        }
    }
    world.faults = {};
    for (std::size_t index = 0; index < 6; ++index) {
        world.worker(index).cutOff = false;
    }
    world.run(60s);
    cr_assert(world.violations.empty(), "seed %u: %s", seed, world.violations.empty() ? "" : world.violations.front().c_str());
    for (int job = 0; job < Jobs; ++job) {
        const auto phase = world.phaseOf("job" + std::to_string(job));
        const bool ended = phase != Wire::JobPhase::Pending && phase != Wire::JobPhase::Running;
        cr_assert(ended, "seed %u: job%d has not ended", seed, job);
    }
    cr_assert_eq(world.openRuns(), 0, "seed %u: a run is left", seed);
}

} // namespace

Test(dispatchRandom, faultsLoseAndDoubleNothing)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        play(seed);
    }
}
