#include "simulatedworker.h"
#include "singleworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto Tick = 20ms;
constexpr auto RunDuration = 200ms;
constexpr TimePoint Begin{1000s};
const TaskId SecondTask{"k", 0, 0, 0};

/// A dispatcher and its worker "w". The test decides when each command arrives at the worker, and when each response arrives at
/// the dispatcher.
class DeliveryHarness
{
public:
    DeliveryHarness()
        : worker(workerInfo(), Begin, DispatchLimits().maximumLease) // young: its clock differs little from the one of the next process
    {
        worker.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(RunDuration), RunEndReason::Completed, 0}; };
        worker.started = [this](const TaskId &task, int run, const std::string &) {
            cr_assert_not(acknowledgedDone.contains(task), "%s was started as run %d after its completion was acknowledged", task.toString().c_str(), run);
        };
        worker.ended = [](const TaskId &, int, const std::string &, RunEndReason) {};
        worker.endAcknowledged = [this](const TaskId &task, int, const std::string &, RunEndReason endReason) {
            if (endReason == RunEndReason::Completed) {
                acknowledgedDone.insert(task);
            }
        };
        beginWithSingleWorker(dispatcher, jobOf(1), 64000, {now, now});
    }

    /// Advances the time by one tick and keeps the commands of the dispatcher.
    void tick()
    {
        now += Tick;
        worker.advance(now);
        dispatcher.confirmRead(now);
        dispatcher.confirmWorkersRead(now);
        for (const DispatchAction &action : dispatcher.advance(now, wall())) {
            keep(action);
        }
    }

    void tickFor(Duration time)
    {
        for (const TimePoint until = now + time; now < until;) {
            tick();
        }
    }

    /// Lets every command be executed and answered at once for @p time.
    void deliverFor(Duration time)
    {
        for (const TimePoint until = now + time; now < until;) {
            tick();
            deliverAll();
        }
    }

    void deliverAll()
    {
        for (const StopCommand &stop : std::exchange(stops, {})) {
            dispatcher.stopAnswered(stop, worker.stop(stop, now), now);
        }
        for (const StartCommand &start : std::exchange(starts, {})) {
            dispatcher.startAnswered(start, worker.start(start, now), now);
        }
        if (poll) {
            const PollCommand command = *std::exchange(poll, std::nullopt);
            dispatcher.pollAnswered(command, worker.poll(command, now), polledAt, now);
        }
    }

    /// Advances the time without delivering anything until @p isReached.
    template<typename Condition>
    void tickUntil(Condition isReached)
    {
        for (int round = 0; round < 100 && !isReached(); ++round) {
            tick();
        }
        cr_assert(isReached(), "the dispatcher has not sent the expected command");
    }

    /// Submits a further job of one task.
    void submit(const std::string &jobId)
    {
        JobTable table;
        table.apply({0, submissionKey(jobId), encode(jobOf(1))});
        dispatcher.jobChanged(jobId, table.find(jobId), now, wall());
    }

    /// Cancels a job of one task.
    void cancel(const std::string &jobId)
    {
        JobTable table;
        table.apply({0, submissionKey(jobId), encode(jobOf(1))});
        table.apply({1, cancellationKey(jobId), "1"});
        dispatcher.jobChanged(jobId, table.find(jobId), now, wall());
    }

    Dispatcher dispatcher{DispatchLimits()};
    TimePoint now = Begin;
    SimulatedWorker worker;
    std::vector<StartCommand> starts; // not delivered yet
    std::vector<StopCommand> stops;
    std::optional<PollCommand> poll;
    TimePoint polledAt{};
    std::set<TaskId> acknowledgedDone;
    std::size_t endedRuns = 0;

private:
    static WorkerInfo workerInfo()
    {
        WorkerInfo info;
        info.id = "w";
        return info;
    }

    static Wire::StepJob jobOf(int tasks)
    {
        Wire::StepJob job;
        job.queue = "batch";
        job.steps.resize(1);
        job.steps[0].taskCount = tasks;
        job.steps[0].milliCores = 1000;
        job.steps[0].estimateMs = 1000;
        return job;
    }

    WallTime wall() const { return WallTime(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch())); }

    void keep(const DispatchAction &action)
    {
        if (const auto *start = std::get_if<StartCommand>(&action)) {
            starts.push_back(*start);
        } else if (const auto *stop = std::get_if<StopCommand>(&action)) {
            stops.push_back(*stop);
        } else if (const auto *command = std::get_if<PollCommand>(&action); command != nullptr && !command->isRepeated) {
            poll = *command;
            polledAt = now;
        } else if (std::holds_alternative<AppendRecords>(action)) {
            dispatcher.recordsStored(now);
        }
        endedRuns += std::holds_alternative<RunEnded>(action) ? 1 : 0;
    }
};

/// Lets the first task complete and be listed by the worker.
void completeFirstTask(DeliveryHarness &harness)
{
    while (harness.endedRuns == 0) {
        harness.deliverFor(Tick);
    }
}

