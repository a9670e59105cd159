#include "singleworker.h"

#include "hyssop_types.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto Tick = 20ms;
constexpr int Tasks = 8;

/// A dispatcher with one job and one worker. The records that are durable in both topics are kept, so that another term can begin.
class TwoTopics
{
public:
    TwoTopics()
    {
        Wire::StepJob job;
        job.queue = "batch";
        job.steps.resize(1);
        job.steps[0].taskCount = Tasks;
        job.steps[0].milliCores = 1000;
        job.steps[0].estimateMs = 600'000;
        jobs.push_back({0, submissionKey("j"), encode(job)});
        beginWithSingleWorker(dispatcher, job, 64'000, {now, now});
    }

    void run(Duration time)
    {
        for (const TimePoint until = now + time; now < until; now += Tick) {
            dispatcher.confirmRead(now);
            dispatcher.confirmWorkersRead(now);
            const WallTime wall(std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
            for (const DispatchAction &action : dispatcher.advance(now, wall)) {
                std::visit(Overloaded{[this](const PollCommand &poll) { answer(poll); },
                                      [this](const StartCommand &start) { answer(start); },
                                      [this](const AppendRecords &append) { store(append); },
                                      [](const auto &) {}},
                           action);
            }
        }
    }

    /// Reports the runs as ended in the next reports.
    void endRuns(std::size_t count, RunEndReason endReason = RunEndReason::Completed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_ends.push_back({static_cast<std::int64_t>(m_ends.size()) + 1, m_runs.back().task, m_runs.back().run, endReason, ""});
            m_runs.pop_back();
        }
    }

    /// Begins the term of another owner that finds what is durable.
    void takeOver()
    {
        losesJobAppends = false;
        dispatcher.beginTerm(2, loadedTable(), {now, now}, true);
        registerWorker();
    }

    void registerWorker()
    {
        WorkerInfo worker;
        worker.id = "w";
        worker.workerPool = "hall";
        worker.address = "127.0.0.1:1";
        worker.capacity.milliCores = 64'000;
        dispatcher.updateWorker(worker);
    }

    /// Returns the table of an instance that takes over with what is durable.
    JobTable loadedTable() const
    {
        JobTable table;
        for (const KeyedRecord &record : jobs) {
            table.apply(record);
        }
        for (const auto &[key, record] : runsTopic) {
            table.applyRuns(record);
        }
        return table;
    }

    std::size_t phaseRecords() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(jobs, [](const KeyedRecord &record) { return record.key == progressKey("j"); }));
    }

    Dispatcher dispatcher{DispatchLimits()};
    TimePoint now{1000s};
    std::vector<KeyedRecord> jobs; // all records of the job topic
    std::map<std::string, KeyedRecord> runsTopic; // newest records
    std::vector<AppendRecords> appends;
    std::size_t starts = 0;
    bool losesJobAppends = false; // and the owner dies before they are repeated

private:
    WorkerTime clock() const { return std::chrono::duration_cast<WorkerTime>(now - TimePoint(900s)); }

    void answer(const StartCommand &start)
    {
        ++starts;
        m_runs.push_back({start.task, start.run, "", 0, 0});
        dispatcher.startAnswered(start, CommandExecuted{clock()}, now);
    }

    void answer(const PollCommand &poll)
    {
        WorkerReport report;
        report.clock = clock();
        for (ReportedRun &run : m_runs) {
            run.progressPercent = (run.progressPercent + 1) % 99;
        }
        report.runs = m_runs;
        report.ends = m_ends;
        dispatcher.pollAnswered(poll, report, now, now);
    }

    void store(const AppendRecords &append)
    {
        appends.push_back(append);
        for (const KeyedRecord &record : append.runs) {
            if (record.value) {
                runsTopic[record.key] = record;
            } else {
                runsTopic.erase(record.key);
            }
        }
        if (losesJobAppends && !append.records.empty()) {
            return;
        }
        for (const KeyedRecord &record : append.records) {
            jobs.push_back({static_cast<std::int64_t>(jobs.size()), record.key, record.value});
        }
        dispatcher.recordsStored(now);
    }

    std::vector<ReportedRun> m_runs;
    std::vector<ReportedRunEnd> m_ends;
};

} // namespace

Test(runsTopic, theJobTopicContainsThePhaseOnlyWhenItChanges)
{
    TwoTopics topics;
    topics.run(1s);
    cr_assert_eq(topics.starts, Tasks);
    for (int end = 0; end < Tasks - 1; ++end) {
        topics.endRuns(1);
        topics.run(500ms);
    }
    cr_assert_eq(topics.phaseRecords(), 1, "every instance reads %zu records", topics.phaseRecords());
    cr_assert(topics.runsTopic.contains(progressKey("j")));
}

Test(runsTopic, theNextOwnerFindsTheRuns)
{
    TwoTopics topics;
    topics.run(1s);
    topics.endRuns(3);
    topics.run(1s);
    const JobTable table = topics.loadedTable();
    Dispatcher next{DispatchLimits()};
    next.beginTerm(2, table, {topics.now, topics.now});
    cr_assert_eq(next.openRuns(), Tasks - 3);
}

