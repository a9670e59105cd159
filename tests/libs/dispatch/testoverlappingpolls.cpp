#include "eventharness.h"

#include <dispatch/repeatedpollbudget.h>
#include <dispatch/responsetimeestimator.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto Tick = 20ms;
constexpr TimePoint Begin{1000s};

/// A dispatcher with a worker that runs a serving task. Its polls are answered only by the test.
class WorkerWithOpenPolls
{
public:
    WorkerWithOpenPolls()
    {
        harness.advance(100ms);
        harness.startAllTasks();
        harness.advance(1s);
        harness.actions.clear();
    }

    /// Advances without answering any poll.
    void advance(Duration time)
    {
        for (const TimePoint until = harness.now + time; harness.now < until;) {
            harness.now += Tick;
            harness.dispatcher.confirmRead(harness.now);
            harness.dispatcher.confirmWorkersRead(harness.now);
            const WallTime wall(std::chrono::duration_cast<WallTime::duration>(harness.now.time_since_epoch()));
            for (DispatchAction &action : harness.dispatcher.advance(harness.now, wall)) {
                if (const auto *poll = std::get_if<PollCommand>(&action)) {
                    polls.emplace_back(*poll, harness.now);
                }
                harness.actions.push_back(std::move(action));
            }
        }
    }

    /// Responds now to the poll of this number with a report for which the worker has read its clock at @p readAt.
    void answer(std::size_t index, TimePoint readAt, std::chrono::milliseconds processStartedAt = 0ms)
    {
        WorkerReport report;
        report.processStartedAt = processStartedAt;
        report.clock = std::chrono::duration_cast<WorkerTime>(readAt - harness.clockBegin);
        report.runs = harness.runs;
        harness.dispatcher.pollAnswered(polls[index].first, report, polls[index].second, harness.now);
    }

    std::size_t regularPolls() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(polls, [](const auto &poll) { return !poll.first.isRepeated; }));
    }

    EventHarness harness{1, true};
    std::vector<std::pair<PollCommand, TimePoint>> polls; // and when they were sent
};

} // namespace

// Guards against a lease that a worker without a report keeps for longer because it is polled again, and against ends that are acknowledged
// twice.
Test(overlappingPolls, repeatedPollsGrantNoLaterLease)
{
    WorkerWithOpenPolls worker;
    worker.advance(2s);
    cr_assert_eq(worker.regularPolls(), 1);
    cr_assert_geq(worker.polls.size(), 4);
    const PollCommand &regular = worker.polls.front().first;
    cr_assert(regular.leaseEnd.has_value());
    for (const auto &[poll, sentAt] : worker.polls) {
        cr_expect(poll.leaseEnd == regular.leaseEnd);
        cr_expect_eq(poll.acknowledgedSequence, 0);
        cr_expect(!poll.isRepeated || poll.wait.count() == 0);
    }
}

// Guards against calls without bound to a worker that does not respond.
Test(overlappingPolls, theOpenPollsOfAWorkerAreBounded)
{
    WorkerWithOpenPolls worker;
    worker.advance(60s);
    cr_assert_leq(worker.polls.size(), 12);
}

// Guards against a lease that expires although the worker responds: a repeated poll does not renew it.
Test(overlappingPolls, theResponseToARepeatedPollLetsTheLeaseBeRenewedAtOnce)
{
    WorkerWithOpenPolls worker;
    worker.advance(1s);
    cr_assert_eq(worker.regularPolls(), 1);
    worker.answer(worker.polls.size() - 1, worker.harness.now);
    worker.advance(Tick);
    cr_assert_eq(worker.regularPolls(), 2);
    cr_assert(*worker.polls.back().first.leaseEnd > *worker.polls.front().first.leaseEnd);
    // The first poll fails late. It shows nothing, because the worker has reported since.
    worker.harness.dispatcher.pollAnswered(worker.polls.front().first, CommandUndetermined{"timeout"}, worker.polls.front().second, worker.harness.now);
    worker.advance(Tick);
    cr_assert(worker.harness.all<WorkerUnreachable>().empty());
}

// Guards against the older of two reports that is taken for the one of the next process, whose clock is behind, and ends all runs.
Test(overlappingPolls, aReportThatANewerOneHasOvertakenIsNotHandled)
{
    WorkerWithOpenPolls worker;
    worker.advance(1s);
    cr_assert_geq(worker.polls.size(), 3);
    const TimePoint readAt = worker.harness.now - 40ms;
    worker.answer(2, worker.harness.now - 20ms);
    worker.harness.runs.clear();
    worker.answer(1, readAt);
    worker.advance(Tick);
    cr_assert(worker.harness.all<WorkerRestarted>().empty());
    cr_assert(worker.harness.all<RunEnded>().empty());
    cr_assert(worker.harness.all<StopCommand>().empty());
}