/// Answers polls for a time in which the end of the first task is acknowledged, unless something prevents it. A poll that
/// acknowledges it is not delivered.
void answerPollsUntilOneAcknowledges(DeliveryHarness &harness)
{
    for (int round = 0; round < 20 && (!harness.poll || harness.poll->acknowledgedSequence == 0); ++round) {
        if (harness.poll) {
            const PollCommand command = *std::exchange(harness.poll, std::nullopt);
            harness.dispatcher.pollAnswered(command, harness.worker.poll(command, harness.now), harness.polledAt, harness.now);
        }
        harness.tick();
    }
}

} // namespace

Test(acknowledgements, aPollSentWhileAStartIsUnansweredAcknowledgesNoEndOfTheNextProcess)
{
    DeliveryHarness harness;
    completeFirstTask(harness);
    harness.submit("k");
    harness.tickUntil([&] { return !harness.starts.empty(); });
    answerPollsUntilOneAcknowledges(harness);
    harness.tickUntil([&] { return harness.poll.has_value(); });
    harness.worker.restart(harness.now);
    const StartCommand start = harness.starts.front();
    harness.starts.clear();
    const CommandResult started = harness.worker.start(start, harness.now);
    harness.tick();
    harness.dispatcher.startAnswered(start, started, harness.now);
    // The start is executed by the next process, where the run completes before the poll arrives.
    harness.tickFor(RunDuration);
    harness.deliverFor(3s);
    cr_assert(harness.acknowledgedDone.contains(SecondTask), "the second task has not completed");
}

Test(acknowledgements, aStartSentWhileAnAcknowledgementIsUnansweredDoesNotOvertakeIt)
{
    DeliveryHarness harness;
    completeFirstTask(harness);
    harness.tickUntil([&] { return harness.poll && harness.poll->acknowledgedSequence > 0; });
    harness.submit("k");
    harness.tickFor(RunDuration);
    harness.worker.restart(harness.now);
    if (!harness.starts.empty()) {
        const StartCommand start = harness.starts.front();
        harness.starts.clear();
        harness.dispatcher.startAnswered(start, harness.worker.start(start, harness.now), harness.now);
    }
    harness.tickFor(RunDuration);
    harness.deliverFor(3s);
    cr_assert(harness.acknowledgedDone.contains(SecondTask), "the second task has not completed");
}

Test(acknowledgements, aLateCopyOfAStartThatTheNextProcessExecutesIsNotAcknowledgedUnseen)
{
    DeliveryHarness harness;
    completeFirstTask(harness);
    harness.submit("k");
    harness.tickUntil([&] { return !harness.starts.empty(); });
    const StartCommand late = harness.starts.front();
    harness.starts.clear();
    harness.dispatcher.startAnswered(late, CommandUndetermined{"timeout"}, harness.now);
    harness.worker.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(10s), RunEndReason::Completed, 0}; };
    harness.tickUntil([&] { return !harness.starts.empty(); });
    const StartCommand repeated = harness.starts.front();
    harness.starts.clear();
    harness.dispatcher.startAnswered(repeated, harness.worker.start(repeated, harness.now), harness.now);
    answerPollsUntilOneAcknowledges(harness);
    harness.tickUntil([&] { return harness.poll.has_value(); });
    harness.worker.restart(harness.now);
    harness.worker.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(RunDuration), RunEndReason::Completed, 0}; };
    cr_assert(std::holds_alternative<CommandExecuted>(harness.worker.start(late, harness.now)));
    harness.tickFor(RunDuration);
    harness.deliverFor(15s);
    cr_assert(harness.acknowledgedDone.contains(SecondTask), "the second task has not completed");
}

Test(acknowledgements, acknowledgementsAreNotPreventedByPermanentlyOutstandingStarts)
{
    DeliveryHarness harness;
    completeFirstTask(harness);
    // One start is in transit at any time, and the run of each is listed only by the next poll.
    for (int job = 0; job < 100 && harness.acknowledgedDone.empty(); ++job) {
        harness.submit("k" + std::to_string(job));
        for (int round = 0; round < 3; ++round) {
            harness.tick();
            const std::vector<StartCommand> answered = std::exchange(harness.starts, {});
            harness.deliverAll();
            harness.tick();
            for (const StartCommand &start : answered) {
                harness.dispatcher.startAnswered(start, harness.worker.start(start, harness.now), harness.now);
            }
        }
    }
    cr_assert_not(harness.acknowledgedDone.empty(), "no end was acknowledged while tasks were started");
}

