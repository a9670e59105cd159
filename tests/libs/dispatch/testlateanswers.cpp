#include "oneworker.h"

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
class HandAnsweredWorker
{
public:
    explicit HandAnsweredWorker(int tasks)
    {
        Wire::StepJob job;
        job.steps.resize(1);
        job.steps[0].taskCount = tasks;
        job.steps[0].milliCores = 1000;
        job.steps[0].estimateMs = 600'000;
        Testing::beginWithOneWorker(m_dispatcher, job, 64000, now);
    }

    /// Lets the dispatcher act once and keeps its orders.
    void step(Duration passed)
    {
        now += passed;
        m_dispatcher.confirmRead(now);
        const WallTime wall(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
        for (const DispatchAction &action : m_dispatcher.advance(now, wall)) {
            if (const auto *start = std::get_if<StartCommand>(&action)) {
                starts.push_back(*start);
            } else if (const auto *order = std::get_if<PollCommand>(&action)) {
                poll = *order;
                polledAt = now;
            } else if (std::holds_alternative<RunEnded>(action)) {
                ++endedRuns;
            } else if (std::holds_alternative<StoreRecords>(action)) {
                m_dispatcher.recordsStored(now);
            }
        }
    }

    void answerPoll(WorkerTime clock)
    {
        WorkerReport listing;
        listing.clock = clock;
        for (const auto &[task, run] : running) {
            listing.runs.push_back({task, run, "", ++m_percent % 100, 0});
        }
        m_dispatcher.pollAnswered(*std::exchange(poll, std::nullopt), listing, polledAt, now);
    }

    void failPoll() { m_dispatcher.pollAnswered(*std::exchange(poll, std::nullopt), CommandUndetermined{"no answer"}, polledAt, now); }

    void answerStart(const StartCommand &order, WorkerTime clock)
    {
        running[order.task] = order.run;
        m_dispatcher.startAnswered(order, CommandExecuted{clock}, now);
    }

    WorkerTime clock() const { return std::chrono::duration_cast<WorkerTime>(now - Begin) + 5000ms; }

    TimePoint now = Begin;
    std::vector<StartCommand> starts;
    std::optional<PollCommand> poll;
    TimePoint polledAt{};
    std::map<TaskId, int> running;
    int endedRuns = 0;

private:
    Dispatcher m_dispatcher{DispatchLimits()};
    int m_percent = 0;
};

} // namespace

Test(lateAnswers, aStartAnswerThatWasOvertakenIsNoNewLife)
{
    HandAnsweredWorker world(2);
    world.step(20ms);
    world.answerPoll(world.clock());
    for (int round = 0; round < 10 && world.starts.size() < 2; ++round) {
        world.step(20ms);
    }
    cr_assert_eq(world.starts.size(), 2);
    const WorkerTime startedAt = world.clock();
    world.answerStart(world.starts[0], startedAt);
    // This instance stands still for a while; then the newer answer comes up first.
    world.step(1500ms);
    world.running[world.starts[1].task] = world.starts[1].run;
    world.answerPoll(world.clock());
    world.answerStart(world.starts[1], startedAt);
    for (int round = 0; round < 50; ++round) {
        world.step(20ms);
        if (world.poll) {
            world.answerPoll(world.clock());
        }
    }
    cr_assert_eq(world.starts.size(), 2, "no run was written off");
}

Test(lateAnswers, whatAWorkerListsAfterALongSilenceStillRuns)
{
    int answeredJustAfterTheLease = 0;
    for (Duration silence = 4s; silence < 8s; silence += 20ms) {
        HandAnsweredWorker world(1);
        world.step(20ms);
        world.answerPoll(world.clock());
        for (int round = 0; round < 10 && world.starts.empty(); ++round) {
            world.step(20ms);
        }
        world.answerStart(world.starts[0], world.clock());
        const TimePoint until = world.now + silence;
        while (world.now < until) {
            world.step(20ms);
            if (world.poll && world.now + 1s < until) {
                world.failPoll();
            }
        }
        if (world.endedRuns > 0 || !world.poll) {
            continue; // written off in time
        }
        world.now += 40ms;
        world.answerPoll(world.clock());
        world.step(20ms);
        cr_assert_eq(world.endedRuns, 0, "the run that was listed goes on after %ld ms", static_cast<long>(silence / 1ms));
        ++answeredJustAfterTheLease;
    }
    cr_assert_gt(answeredJustAfterTheLease, 0);
}