Test(runsTopic, theRunsOfAJobAreRemovedAfterItsEndIsDurable)
{
    TwoTopics topics;
    topics.run(1s);
    topics.endRuns(Tasks);
    topics.run(2s);
    cr_assert_not(topics.runsTopic.contains(progressKey("j")), "the runs topic grows without bound");
    cr_assert(topics.loadedTable().find("j")->isEnded());
}

Test(runsTopic, anOwnerThatDiesBeforeTheEndOfAJobIsDurableLeavesItsRuns)
{
    TwoTopics topics;
    topics.run(1s);
    topics.losesJobAppends = true;
    topics.endRuns(Tasks);
    topics.run(2s);
    const JobTable table = topics.loadedTable();
    cr_assert_not(table.find("j")->isEnded());
    Dispatcher next{DispatchLimits()};
    next.beginTerm(2, table, {topics.now, topics.now});
    cr_assert_eq(next.openRuns(), Tasks, "the next owner would start tasks again that are done");
}

// Guards against a start beyond the allowed failures when an owner dies between its appends to the two topics.
Test(runsTopic, aFailureThatOnlyTheRunsTopicTellsEndsTheJob)
{
    TwoTopics topics;
    topics.run(1s);
    topics.losesJobAppends = true;
    topics.endRuns(1, RunEndReason::Failed);
    topics.run(2s);
    cr_assert_not(topics.loadedTable().find("j")->isEnded());
    topics.takeOver();
    topics.run(10s);
    cr_assert_eq(topics.starts, Tasks, "a task was started again after its last allowed failure");
    cr_assert(topics.loadedTable().find("j")->phase() == Wire::JobPhase::Failed, "callers don't learn the end");
}

// The previous owner did not know the limit, because the queue was not in its configuration.
Test(runsTopic, aTaskWithoutFurtherAttemptsIsNotStarted)
{
    TwoTopics topics;
    topics.run(1s);
    Wire::JobProgress progress;
    progress.phase = Wire::JobPhase::Running;
    Wire::StepMarks marks;
    marks.marks.resize(1);
    marks.marks[0].run = 1;
    marks.marks[0].failures = 1;
    progress.steps = {marks};
    topics.runsTopic[progressKey("j")] = {0, progressKey("j"), encode(progress)};
    topics.takeOver();
    topics.run(10s);
    cr_assert_eq(topics.starts, Tasks, "a task was started again after its last allowed failure");
    cr_assert(topics.loadedTable().find("j")->phase() == Wire::JobPhase::Failed);
}

// A job that was cancelled during a takeover must be removed some time, like any other job that has ended.
Test(runsTopic, theEndOfAJobThatWasCancelledBeforeATakeoverIsStored)
{
    TwoTopics topics;
    topics.run(1s);
    topics.endRuns(Tasks);
    topics.jobs.push_back({static_cast<std::int64_t>(topics.jobs.size()), cancellationKey("j"), "1"});
    topics.runsTopic.clear();
    topics.takeOver();
    topics.run(2s);
    const JobTable table = topics.loadedTable();
    const TopicJob *job = table.find("j");
    cr_assert(job->progress.phase == Wire::JobPhase::Cancelled);
    cr_assert_gt(job->progress.endedAtMs, 0);
}

Test(runsTopic, runsOfEndedOrRemovedJobsAreRemovedByTheNextOwner)
{
    TwoTopics topics;
    topics.run(1s);
    topics.endRuns(Tasks);
    topics.run(2s);
    Wire::JobProgress progress;
    progress.phase = Wire::JobPhase::Running;
    JobTable table = topics.loadedTable();
    table.applyRuns({0, progressKey("j"), encode(progress)});
    table.applyRuns({0, progressKey("removed"), encode(progress)});
    topics.dispatcher.beginTerm(2, table, {topics.now, topics.now}, true);
    topics.appends.clear();
    topics.run(1s);
    std::size_t removals = 0;
    for (const AppendRecords &append : topics.appends) {
        removals += static_cast<std::size_t>(std::ranges::count_if(append.runs, [](const KeyedRecord &record) { return !record.value; }));
    }
    cr_assert_eq(removals, 2);
}

Test(runsTopic, runsThatAnEarlierVersionHasWrittenAreMovedBeforeTheirRecordIsReplaced)
{
    TwoTopics topics;
    topics.run(1s);
    JobTable table;
    table.apply(topics.jobs.front());
    table.apply({1, progressKey("j"), topics.runsTopic.at(progressKey("j")).value});
    topics.runsTopic.clear();
    topics.appends.clear();
    topics.dispatcher.beginTerm(2, table, {topics.now, topics.now}, true);
    topics.registerWorker();
    topics.run(1s);
    topics.endRuns(Tasks);
    topics.run(2s);
    const auto phase = std::ranges::find_if(topics.appends, [](const AppendRecords &append) {
        return std::ranges::any_of(append.records, [](const KeyedRecord &record) { return record.key == progressKey("j"); });
    });
    const auto runs = std::ranges::find_if(topics.appends, [](const AppendRecords &append) { return !append.runs.empty(); });
    cr_assert(phase != topics.appends.end());
    cr_assert(runs < phase, "the runs would be lost with the owner");
    cr_assert_eq(topics.starts, Tasks, "a task was started again");
}
