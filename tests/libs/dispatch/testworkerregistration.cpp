#include "dispatchsimulation.h"
#include "eventharness.h"

#include <dispatch/tokenrises.h>

#include <criterion/criterion.h>

#include <string>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

Test(workerRegistration, aWorkerThatRegistersAgainDoesNotDeposeTheOwner)
{
    DispatchSimulation simulation(1, 1);
    simulation.claim();
    simulation.run(1s);
    // The failed polls raise the fencing token, and the worker sees the raised one.
    simulation.worker(0).unreachable = true;
    simulation.run(2s);
    simulation.worker(0).unreachable = false;
    simulation.run(1s);

    simulation.worker(0).unreachable = true;
    simulation.unregisterWorker(0);
    simulation.run(3s);
    simulation.worker(0).unreachable = false;
    simulation.registerWorker(0);
    simulation.run(2s);
    cr_assert_not(simulation.hasNewestOwnerSteppedDown(), "there is no newer owner");

    simulation.submit("job", 1, 1);
    simulation.run(5s);
    cr_assert(simulation.isComplete("job"));
    cr_assert(simulation.violations.empty());
}

Test(workerRegistration, tokenRisesNeverDecrease)
{
    TokenRises counts;
    counts.record("w", 3);
    counts.record("w", 2);
    cr_assert_eq(counts.countOf("w"), 3);
    cr_assert_eq(counts.countOf("unknown"), 0);
    for (std::size_t index = 0; index < TokenRises::MaximumWorkers; ++index) {
        counts.record("w" + std::to_string(index), 1);
    }
    cr_assert_geq(counts.countOf("w"), 3);
    cr_assert_geq(counts.countOf("w0"), 1);
}

Test(workerRegistration, noTaskIsStartedWhileReadingTheRegistrationsLagsBehind)
{
    EventHarness harness(2);
    harness.readsWorkers = false;
    harness.advance(5s);
    cr_assert(harness.all<StartCommand>().empty(), "the worker may have announced that it leaves");
    harness.readsWorkers = true;
    harness.advance(1s);
    cr_assert_eq(harness.all<StartCommand>().size(), 2);
}
