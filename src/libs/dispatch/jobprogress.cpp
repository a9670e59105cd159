#include "jobprogress.h"

#include "jobexecution.h"

#include <jobtopic/jobtable.h>

#include <algorithm>
#include <set>

namespace Hyssop {

namespace Internal {

constexpr std::size_t BitsPerByte = 8;
constexpr std::size_t MaximumReleasedOccurrences = 5000;
constexpr std::int64_t MaximumReleasedTasks = 100'000; // checked before the last occurrence is added

static bool hasBit(const std::string &mask, std::size_t index)
{
    const std::size_t byte = index / BitsPerByte;
    return byte < mask.size() && (static_cast<unsigned char>(mask[byte]) >> (index % BitsPerByte) & 1U) != 0;
}

static std::string doneMask(const StepExecution &step)
{
    std::string mask((step.tasks.size() + BitsPerByte - 1) / BitsPerByte, '\0');
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].phase == TaskPhase::Done) {
            mask[index / BitsPerByte] = static_cast<char>(static_cast<unsigned char>(mask[index / BitsPerByte]) | 1U << (index % BitsPerByte));
        }
    }
    return mask;
}

static void restoreTask(StepExecution &step, TaskExecution &task, const Wire::TaskMark &mark)
{
    step.setRun(task, mark.run);
    step.setFailures(task, mark.failures);
    task.checkpoint = mark.checkpoint;
    task.worker = mark.worker;
    if (!mark.worker.empty() && task.phase != TaskPhase::Done) {
        step.setPhase(task, TaskPhase::Starting);
    }
}

static void restoreStep(StepExecution &step, const Wire::StepMarks &marks)
{
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        if (hasBit(marks.doneMask, index) && step.tasks[index].phase != TaskPhase::Done) {
            step.setPhase(step.tasks[index], TaskPhase::Done);
        }
    }
    for (const Wire::TaskMark &mark : marks.marks) {
        if (mark.index >= 0 && mark.index < static_cast<int>(step.tasks.size())) {
            restoreTask(step, step.tasks[static_cast<std::size_t>(mark.index)], mark);
        }
    }
}

static void restoreOccurrence(JobExecution &job, const Wire::StepMarks &marks)
{
    const bool known = marks.step >= 0 && marks.step < static_cast<int>(job.submission.steps.size());
    if (!known || marks.occurrence < job.finishedOccurrences || marks.occurrence >= job.occurrenceCount()) {
        return;
    }
    if (!job.occurrences.contains(marks.occurrence)) {
        if (!canAddOccurrence(job)) {
            return;
        }
        addOccurrence(job, marks.occurrence);
    }
    restoreStep(job.occurrences[marks.occurrence][static_cast<std::size_t>(marks.step)], marks);
}

static bool hasMark(const TaskExecution &task)
{
    return task.phase != TaskPhase::Done && (task.run > 0 || task.failures > 0);
}

static Wire::StepMarks marksOf(const StepExecution &step, int occurrence, int index)
{
    Wire::StepMarks marks;
    marks.occurrence = occurrence;
    marks.step = index;
    marks.doneMask = doneMask(step);
    for (std::size_t position = 0; position < step.tasks.size(); ++position) {
        const TaskExecution &task = step.tasks[position];
        if (!hasMark(task)) {
            continue;
        }
        Wire::TaskMark mark;
        mark.index = static_cast<int>(position);
        mark.run = task.run;
        mark.failures = task.failures;
        mark.checkpoint = task.checkpoint;
        mark.worker = task.isOpen() ? task.worker : std::string();
        marks.marks.push_back(std::move(mark));
    }
    return marks;
}

static bool hasProgress(const StepExecution &step)
{
    return step.done > 0 || std::ranges::any_of(step.tasks, hasMark);
}

static Wire::JobPhase::type phaseOf(const JobExecution &job)
{
    if (job.completed) {
        return Wire::JobPhase::Completed;
    }
    if (job.failed) {
        return Wire::JobPhase::Failed;
    }
    if (job.cancelled) {
        return Wire::JobPhase::Cancelled;
    }
    return job.hasStarted ? Wire::JobPhase::Running : Wire::JobPhase::Pending;
}

} // namespace Internal

