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
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr int Jobs = 200;
constexpr int TasksPerJob = 50;
constexpr std::size_t WorkerIdLength = 250; // makes the records of the jobs larger than one append of the platform
constexpr std::size_t LargestAppend = 1024 * 1024; // bytes
constexpr std::size_t LargestRecord = 256 * 1024; // bytes; the platform rejects larger ones
constexpr std::size_t LengthBytes = 5; // of a record and its key
constexpr std::size_t CheckpointLength = 16;
constexpr std::size_t JobIdLength = 64;
constexpr auto Tick = 20ms;

std::string jobName(int index)
{
    return "j" + std::to_string(1000 + index);
}

/// A dispatcher that has just taken over many jobs, and a worker that executes every command at once.
class BusyTerm
{
public:
    explicit BusyTerm(int jobs = Jobs, int tasksPerJob = TasksPerJob, std::size_t workerIdLength = WorkerIdLength)
    {
        QueueInfo queue;
        queue.name = "batch";
        queue.workerPool = "hall";
        ClusterConfig config;
        config.queues["batch"] = queue;
        dispatcher.applyConfiguration(config, {});
        Wire::StepJob job;
        job.queue = "batch";
        job.steps.resize(1);
        job.steps[0].taskCount = tasksPerJob;
        job.steps[0].milliCores = 1;
        job.steps[0].estimateMs = 600'000;
        JobTable table;
        for (int index = 0; index < jobs; ++index) {
            table.apply({index, submissionKey(jobName(index)), encode(job)});
        }
        dispatcher.beginTerm(1, table, {now, now}, true);
        WorkerInfo worker;
        worker.id = std::string(workerIdLength, 'w');
        worker.workerPool = "hall";
        worker.address = "127.0.0.1:1";
        worker.capacity.milliCores = 1'000'000;
        dispatcher.updateWorker(worker);
    }

    /// Begins a new term with jobs that ended long ago.
    void beginWithExpiredJobs(int jobs)
    {
        JobTable table;
        Wire::StepJob job;
        job.queue = "batch";
        job.steps.resize(1);
        Wire::JobProgress progress;
        progress.phase = Wire::JobPhase::Completed;
        progress.endedAtMs = 1;
        for (int index = 0; index < jobs; ++index) {
            const std::string id = std::to_string(index) + std::string(JobIdLength, 'j');
            table.apply({index, submissionKey(id), encode(job)});
            table.apply({index, progressKey(id), encode(progress)});
        }
        dispatcher.beginTerm(2, table, {now, now}, true);
    }

    /// Reports all runs as completed in the next reports.
    void endAllRuns()
    {
        for (const ReportedRun &run : std::exchange(m_runs, {})) {
            m_ends.push_back({static_cast<std::int64_t>(m_ends.size()) + 1, run.task, run.run, RunEndReason::Completed, ""});
        }
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

    /// Reports the end of one run of each job in the next reports.
    void endFirstRuns()
    {
        for (int index = 0; index < Jobs; ++index) {
            const auto run = std::ranges::find_if(m_runs, [&](const ReportedRun &entry) { return entry.task.job == jobName(index); });
            m_ends.push_back({index + 1, run->task, run->run, RunEndReason::Completed, ""});
            m_runs.erase(run);
        }
        storedJobs.clear();
    }

    Dispatcher dispatcher{DispatchLimits()};
    TimePoint now{1000s};
    std::size_t starts = 0;
    std::size_t largestAppend = 0;
    std::size_t largestRecord = 0;
    std::set<std::string> storedJobs;
    std::int64_t acknowledged = 0;
    bool isAcknowledgedUnstored = false; // the end of a run was acknowledged before its job was stored

private:
    WorkerTime clock() const { return std::chrono::duration_cast<WorkerTime>(now - TimePoint(900s)); }

    void answer(const PollCommand &poll)
    {
        acknowledged = std::max(acknowledged, poll.acknowledgedSequence);
        for (int index = 0; index < poll.acknowledgedSequence; ++index) {
            isAcknowledgedUnstored = isAcknowledgedUnstored || !storedJobs.contains(jobName(index));
        }
        WorkerReport report;
        report.clock = clock();
        for (ReportedRun &run : m_runs) {
            run.progressPercent = (run.progressPercent + 1) % 99;
        }
        report.runs = m_runs;
        report.ends = m_ends;
        dispatcher.pollAnswered(poll, report, now, now);
    }

    void answer(const StartCommand &start)
    {
        ++starts;
        m_runs.push_back({start.task, start.run, std::string(CheckpointLength, 'c'), 0, 0});
        dispatcher.startAnswered(start, CommandExecuted{clock()}, now);
    }

    void store(const AppendRecords &append)
    {
        addRecords(append.records);
        addRecords(append.runs);
        dispatcher.recordsStored(now);
    }

    void addRecords(const std::vector<KeyedRecord> &records)
    {
        std::size_t size = 0;
        for (const KeyedRecord &record : records) {
            const std::size_t recordSize = LengthBytes + record.key.size() + (record.value ? record.value->size() : 0);
            size += recordSize;
            largestRecord = std::max(largestRecord, recordSize);
            storedJobs.insert(parseJobKey(record.key).jobId);
        }
        largestAppend = std::max(largestAppend, size);
    }

    std::vector<ReportedRun> m_runs;
    std::vector<ReportedRunEnd> m_ends;
};

} // namespace

Test(storedBatches, manyChangesAtOnceAreNotOneAppendThatTheStoreRejects)
{
    BusyTerm term;
    term.run(4s);
    cr_assert_leq(term.largestAppend, LargestAppend, "an append of %zu bytes", term.largestAppend);
    cr_assert_eq(term.starts, Jobs * TasksPerJob, "%zu runs were started", term.starts);
}

Test(storedBatches, anEndOfARunIsNotAcknowledgedBeforeItsJobIsStored)
{
    BusyTerm term;
    term.run(4s);
    term.endFirstRuns();
    term.run(4s);
    cr_assert_leq(term.largestAppend, LargestAppend, "an append of %zu bytes", term.largestAppend);
    cr_assert_not(term.isAcknowledgedUnstored);
    cr_assert_eq(term.acknowledged, Jobs);
}

Test(storedBatches, theRecordOfAJobOfManyTasksIsNotOneThatTheStoreRejects)
{
    constexpr int ManyTasks = 6000;
    BusyTerm term(1, ManyTasks, 32);
    term.run(2s);
    cr_assert_leq(term.largestRecord, LargestRecord, "a record of %zu bytes", term.largestRecord);
    for (int round = 0; round < 5; ++round) {
        term.endAllRuns();
        term.run(1s);
    }
    cr_assert_leq(term.largestRecord, LargestRecord, "a record of %zu bytes", term.largestRecord);
    cr_assert_eq(term.starts, ManyTasks, "%zu runs were started", term.starts);
}

Test(storedBatches, theRemovalOfManyExpiredJobsIsNotOneAppendThatTheStoreRejects)
{
    constexpr int ExpiredJobs = 10'000;
    BusyTerm term(0, 0);
    term.beginWithExpiredJobs(ExpiredJobs);
    term.run(8s);
    cr_assert_leq(term.largestAppend, LargestAppend, "an append of %zu bytes", term.largestAppend);
    cr_assert_eq(term.storedJobs.size(), ExpiredJobs);
}
