#include "singleworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <dispatch/jobexecution.h>
#include <dispatch/jobprogress.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr std::size_t MostReleasedTasks = 200'000; // of one job

std::size_t pendingTasks(const Wire::StepJob &job)
{
    Dispatcher dispatcher{DispatchLimits()};
    Testing::beginWithSingleWorker(dispatcher, job, 64000, {Begin, Begin});
    dispatcher.confirmRead(Begin);
    dispatcher.confirmWorkersRead(Begin);
    dispatcher.advance(Begin, WallTime(1'000'000h));
    return dispatcher.summary(Begin).pendingReserved;
}

Wire::StepJob repeatedJob(int tasks, int repeatCount)
{
    Wire::StepJob job;
    job.steps.resize(1);
    job.steps[0].taskCount = tasks;
    job.steps[0].milliCores = 1000;
    job.repeatCount = repeatCount;
    return job;
}

/// Serves and counts as much as the decoders let through.
class LargestValues
{
public:
    LargestValues()
    {
        ClusterConfig config;
        QueueInfo &queue = config.queues["batch"];
        queue.name = "batch";
        queue.workerPool = "hall";
        queue.deadlineFactor = 100;
        queue.deadlineMargin = LongestDuration;
        m_dispatcher.applyConfiguration(config, {});
        for (int number = 0; number < JobCount; ++number) {
            const std::string id = std::to_string(number);
            m_table.apply({number, submissionKey(id), encode(largestJob(number))});
        }
        m_dispatcher.beginTerm(LargestTerm, m_table, {now, now}, true);
        for (int number = 0; number < WorkerCount; ++number) {
            WorkerInfo worker;
            worker.id = "w" + std::to_string(number);
            worker.workerPool = "hall";
            worker.address = "127.0.0.1:1";
            worker.capacity = {LargestAmount, LargestAmount * BytesPerMegabyte, 1'000'000, 0};
            worker.draining = number == 0;
            worker.drainRemaining = LongestDuration;
            m_dispatcher.updateWorker(worker);
        }
    }

    std::size_t malformedRecords() const { return m_table.malformedRecords(); }

    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            now += 20ms;
            m_dispatcher.confirmRead(now);
            m_dispatcher.confirmWorkersRead(now);
            for (const DispatchAction &action : m_dispatcher.advance(now, WallTime(std::chrono::milliseconds(LatestTimeMs)))) {
                respond(action);
            }
            m_dispatcher.summary(now);
        }
    }

    TimePoint now = Begin;
    std::size_t starts = 0;

private:
    static constexpr std::int64_t LargestAmount = 1'000'000'000;
    static constexpr std::int64_t LatestTimeMs = 4'102'444'800'000;
    static constexpr std::int64_t LargestTerm = 1'000'000'000'000;
    static constexpr std::chrono::milliseconds LongestDuration{8'640'000'000};
    static constexpr std::chrono::milliseconds LatestClock{3'155'760'000'000};
    static constexpr int JobCount = 30;
    static constexpr int WorkerCount = 490;

    static Wire::StepJob largestJob(int number)
    {
        Wire::StepJob job = repeatedJob(100, number % 3 == 0 ? 10 : 0);
        job.queue = "batch";
        job.startAtMs = LatestTimeMs;
        job.acceptedAtMs = number % 2 == 0 ? LatestTimeMs : 0;
        Wire::TaskStep &step = job.steps[0];
        step.milliCores = LargestAmount;
        step.memoryMb = LargestAmount / 100;
        step.estimateMs = LongestDuration.count();
        step.tailTargetMs = number % 4 == 1 ? LongestDuration.count() : 0;
        step.longRunning = number % 4 == 1;
        step.fillsIdle = number % 4 == 2;
        step.image = std::to_string(number);
        return job;
    }

    void respond(const DispatchAction &action)
    {
        if (const auto *start = std::get_if<StartCommand>(&action)) {
            ++starts;
            m_dispatcher.startAnswered(*start, CommandExecuted{LatestClock}, now);
            m_runs[start->worker.id].push_back({start->task, start->run, "c", 0, 0});
        } else if (const auto *poll = std::get_if<PollCommand>(&action)) {
            WorkerReport report;
            report.clock = LatestClock;
            report.runs = m_runs[poll->worker.id];
            for (ReportedRun &run : report.runs) {
                run.progressPercent = ++m_reports % 2 == 0 ? 100 : 0;
                run.load = m_reports % 3 == 0 ? 1e9 : 1;
            }
            report.ends.push_back({1'000'000'000'000, {"none", -1, -1, -1}, 1, RunEndReason::Failed, ""});
            m_dispatcher.pollAnswered(*poll, report, now, now);
        } else if (std::holds_alternative<AppendRecords>(action)) {
            m_dispatcher.recordsStored(now);
        }
    }

    Dispatcher m_dispatcher{DispatchLimits()};
    JobTable m_table;
    std::map<std::string, std::vector<ReportedRun>> m_runs;
    int m_reports = 0;
};

} // namespace

Test(oddJobs, theLargestValuesThatAreDecodedDoNotOverflow)
{
    LargestValues values;
    cr_assert_eq(values.malformedRecords(), 0);
    values.run(100);
    cr_assert_gt(values.starts, 0);
}

Test(oddJobs, aJobWithManyDueOccurrencesReleasesABoundedNumberOfTasks)
{
    cr_expect_leq(pendingTasks(repeatedJob(1, 1'000'000)), MostReleasedTasks);
    cr_expect_leq(pendingTasks(repeatedJob(60'000, 20)), MostReleasedTasks);
    cr_expect_eq(pendingTasks(repeatedJob(10, 20)), 200);
    cr_expect_eq(pendingTasks(repeatedJob(100'000, 2)), 100'000, "one occurrence is released in any case");
}

Test(oddJobs, aStepThatProgressNamesTwiceIsCountedOnce)
{
    TopicJob entry;
    entry.submission = repeatedJob(3, 0);
    Wire::StepMarks marks;
    marks.doneMask = "\x03";
    entry.progress.steps = {marks, marks};
    JobExecution job = restoreJob("a", entry);
    cr_assert_eq(job.occurrences.at(0)[0].done, 2);
    cr_assert_not(job.occurrences.at(0)[0].isDone());
}

Test(oddJobs, progressOfOccurrencesThatAJobDoesNotHaveIsIgnored)
{
    TopicJob entry;
    entry.submission = repeatedJob(100'000, 3);
    for (int occurrence = 0; occurrence < 50; ++occurrence) {
        Wire::StepMarks marks;
        marks.occurrence = occurrence * 1'000'000;
        marks.doneMask = "\x01";
        entry.progress.steps.push_back(marks);
    }
    cr_assert_eq(restoreJob("a", entry).occurrences.size(), 1);
}