bool canAddOccurrence(const JobExecution &job)
{
    std::int64_t tasks = 0;
    for (const Wire::TaskStep &step : job.submission.steps) {
        tasks += step.taskCount;
    }
    const auto released = static_cast<std::int64_t>(job.occurrences.size());
    return job.occurrences.size() < Internal::MaximumReleasedOccurrences && released * tasks < Internal::MaximumReleasedTasks;
}

void addOccurrence(JobExecution &job, int occurrence)
{
    std::vector<StepExecution> steps(job.submission.steps.size());
    for (std::size_t index = 0; index < steps.size(); ++index) {
        steps[index].addTasks(static_cast<std::size_t>(std::max(job.submission.steps[index].taskCount, 0)));
    }
    job.occurrences[occurrence] = std::move(steps);
}

JobExecution restoreJob(const std::string &jobId, const TopicJob &entry)
{
    JobExecution job;
    job.id = jobId;
    job.submission = *entry.submission;
    job.acceptedAt = WallTime(std::chrono::milliseconds(job.submission.acceptedAtMs));
    // The two topics are appended to independently, so an earlier owner may have stored the end of the job in either. It is final.
    const Wire::JobProgress &progress = entry.runs ? *entry.runs : entry.progress;
    const auto hasPhase = [&](Wire::JobPhase::type phase) { return entry.progress.phase == phase || progress.phase == phase; };
    job.finishedOccurrences = std::max(entry.progress.finishedOccurrences, progress.finishedOccurrences);
    job.completed = hasPhase(Wire::JobPhase::Completed);
    job.failed = !job.completed && hasPhase(Wire::JobPhase::Failed);
    job.cancelled = !job.completed && !job.failed && (entry.cancelled || hasPhase(Wire::JobPhase::Cancelled));
    job.hasStarted = entry.progress.phase != Wire::JobPhase::Pending || progress.phase != Wire::JobPhase::Pending;
    job.endedAtMs = std::max(entry.progress.endedAtMs, progress.endedAtMs);
    job.storedPhase = phaseOf(entry.progress);
    job.hasStoredRuns = entry.runs.has_value();
    job.hasRunsInJobTopic = !entry.runs && !entry.progress.steps.empty();
    for (const Wire::StepMarks &marks : progress.steps) {
        Internal::restoreOccurrence(job, marks);
    }
    return job;
}

bool hasOpenRuns(const JobExecution &job)
{
    const auto isOpen = [](const StepExecution &step) { return std::ranges::any_of(step.tasks, &TaskExecution::isOpen); };
    return std::ranges::any_of(job.occurrences, [&](const auto &item) { return std::ranges::any_of(item.second, isOpen); });
}

Wire::StepJob compactedSubmission(const JobExecution &job)
{
    Wire::StepJob submission;
    submission.queue = job.submission.queue;
    submission.acceptedAtMs = job.submission.acceptedAtMs;
    submission.repeatCount = job.submission.repeatCount;
    return submission;
}

Wire::JobProgress phaseOf(const Wire::JobProgress &progress)
{
    Wire::JobProgress phase;
    phase.phase = progress.phase;
    phase.endedAtMs = progress.endedAtMs;
    phase.finishedOccurrences = progress.finishedOccurrences;
    return phase;
}

Wire::JobProgress progressOf(const JobExecution &job)
{
    Wire::JobProgress progress;
    progress.phase = Internal::phaseOf(job);
    progress.endedAtMs = job.endedAtMs;
    progress.finishedOccurrences = job.finishedOccurrences;
    if (job.isEnded() && !hasOpenRuns(job)) {
        return progress;
    }
    for (const auto &[occurrence, steps] : job.occurrences) {
        for (std::size_t index = 0; index < steps.size(); ++index) {
            if (Internal::hasProgress(steps[index])) {
                progress.steps.push_back(Internal::marksOf(steps[index], occurrence, static_cast<int>(index)));
            }
        }
    }
    return progress;
}

} // namespace Hyssop
