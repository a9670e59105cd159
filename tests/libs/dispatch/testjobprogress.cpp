#include <dispatch/jobexecution.h>
#include <dispatch/jobprogress.h>
#include <jobtopic/jobtable.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

using namespace Hyssop;

namespace {

Wire::StepJob twoSteps()
{
    Wire::StepJob job;
    job.queue = "batch";
    job.steps.resize(2);
    job.steps[0].taskCount = 10;
    job.steps[1].taskCount = 3;
    job.steps[1].after.push_back(0);
    return job;
}

/// Stores a job and restores it as after a failover.
JobExecution storeAndRestore(const JobExecution &job)
{
    TopicJob entry;
    entry.submission = job.submission;
    auto decoded = capture([&] { return decodeJobProgress(encode(progressOf(job))); });
    entry.progress = *valueOf(decoded);
    return restoreJob(job.id, entry);
}

} // namespace

Test(jobProgress, theStateOfRunsSurvivesAFailover)
{
    JobExecution job;
    job.id = "a";
    job.submission = twoSteps();
    job.hasStarted = true;
    addOccurrence(job, 0);
    std::vector<TaskExecution> &tasks = job.occurrences[0][0].tasks;
    tasks[9].phase = TaskPhase::Done;
    job.occurrences[0][0].done = 1;
    tasks[1].phase = TaskPhase::Running;
    tasks[1].run = 4;
    tasks[1].worker = "w";
    tasks[1].failures = 2;
    tasks[1].checkpoint = "c";
    tasks[2].run = 3;
    tasks[2].failures = 1;

    const JobExecution restored = storeAndRestore(job);
    const StepExecution &step = restored.occurrences.at(0)[0];
    cr_assert_eq(step.done, 1);
    cr_assert_eq(step.tasks[9].phase, TaskPhase::Done);
    cr_assert_eq(step.tasks[1].phase, TaskPhase::Starting);
    cr_assert_eq(step.tasks[1].run, 4);
    cr_assert_eq(step.tasks[1].worker, "w");
    cr_assert_eq(step.tasks[1].failures, 2);
    cr_assert_eq(step.tasks[1].checkpoint, "c");
    cr_assert_eq(step.tasks[2].phase, TaskPhase::Pending);
    cr_assert_eq(step.tasks[2].run, 3);
    cr_assert(restored.hasStarted);
}

Test(jobProgress, aJobWithoutRunsStoresNoSteps)
{
    JobExecution job;
    job.id = "a";
    job.submission = twoSteps();
    addOccurrence(job, 0);
    cr_assert(progressOf(job).steps.empty());
    cr_assert_eq(progressOf(job).phase, Wire::JobPhase::Pending);
}

Test(jobProgress, marksOfUnknownTasksAreIgnored)
{
    TopicJob entry;
    entry.submission = twoSteps();
    Wire::StepMarks marks;
    marks.step = 7;
    entry.progress.steps.push_back(marks);
    marks.step = 0;
    Wire::TaskMark mark;
    mark.index = 99;
    marks.marks.push_back(mark);
    entry.progress.steps.push_back(marks);
    const JobExecution job = restoreJob("a", entry);
    cr_assert_eq(job.occurrences.at(0)[0].tasks.size(), 10);
}

Test(jobProgress, anEndedJobIsCompactedAfterItsLastRun)
{
    JobExecution job;
    job.id = "a";
    job.submission = twoSteps();
    job.submission.payload = "payload";
    job.submission.acceptedAtMs = 17;
    job.cancelled = true;
    addOccurrence(job, 0);
    TaskExecution &task = job.occurrences[0][0].tasks[3];
    task.run = 1;
    task.phase = TaskPhase::Stopping;
    task.worker = "w";
    cr_assert(hasOpenRuns(job));
    cr_assert_eq(progressOf(job).steps.size(), 1, "a new owner has to stop the run as well");
    task.phase = TaskPhase::Pending;
    cr_assert(!hasOpenRuns(job));
    cr_assert(progressOf(job).steps.empty());
    cr_assert_eq(progressOf(job).phase, Wire::JobPhase::Cancelled);
    const Wire::StepJob rest = compactedSubmission(job);
    cr_assert_eq(rest.queue, "batch");
    cr_assert_eq(rest.acceptedAtMs, 17);
    cr_assert(rest.payload.empty());
    cr_assert(rest.steps.empty());
    TopicJob entry;
    entry.submission = rest;
    entry.progress = progressOf(job);
    cr_assert(restoreJob("a", entry).isEnded());
}