Test(acknowledgements, anAcknowledgementThatAStartOvertakesIsSentAgain)
{
    DeliveryHarness harness;
    completeFirstTask(harness);
    harness.tickUntil([&] { return harness.poll && harness.poll->acknowledgedSequence > 0; });
    harness.submit("k");
    harness.tickUntil([&] { return !harness.starts.empty(); });
    const StartCommand start = harness.starts.front();
    harness.starts.clear();
    cr_assert_gt(start.fencingToken, harness.poll->fencingToken);
    harness.dispatcher.startAnswered(start, harness.worker.start(start, harness.now), harness.now);
    const PollCommand overtaken = *std::exchange(harness.poll, std::nullopt);
    harness.dispatcher.pollAnswered(overtaken, harness.worker.poll(overtaken, harness.now), harness.polledAt, harness.now);
    harness.tick();
    cr_assert(harness.poll.has_value(), "the worker responds, so it is polled again at once");
    cr_assert(harness.poll->leaseEnd.has_value(), "the lease of a worker that responds is renewed");
    harness.deliverFor(3s);
    cr_assert_eq(harness.acknowledgedDone.size(), 2);
}

Test(acknowledgements, aStartThatALaterStartOvertakesIsSentAgainAsTheSameRun)
{
    DeliveryHarness harness;
    completeFirstTask(harness);
    harness.submit("k");
    harness.tickUntil([&] { return !harness.starts.empty(); });
    StartCommand overtaken = harness.starts.front();
    harness.starts.clear();
    harness.tickUntil([&] { return harness.poll.has_value(); });
    // Meanwhile the worker has executed a command of this owner with a higher token.
    harness.dispatcher.pollAnswered(*std::exchange(harness.poll, std::nullopt), CommandUndetermined{"timeout"}, harness.polledAt, harness.now);
    harness.tickUntil([&] { return harness.poll.has_value(); });
    const PollCommand poll = *std::exchange(harness.poll, std::nullopt);
    cr_assert_gt(poll.fencingToken, overtaken.fencingToken);
    harness.dispatcher.pollAnswered(poll, harness.worker.poll(poll, harness.now), harness.polledAt, harness.now);
    harness.dispatcher.startAnswered(overtaken, harness.worker.start(overtaken, harness.now), harness.now);
    harness.tickUntil([&] { return !harness.starts.empty(); });
    cr_assert_eq(harness.starts.front().run, overtaken.run);
    cr_assert_eq(harness.starts.front().task, overtaken.task);
}

Test(acknowledgements, aStopThatALaterCommandOvertakesIsSentAgainAtOnce)
{
    DeliveryHarness harness;
    harness.worker.plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(10s), RunEndReason::Completed, 0}; };
    harness.submit("k");
    harness.deliverFor(1s);
    harness.tickUntil([&] { return harness.poll.has_value(); });
    harness.cancel("k");
    harness.tickUntil([&] { return !harness.stops.empty(); });
    const StopCommand overtaken = harness.stops.front();
    harness.stops.clear();
    harness.dispatcher.pollAnswered(*std::exchange(harness.poll, std::nullopt), CommandUndetermined{"timeout"}, harness.polledAt, harness.now);
    harness.dispatcher.stopAnswered(overtaken, CommandRejected{RejectionReason::Fenced, "fence"}, harness.now);
    harness.tick();
    cr_assert_not(harness.stops.empty());
    cr_assert_gt(harness.stops.front().fencingToken, overtaken.fencingToken);
}

Test(acknowledgements, theTermEndsBeforeTheTokensOfAWorkerAreUsedUp)
{
    constexpr int MostFailures = 1'000'000;
    DeliveryHarness harness;
    harness.deliverFor(100ms);
    WorkerReport report;
    PollCommand poll;
    poll.worker.id = "w";
    int failures = 0;
    while (failures < MostFailures && !harness.dispatcher.areTokensExhausted()) {
        ++failures;
        harness.tickUntil([&] { return harness.poll.has_value(); });
        const PollCommand poll = *std::exchange(harness.poll, std::nullopt);
        harness.dispatcher.pollAnswered(poll, CommandUndetermined{"timeout"}, harness.now, harness.now);
        harness.dispatcher.pollAnswered(poll, report, harness.now, harness.now);
    }
    cr_assert(harness.dispatcher.areTokensExhausted());
    cr_assert_gt(failures, MostFailures / 10, "the term ends after %d restarts of a worker", failures);
}

Test(acknowledgements, aWorkerWithManyUnacknowledgedEndsGetsNoMoreTasks)
{
    constexpr std::int64_t AlmostAllThatAreListed = 400;
    DeliveryHarness harness;
    harness.deliverFor(100ms);
    harness.tickUntil([&] { return harness.poll.has_value(); });
    WorkerReport report;
    report.clock = WorkerTime(2000);
    for (std::int64_t sequence = 1; sequence <= AlmostAllThatAreListed; ++sequence) {
        report.ends.push_back({sequence, {"other", 0, 0, static_cast<int>(sequence)}, 1, RunEndReason::Stopped, ""});
    }
    harness.dispatcher.pollAnswered(*std::exchange(harness.poll, std::nullopt), report, harness.polledAt, harness.now);
    harness.submit("k");
    harness.tickFor(RunDuration);
    cr_assert(harness.starts.empty(), "a task was started although the worker may not be able to list its end");
}
