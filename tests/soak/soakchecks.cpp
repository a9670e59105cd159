#include "soakchecks.h"

#include <algorithm>
#include <sstream>

namespace Hyssop::Soak {

namespace {

void checkRunsOfTask(const std::vector<SoakRun> &runs, std::vector<std::string> &violations)
{
    for (std::size_t index = 1; index < runs.size(); ++index) {
        const SoakRun &run = runs[index];
        for (std::size_t earlier = 0; earlier < index; ++earlier) {
            const SoakRun &previous = runs[earlier];
            if (previous.endMs == 0 || previous.endMs > run.startMs) {
                violations.push_back("two runs of " + run.task + " at the same time: " + std::to_string(previous.run) + " and " + std::to_string(run.run));
            } else if (previous.endReason == "done" && previous.endAcknowledged) {
                violations.push_back(run.task + " was started again as run " + std::to_string(run.run) + " after it had completed as run "
                                     + std::to_string(previous.run));
            }
        }
    }
}

void checkJob(const std::string &jobId, const SoakJob &job, bool ran, std::vector<std::string> &violations)
{
    if (ran && !job.accepted && !job.maybeAccepted) {
        violations.push_back("a job that every node rejected has run: " + jobId);
    }
    if (!job.accepted) {
        return;
    }
    if (job.state != "completed" && !(job.state == "cancelled" && job.maybeCancelled)) {
        violations.push_back("an accepted job ended in state '" + job.state + "': " + jobId);
    }
    if (job.state == "completed" && !ran) {
        violations.push_back("a job is reported as completed but never ran: " + jobId);
    }
}

} // namespace

std::vector<SoakRun> parseRuns(const std::string &lines)
{
    std::vector<SoakRun> runs;
    std::istringstream stream(lines);
    SoakRun run;
    while (stream >> run.task >> run.run >> run.startMs >> run.endMs >> run.endReason >> run.endAcknowledged) {
        runs.push_back(run);
    }
    return runs;
}

std::vector<std::string> findViolations(std::vector<SoakRun> runs, const std::map<std::string, SoakJob> &jobs)
{
    std::vector<std::string> violations;
    std::ranges::sort(runs, {}, &SoakRun::startMs);
    std::map<std::string, std::vector<SoakRun>> byTask;
    std::map<std::string, bool> ran;
    for (const SoakRun &run : runs) {
        byTask[run.task].push_back(run);
        ran[run.task.substr(0, run.task.find('.'))] = true;
    }
    for (const auto &[task, runsOfTask] : byTask) {
        checkRunsOfTask(runsOfTask, violations);
    }
    for (const auto &[jobId, job] : jobs) {
        checkJob(jobId, job, ran.contains(jobId), violations);
    }
    return violations;
}

} // namespace Hyssop::Soak
