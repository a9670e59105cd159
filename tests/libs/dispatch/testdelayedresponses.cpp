#include "singleworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>

#include <criterion/criterion.h>

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

/// A dispatcher with one worker. The test responds to its commands itself, in any order.
class DispatcherHarness
{
public:
    explicit DispatcherHarness(int tasks, Duration claimReadTime = Duration::zero())
    {
        Wire::StepJob job;
        job.steps.resize(1);
        job.steps[0].taskCount = tasks;
        job.steps[0].milliCores = 1000;
        job.steps[0].estimateMs = 600'000;
        Testing::beginWithSingleWorker(m_dispatcher, job, 64000, {now, now - claimReadTime});
    }

    /// Advances the dispatcher once and keeps its commands.
    void step(Duration passed)
    {
        now += passed;
        if (answersReads) {
            m_dispatcher.confirmRead(now);
        }
        m_dispatcher.confirmWorkersRead(now);
        const WallTime wall(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
        for (const DispatchAction &action : m_dispatcher.advance(now, wall)) {
            if (const auto *start = std::get_if<StartCommand>(&action)) {
                starts.push_back(*start);
            } else if (const auto *command = std::get_if<PollCommand>(&action); command != nullptr && !command->isRepeated) {
                poll = *command;
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
        WorkerReport report;
        report.clock = clock;
        for (const auto &[task, run] : running) {
            report.runs.push_back({task, run, "", ++m_percent % 100, 0});
        }
        m_dispatcher.pollAnswered(*std::exchange(poll, std::nullopt), report, polledAt, now);
    }

    void failPoll() { m_dispatcher.pollAnswered(*std::exchange(poll, std::nullopt), CommandUndetermined{"no response"}, polledAt, now); }

    void answerStart(const StartCommand &command, WorkerTime clock)
    {
        running[command.task] = command.run;
        m_dispatcher.startAnswered(command, CommandExecuted{clock}, now);
    }

    /// Answers the first poll and advances until @p count tasks are to be started, for at most 200 ms.
    void waitForStarts(std::size_t count)
    {
        step(20ms);
        answerPoll(clock());
        for (int round = 0; round < 10 && starts.size() < count; ++round) {
            step(20ms);
        }
    }

    /// Advances @p rounds times and answers every poll.
    void answerPolls(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            step(20ms);
            if (poll) {
                answerPoll(clock());
            }
        }
    }

    WorkerTime clock() const { return std::chrono::duration_cast<WorkerTime>(now - Begin) + 5000ms; }

    TimePoint now = Begin;
    std::vector<StartCommand> starts;
    std::optional<PollCommand> poll;
    TimePoint polledAt{};
    std::map<TaskId, int> running;
    int endedRuns = 0;
    bool answersReads = true; // reads of the job topic

private:
    Dispatcher m_dispatcher{DispatchLimits()};
    int m_percent = 0;
};

} // namespace

Test(delayedResponses, aReorderedStartResponseIsNotTakenForARestart)
{
    DispatcherHarness harness(2);
    harness.waitForStarts(2);
    cr_assert_eq(harness.starts.size(), 2);
    const WorkerTime startedAt = harness.clock();
    harness.answerStart(harness.starts[0], startedAt);
    // The owner's process is suspended for a while and then processes the newer response first.
    harness.step(1500ms);
    harness.running[harness.starts[1].task] = harness.starts[1].run;
    harness.answerPoll(harness.clock());
    harness.answerStart(harness.starts[1], startedAt);
    harness.answerPolls(50);
    cr_assert_eq(harness.starts.size(), 2, "no run was considered lost");
}

Test(delayedResponses, runsReportedAfterALongSilenceContinue)
{
    int answeredJustAfterLeaseEnd = 0;
    for (Duration silence = 4s; silence < 8s; silence += 20ms) {
        DispatcherHarness harness(1);
        harness.waitForStarts(1);
        harness.answerStart(harness.starts[0], harness.clock());
        const TimePoint until = harness.now + silence;
        while (harness.now < until) {
            harness.step(20ms);
            if (harness.poll && harness.now + 1s < until) {
                harness.failPoll();
            }
        }
        if (harness.endedRuns > 0 || !harness.poll) {
            continue; // the lease expired before the response
        }
        harness.now += 40ms;
        harness.answerPoll(harness.clock());
        harness.step(20ms);
        cr_assert_eq(harness.endedRuns, 0, "the reported run continues after %ld ms", static_cast<long>(silence / 1ms));
        ++answeredJustAfterLeaseEnd;
    }
    cr_assert_gt(answeredJustAfterLeaseEnd, 0);
}

Test(delayedResponses, aStartResponseWithoutClockIsNotTakenForARestart)
{
    DispatcherHarness harness(2);
    harness.waitForStarts(2);
    cr_assert_eq(harness.starts.size(), 2);
    harness.answerStart(harness.starts[0], harness.clock());
    harness.answerStart(harness.starts[1], WorkerTime(0));
    harness.answerPolls(50);
    cr_assert_eq(harness.endedRuns, 0);
    cr_assert_eq(harness.starts.size(), 2, "no run was considered lost");
}

Test(delayedResponses, aClaimThatWasReadLateProvesNoOwnershipAfterItsRequest)
{
    // The owner's process was suspended before it processed the response with its claim. Another instance may have claimed
    // since the request, and counts the leases of this owner from then.
    constexpr Duration ReadTime = 10s;
    DispatcherHarness harness(1, ReadTime);
    harness.answersReads = false;
    int renewals = 0;
    for (int round = 0; round < 10; ++round) {
        harness.step(20ms);
        if (!harness.poll) {
            continue;
        }
        if (harness.poll->leaseEnd) {
            ++renewals;
            cr_expect_leq(harness.poll->leaseEnd->count(), harness.clock().count(), "a lease was granted without proof of the ownership");
        }
        harness.answerPoll(harness.clock());
    }
    cr_expect_gt(renewals, 0);
    cr_expect(harness.starts.empty(), "a run was started without proof of the ownership");
}
