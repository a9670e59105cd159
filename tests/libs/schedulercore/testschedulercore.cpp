#include "world.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

static Wire::JobSpec batchJob(const std::string &jobId, milliseconds runTime)
{
    Wire::JobSpec spec;
    spec.jobId = jobId;
    spec.customer = "cascadia";
    spec.team = "badges";
    spec.taskName = "badge-print";
    spec.declared.milliCores = 2000;
    spec.declared.memoryBytes = 1'000'000'000;
    spec.declaredRunTimeMs = runTime.count();
    return spec;
}

static void assertClean(const World &world)
{
    if (!world.violations().empty()) {
        for (const std::string &line : world.trace()) {
            cr_log_error("%s", line.c_str());
        }
    }
    cr_assert(world.violations().empty(), "%s", world.violations().front().c_str());
}

// Guards against a scheduler that does not run submitted jobs to their end.
Test(schedulercore, runsJobsToTheirEnd)
{
    World world({});
    for (int number = 0; number < 20; ++number) {
        world.submit("east", batchJob("job" + std::to_string(number), seconds(5)));
    }
    world.advance(seconds(40));
    assertClean(world);
    for (int number = 0; number < 20; ++number) {
        const JobEntry *entry = world.ledger("east").job("job" + std::to_string(number));
        cr_assert(entry->state == JobState::Ended && entry->outcome == Wire::AttemptOutcome::Finished, "job%d is %s", number, jobStateName(*entry));
        cr_assert_eq(entry->attempt, 1);
    }
    cr_assert_eq(world.activeTasks(), 0);
}

// Kills the owner while a task runs and returns the time to the first start by the next owner.
static milliseconds takeoverTime(std::uint64_t seed)
{
    WorldOptions options;
    options.seed = seed;
    World world(options);
    world.submit("east", batchJob("long", seconds(30)));
    world.advance(seconds(8));
    const std::string owner = world.ownerOf("east");
    cr_assert(!owner.empty());
    cr_assert_eq(world.starts("long"), 1);
    world.kill(owner);
    world.submit("east", batchJob("waiting", seconds(1)));
    const milliseconds killedAt = world.time();
    while (world.starts("waiting") == 0 && world.time() - killedAt < seconds(20)) {
        world.advance(World::Step);
    }
    const milliseconds takeover = world.time() - killedAt;
    world.advance(seconds(30));
    assertClean(world);
    cr_assert_eq(world.starts("long"), 1);
    cr_assert(world.ledger("east").job("long")->outcome == Wire::AttemptOutcome::Finished);
    cr_assert(world.ledger("east").job("long")->state == JobState::Ended);
    return takeover;
}

// Guards against a takeover that loses running tasks, starts them twice or takes longer than the design allows.
Test(schedulercore, takesOverFromKilledOwner)
{
    constexpr int Seeds = 20;
    std::vector<milliseconds> takeovers;
    for (int seed = 1; seed <= Seeds; ++seed) {
        takeovers.push_back(takeoverTime(static_cast<std::uint64_t>(seed)));
    }
    std::sort(takeovers.begin(), takeovers.end());
    std::fprintf(stderr,
                 "kill of the owner to the first start by the next, virtual time, %d runs: %ld ms median, %ld ms longest\n",
                 Seeds,
                 static_cast<long>(takeovers[Seeds / 2].count()),
                 static_cast<long>(takeovers.back().count()));
    cr_assert_leq(takeovers.back().count(), 4000);
}

// Guards against a lease that a worker prolongs by a renewal which it processes late, for example after its process was
// suspended: its task would continue after the owner has started it on another worker.
Test(schedulercore, lateRenewalsDoNotProlongLeases)
{
    constexpr int Seeds = 20;
    for (int seed = 1; seed <= Seeds; ++seed) {
        WorldOptions options;
        options.seed = static_cast<std::uint64_t>(seed);
        options.lateRenewalRate = 0.5;
        World world(options);
        world.submit("east", batchJob("long", seconds(60)));
        world.advance(seconds(10));
        const std::string worker = world.ledger("east").job("long")->worker;
        for (const std::string &scheduler : world.schedulerNames()) {
            world.cut(scheduler, worker);
        }
        world.advance(seconds(40));
        assertClean(world);
        // More than two, if other workers lose their leases as well; half of their renewals are late.
        cr_assert_geq(world.starts("long"), 2, "the task was not started elsewhere with seed %d", seed);
    }
}