// Guards against a report of an earlier process that arrives after one of the current process, is taken for the one of the next process, and
// ends runs that are at work, so that they begin a second time elsewhere.
Test(overlappingPolls, aReportOfAnotherProcessThatANewerOneHasOvertakenIsNotHandled)
{
    for (const std::chrono::milliseconds overtaken : {3000ms, 7000ms}) { // the time of day may have been set back between the two
        WorkerWithOpenPolls worker;
        worker.advance(1s);
        cr_assert_geq(worker.polls.size(), 3);
        worker.answer(2, worker.harness.now - 20ms, 5000ms);
        worker.advance(Tick);
        worker.harness.actions.clear();
        worker.harness.runs.clear();
        worker.answer(1, worker.harness.now - 40ms, overtaken);
        worker.advance(Tick);
        cr_expect(worker.harness.all<WorkerRestarted>().empty());
        cr_expect(worker.harness.all<RunEnded>().empty());
        cr_expect(worker.harness.all<StopCommand>().empty());
    }
}

// Guards against a poll without a response that the next process of the worker executes late: it would hold a lease on the clock of the
// previous process, which ends later than the owner assumes.
Test(overlappingPolls, aPollThatARepeatedOneReplacesIsFenced)
{
    WorkerWithOpenPolls worker;
    worker.advance(1s);
    const std::int64_t abandonedToken = worker.polls.front().first.fencingToken;
    worker.answer(worker.polls.size() - 1, worker.harness.now);
    worker.advance(Tick);
    cr_assert_eq(worker.regularPolls(), 2);
    cr_expect_gt(worker.polls.back().first.fencingToken, abandonedToken);
}

// Guards against a stop whose effect is known only after the wait of the open poll, which may be lost.
Test(overlappingPolls, aConfirmedStopRequestsAReport)
{
    WorkerWithOpenPolls worker;
    worker.advance(200ms);
    cr_assert_eq(worker.polls.size(), 1);
    cr_assert_gt(worker.polls.front().first.wait.count(), 0);
    WorkerInfo info = worker.harness.worker();
    info.draining = true;
    worker.harness.dispatcher.updateWorker(info);
    worker.advance(Tick);
    const std::vector<StopCommand> stops = worker.harness.all<StopCommand>();
    cr_assert_eq(stops.size(), 1);
    worker.harness.dispatcher.stopAnswered(stops.front(), CommandExecuted{worker.harness.clock()}, worker.harness.now);
    worker.advance(Tick);
    cr_assert_eq(worker.polls.size(), 2);
    cr_assert(worker.polls.back().first.isRepeated);
    cr_assert_eq(worker.polls.back().first.wait.count(), 0);
}

// Guards against an owner that is late itself and takes this for lost responses.
Test(overlappingPolls, theUsualResponseTimeFollowsTheResponsesThatArrive)
{
    ResponseTimeEstimator estimator;
    for (int response = 0; response < 100; ++response) {
        estimator.recordResponse(10ms, 0ms);
        estimator.recordResponse(610ms, 600ms);
        estimator.recordResponse(300ms, 600ms); // the worker has not used up its wait
    }
    cr_expect(estimator.usualTime() <= 150ms);
    for (int response = 0; response < 12; ++response) {
        estimator.recordResponse(1500ms, 0ms);
    }
    cr_expect(estimator.usualTime() >= 1500ms);
}

// Guards against an owner that multiplies its load while no response arrives.
Test(overlappingPolls, repeatedPollsAreBoundedByTheResponses)
{
    RepeatedPollBudget budget;
    int taken = 0;
    for (TimePoint now = Begin; now < Begin + 10s; now += Tick) {
        taken += budget.take(now) ? 1 : 0;
    }
    cr_expect_leq(taken, 240, "%d polls without any response", taken);
    TimePoint later = Begin + 10s;
    while (budget.take(later)) {
    }
    budget.recordResponse(false);
    cr_expect(budget.take(later) && budget.take(later));
    cr_expect_not(budget.take(later));
    budget.recordResponse(true);
    cr_expect(budget.take(later));
    cr_expect_not(budget.take(later));
}
