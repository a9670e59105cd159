#include "dispatchfleet.h"
#include "simulatedadviceservice.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 12;
constexpr std::int64_t WorkerMilliCores = 64'000;
constexpr auto RunTime = 1s;
constexpr auto ServiceTime = 160ms; // that the simulated service needs for a request about all workers

Wire::TaskStep shortStep(int tasks = 6, std::int64_t milliCores = 4100)
{
    Wire::TaskStep step;
    step.taskCount = tasks;
    step.milliCores = milliCores;
    step.memoryMb = 100;
    step.estimateMs = 1000;
    return step;
}

/// A fleet whose queue needs advice, with room for all tasks.
struct AdvisedFleet
{
    explicit AdvisedFleet(int workers = Workers, std::int64_t milliCores = WorkerMilliCores)
        : fleet(workers, milliCores)
    {
        fleet.limitProcessor({}, RunTime);
        fleet.advance(1s);
    }

    /// Must be called after the parameters of the service are set.
    void begin() { fleet.setAdviceService(service); }

    /// Submits @p count jobs, one after the other within @p time.
    void submit(int count, Duration time)
    {
        for (int job = 0; job < count; ++job) {
            fleet.submit(shortStep());
            fleet.advance(time / count);
        }
    }

    /// Returns how many of the waiting jobs begin within @p time.
    std::size_t jobsBegunWithin(Duration time)
    {
        const std::size_t before = fleet.jobsWithoutStart();
        fleet.advance(time);
        return before - fleet.jobsWithoutStart();
    }

    /// Returns 0.8 of the number of requests that the service handles in @p time. The rest may be under way, or for other steps.
    std::size_t expectedDecisions(Duration time) const { return static_cast<std::size_t>(time / (ServiceTime * service.slowness)) * 4 / 5; }

    SimulatedAdviceService service;
    DispatchFleet fleet;
};

} // namespace

// Guards against jobs that never begin after a burst: decisions that had waited in the queue of the service were thrown away and requested again.
Test(adviceQueue, allJobsOfABurstBeginWhileTheUsualTrafficGoesOn)
{
    AdvisedFleet advised;
    advised.begin();
    advised.submit(27, 6s);
    advised.submit(47, 4s);
    advised.submit(45, 10s);
    advised.fleet.advance(14s);
    cr_expect_eq(advised.fleet.jobsWithoutStart(), 0, "%zu jobs have not begun", advised.fleet.jobsWithoutStart());
    cr_expect_eq(advised.fleet.rejectedTickets(), 0, "%zu starts were rejected", advised.fleet.rejectedTickets());
    cr_expect_eq(advised.service.refusals(), 0, "%zu requests were refused", advised.service.refusals());
}

// Guards against a rate of useful decisions that falls with the number of jobs that wait for one.
Test(adviceQueue, jobsBeginAtTheRateOfTheServiceWhateverTheBacklog)
{
    for (const int backlog : {20, 100, 500, 2000}) {
        AdvisedFleet advised;
        advised.begin();
        advised.submit(backlog, 20ms);
        for (int second = 0; second < 30 && advised.fleet.jobsWithoutStart() > 20; second += 3) {
            const std::size_t begun = advised.jobsBegunWithin(3s);
            cr_expect_geq(begun, std::min<std::size_t>(advised.expectedDecisions(3s), 20), "backlog %d: %zu jobs in 3 s", backlog, begun);
        }
        cr_expect_eq(advised.fleet.rejectedTickets(), 0, "backlog %d: %zu starts were rejected", backlog, advised.fleet.rejectedTickets());
        cr_expect_eq(advised.service.refusals(), 0, "backlog %d: %zu requests were refused", backlog, advised.service.refusals());
    }
}

// Guards against decisions that are thrown away because the service is slower than announced, by the age of tickets or by a timeout.
Test(adviceQueue, jobsBeginAtTheRateOfAServiceThatIsSlowerThanAnnounced)
{
    for (const int slowness : {3, 10, 25, 40}) {
        AdvisedFleet advised;
        advised.service.slowness = slowness;
        advised.begin();
        advised.submit(150, 20ms);
        advised.fleet.advance(60s); // the service handles what was sent before its rate was known
        const Duration time = ServiceTime * slowness * 20;
        const std::size_t begun = advised.jobsBegunWithin(time);
        const std::size_t expected = std::min<std::size_t>(advised.expectedDecisions(time), 16);
        cr_expect_geq(begun, advised.fleet.jobsWithoutStart() == 0 ? 0 : expected, "factor %d: %zu jobs", slowness, begun);
        cr_expect_eq(advised.fleet.rejectedTickets(), 0, "factor %d: %zu starts were rejected", slowness, advised.fleet.rejectedTickets());
    }
}

