#include "singleworker.h"

#include <dispatch/dispatcher.h>

#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

/// A dispatcher with one worker whose answers the test gives by hand, in any order.
class ManualWorker
{
public:
    explicit ManualWorker(int tasks)
    {
        Wire::StepJob job;
        job.steps.resize(1);
        job.steps[0].taskCount = tasks;
        job.steps[0].milliCores = 1000;
        job.steps[0].estimateMs = 600'000;
        Testing::beginWithSingleWorker(m_dispatcher, job, 64000, now);
    }

    /// Lets the dispatcher act once and keeps its orders.
    void step(Duration passed)
    {
        now += passed;
        m_dispatcher.confirmRead(now);
        const WallTime wall(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
        for (const DispatchAction &action : m_dispatcher.advance(now, wall)) {
            if (const auto *start = std::get_if<StartOrder>(&action)) {
                starts.push_back(*start);
            } else if (const auto *order = std::get_if<PollOrder>(&action)) {
                poll = *order;
                polledAt = now;
            } else if (std::holds_alternative<RunEnded>(action)) {
                ++endedRuns;
            } else if (std::holds_alternative<AppendRecords>(action)) {
                m_dispatcher.recordsStored(now);
            }
        }
    }

    void answerPoll(WorkerTime clock)
    {
        WorkerListing listing;
        listing.clock = clock;
        for (const auto &[task, run] : running) {
            listing.runs.push_back({task, run, "", ++m_percent % 100, 0});
        }
        m_dispatcher.pollAnswered(*std::exchange(poll, std::nullopt), listing, polledAt, now);
    }

    void failPoll() { m_dispatcher.pollAnswered(*std::exchange(poll, std::nullopt), OrderUnknown{"no answer"}, polledAt, now); }

    void answerStart(const StartOrder &order, WorkerTime clock)
    {
        running[order.task] = order.run;
        m_dispatcher.startAnswered(order, OrderDone{clock}, now);
    }

    WorkerTime clock() const { return std::chrono::duration_cast<WorkerTime>(now - Begin) + 5000ms; }

    TimePoint now = Begin;
    std::vector<StartOrder> starts;
    std::optional<PollOrder> poll;
    TimePoint polledAt{};
    std::map<TaskId, int> running;
    int endedRuns = 0;

private:
    Dispatcher m_dispatcher{DispatchLimits()};
    int m_percent = 0;
};

} // namespace

Test(delayedAnswers, aStartAnswerThatWasOvertakenIsNoNewLife)
{
    ManualWorker simulation(2);
    simulation.step(20ms);
    simulation.answerPoll(simulation.clock());
    for (int round = 0; round < 10 && simulation.starts.size() < 2; ++round) {
        simulation.step(20ms);
    }
    cr_assert_eq(simulation.starts.size(), 2);
    const WorkerTime startedAt = simulation.clock();
    simulation.answerStart(simulation.starts[0], startedAt);
    // This instance stands still for a while; then the newer answer comes up first.
    simulation.step(1500ms);
    simulation.running[simulation.starts[1].task] = simulation.starts[1].run;
    simulation.answerPoll(simulation.clock());
    simulation.answerStart(simulation.starts[1], startedAt);
    for (int round = 0; round < 50; ++round) {
        simulation.step(20ms);
        if (simulation.poll) {
            simulation.answerPoll(simulation.clock());
        }
    }
    cr_assert_eq(simulation.starts.size(), 2, "no run was written off");
}

Test(delayedAnswers, whatAWorkerListsAfterALongSilenceStillRuns)
{
    int answeredJustAfterTheLease = 0;
    for (Duration silence = 4s; silence < 8s; silence += 20ms) {
        ManualWorker simulation(1);
        simulation.step(20ms);
        simulation.answerPoll(simulation.clock());
        for (int round = 0; round < 10 && simulation.starts.empty(); ++round) {
            simulation.step(20ms);
        }
        simulation.answerStart(simulation.starts[0], simulation.clock());
        const TimePoint until = simulation.now + silence;
        while (simulation.now < until) {
            simulation.step(20ms);
            if (simulation.poll && simulation.now + 1s < until) {
                simulation.failPoll();
            }
        }
        if (simulation.endedRuns > 0 || !simulation.poll) {
            continue; // written off in time
        }
        simulation.now += 40ms;
        simulation.answerPoll(simulation.clock());
        simulation.step(20ms);
        cr_assert_eq(simulation.endedRuns, 0, "the run that was listed goes on after %ld ms", static_cast<long>(silence / 1ms));
        ++answeredJustAfterTheLease;
    }
    cr_assert_gt(answeredJustAfterTheLease, 0);
}
