#include "eventharness.h"

#include "singleworker.h"

#include <dispatch/claimtimes.h>

#include <algorithm>
#include <utility>

namespace Hyssop::Testing {

constexpr std::chrono::milliseconds StepInterval{20};
constexpr int MaximumStartRounds = 20;

EventHarness::EventHarness(int tasks, bool longRunning)
    : m_tasks(tasks)
{
    Wire::StepJob job;
    job.steps.resize(1);
    job.steps[0].taskCount = tasks;
    job.steps[0].milliCores = 1000;
    job.steps[0].estimateMs = longRunning ? 0 : 600'000;
    job.steps[0].longRunning = longRunning;
    beginWithSingleWorker(dispatcher, job, 64000, {now, now});
}

void EventHarness::step()
{
    now += StepInterval;
    dispatcher.confirmRead(now);
    if (readsWorkers) {
        dispatcher.confirmWorkersRead(now);
    }
    const WallTime wall(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
    for (DispatchAction &action : dispatcher.advance(now, wall)) {
        if (const auto *command = std::get_if<PollCommand>(&action)) {
            if (!command->isRepeated) {
                m_poll = *command;
                m_pollSentAt = now;
            }
        } else if (std::holds_alternative<AppendRecords>(action)) {
            if (beforeRecordsStored) {
                beforeRecordsStored();
            }
            dispatcher.recordsStored(now);
        }
        actions.push_back(std::move(action));
    }
}

void EventHarness::advance(Duration passed, bool answersPolls)
{
    const TimePoint until = now + passed;
    while (now < until) {
        step();
        if (!m_poll || holdsPolls) {
            continue;
        }
        if (answersPolls) {
            answerPoll();
        } else {
            dispatcher.pollAnswered(*std::exchange(m_poll, std::nullopt), pollFailure, now, now);
        }
    }
}

void EventHarness::startAllTasks()
{
    for (int round = 0; round < MaximumStartRounds && all<StartCommand>().size() < static_cast<std::size_t>(m_tasks); ++round) {
        advance(StepInterval);
    }
    for (const StartCommand &start : all<StartCommand>()) {
        runs.push_back({start.task, start.run, "", 0, 0});
        dispatcher.startAnswered(start, CommandExecuted{clock()}, now);
    }
}

void EventHarness::answerPoll()
{
    constexpr int ProgressCycle = 99;
    WorkerReport report;
    report.clock = clock();
    report.processStartedAt = processStartedAt;
    for (ReportedRun &run : runs) {
        run.progressPercent = makesProgress ? (run.progressPercent + 1) % ProgressCycle : run.progressPercent;
    }
    report.runs = runs;
    report.malformedRuns = malformedRuns;
    report.ends = ends;
    dispatcher.pollAnswered(*std::exchange(m_poll, std::nullopt), report, m_pollSentAt, now);
}

WorkerInfo EventHarness::worker() const
{
    WorkerInfo info;
    info.id = "w";
    info.workerPool = "hall";
    info.address = "127.0.0.1:1";
    info.capacity.milliCores = 64000;
    return info;
}

WorkerTime EventHarness::clock() const
{
    return std::chrono::duration_cast<WorkerTime>(now - clockBegin);
}

} // namespace Hyssop::Testing