// Guards against the opposite fault: a ticket whose response was under way for long is older than its arrival, and a worker rejects it in its last time.
Test(adviceQueue, noStartIsSentWithATicketThatHasExpiredOnTheWay)
{
    AdvisedFleet advised(1, 8000); // room for one task at a time, so a ticket is used to its end
    advised.service.transit = 700ms;
    advised.begin();
    advised.fleet.submit(shortStep(200, 8000));
    advised.fleet.advance(60s);
    cr_expect_eq(advised.fleet.rejectedTickets(), 0, "%zu starts were rejected", advised.fleet.rejectedTickets());
    cr_expect_gt(advised.fleet.starts(), 20, "%zu starts", advised.fleet.starts());
}

// Guards against an owner that stands still and then takes the decisions that it finds for new ones.
Test(adviceQueue, noStartIsSentWithATicketThatHasExpiredWhileTheOwnerStoodStill)
{
    AdvisedFleet advised;
    advised.begin();
    advised.submit(3, 20ms);
    ProcessorCosts standstill;
    standstill.tick = 3500ms;
    advised.fleet.limitProcessor(standstill, RunTime);
    advised.fleet.advance(20ms);
    advised.fleet.limitProcessor({}, RunTime);
    advised.fleet.advance(5s);
    cr_expect_eq(advised.fleet.rejectedTickets(), 0, "%zu starts were rejected", advised.fleet.rejectedTickets());
    cr_expect_eq(advised.fleet.jobsWithoutStart(), 0, "%zu jobs have not begun", advised.fleet.jobsWithoutStart());
}

// Guards against a service that is kept busy with steps that have no room, while others that have room wait for it.
Test(adviceQueue, stepsWithoutRoomDoNotDelayOthers)
{
    AdvisedFleet advised;
    advised.begin();
    for (int job = 0; job < 60; ++job) {
        advised.fleet.submit(shortStep(1, WorkerMilliCores + 1)); // fits on no worker
    }
    advised.fleet.advance(20s);
    advised.submit(100, 20ms);
    const std::size_t begun = advised.jobsBegunWithin(10s);
    cr_expect_geq(begun, advised.expectedDecisions(10s), "%zu jobs in 10 s", begun);
}

// Guards against gangs that have room for some of their members only, and ask for ever in front of others.
Test(adviceQueue, gangsWithoutRoomDoNotDelayOthers)
{
    AdvisedFleet advised;
    advised.begin();
    for (int job = 0; job < 60; ++job) {
        Wire::TaskStep gang = shortStep(Workers + 1, WorkerMilliCores / 2 + 1000);
        gang.gang = true;
        advised.fleet.submit(gang);
    }
    advised.fleet.advance(60s);
    advised.submit(100, 20ms);
    const std::size_t begun = advised.jobsBegunWithin(10s);
    cr_expect_geq(begun, advised.expectedDecisions(10s), "%zu jobs in 10 s", begun);
}

// Guards against requests that pile up at a service that stands still, and that it then handles although nobody waits for them.
Test(adviceQueue, theRateReturnsAfterTheServiceHasStoodStill)
{
    for (const auto standstill : {2s, 6s, 15s, 40s}) {
        AdvisedFleet advised;
        advised.begin();
        advised.submit(20, 20ms);
        advised.fleet.advance(1s);
        advised.service.stallUntil(advised.fleet.now() + standstill);
        advised.submit(150, standstill);
        advised.fleet.advance(5s);
        const std::size_t begun = advised.jobsBegunWithin(10s);
        cr_expect_geq(begun, advised.expectedDecisions(10s), "%lld s: %zu jobs in 10 s", static_cast<long long>(standstill.count()), begun);
        cr_expect_eq(advised.service.refusals(), 0, "%zu requests were refused", advised.service.refusals());
    }
}

// Guards against a lost response that holds the place of other requests until its timeout.
Test(adviceQueue, lostResponsesCostNoMoreThanTheirOwnRequests)
{
    AdvisedFleet advised;
    advised.service.lostResponsesOf = 5;
    advised.begin();
    advised.submit(200, 20ms);
    const std::size_t begun = advised.jobsBegunWithin(20s);
    cr_expect_geq(begun, advised.expectedDecisions(20s) * 4 / 5, "%zu jobs in 20 s", begun);
}

// Guards against one job whose requests fail and that keeps others from asking.
Test(adviceQueue, aJobWhoseRequestsFailDoesNotDelayOthers)
{
    AdvisedFleet advised;
    advised.service.failingJobs = {"job-of-the-fleet-0", "job-of-the-fleet-1"};
    advised.begin();
    advised.submit(100, 20ms);
    const std::size_t begun = advised.jobsBegunWithin(10s);
    cr_expect_geq(begun, advised.expectedDecisions(10s), "%zu jobs in 10 s", begun);
}

// Guards against a step that never starts because its tickets are valid for less than a margin.
Test(adviceQueue, ticketsOfAShortValidityAreUsed)
{
    AdvisedFleet advised;
    advised.service.parameters.validity = 200ms;
    advised.begin();
    advised.submit(5, 20ms);
    advised.fleet.advance(5s);
    cr_expect_eq(advised.fleet.jobsWithoutStart(), 0, "%zu jobs have not begun", advised.fleet.jobsWithoutStart());
}
