#include "singleworker.h"

#include <dispatch/dispatcher.h>
#include <dispatch/jobexecution.h>
#include <dispatch/jobprogress.h>
#include <jobtopic/jobtable.h>

#include <criterion/criterion.h>

#include <limits>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr std::size_t MostReleasedTasks = 200'000; // of one job

std::size_t pendingTasks(const Wire::StepJob &job)
{
    Dispatcher dispatcher{DispatchLimits()};
    Testing::beginWithSingleWorker(dispatcher, job, 64000, Begin);
    dispatcher.confirmRead(Begin);
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

} // namespace

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
