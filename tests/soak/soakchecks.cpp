#include "soakchecks.h"

#include <algorithm>
#include <sstream>

namespace Hyssop::Soak {

namespace {

void checkRunsOfTask(const std::vector<SoakRun> &runs, std::vector<std::string> &broken)
{
    for (std::size_t index = 1; index < runs.size(); ++index) {
        const SoakRun &run = runs[index];
        for (std::size_t earlier = 0; earlier < index; ++earlier) {
            const SoakRun &before = runs[earlier];
            if (before.endMs == 0 || before.endMs > run.beginMs) {
                broken.push_back("two runs of " + run.task + " at the same time: " + std::to_string(before.run) + " and " + std::to_string(run.run));
            } else if (before.how == "done" && before.noted) {
                broken.push_back(run.task + " was started again as " + std::to_string(run.run) + " after it was done as " + std::to_string(before.run));
            }
        }
    }
}

void checkJob(const std::string &jobId, const SoakJob &job, bool ran, std::vector<std::string> &broken)
{
    if (ran && !job.accepted && !job.maybeAccepted) {
        broken.push_back("a job that every node refused ran: " + jobId);
    }
    if (!job.accepted) {
        return;
    }
    if (job.state != "completed" && !(job.state == "cancelled" && job.maybeCancelled)) {
        broken.push_back("an accepted job ends as '" + job.state + "': " + jobId);
    }
    if (job.state == "completed" && !ran) {
        broken.push_back("a job is shown as completed without having run: " + jobId);
    }
}

} // namespace

std::vector<SoakRun> parseRuns(const std::string &lines)
{
    std::vector<SoakRun> runs;
    std::istringstream stream(lines);
    SoakRun run;
    while (stream >> run.task >> run.run >> run.beginMs >> run.endMs >> run.how >> run.noted) {
        runs.push_back(run);
    }
    return runs;
}

std::vector<std::string> brokenPromises(std::vector<SoakRun> runs, const std::map<std::string, SoakJob> &jobs)
{
    std::vector<std::string> broken;
    std::ranges::sort(runs, {}, &SoakRun::beginMs);
    std::map<std::string, std::vector<SoakRun>> byTask;
    std::map<std::string, bool> ran;
    for (const SoakRun &run : runs) {
        byTask[run.task].push_back(run);
        ran[run.task.substr(0, run.task.find('.'))] = true;
    }
    for (const auto &[task, runsOfTask] : byTask) {
        checkRunsOfTask(runsOfTask, broken);
    }
    for (const auto &[jobId, job] : jobs) {
        checkJob(jobId, job, ran.contains(jobId), broken);
    }
    return broken;
}

} // namespace Hyssop::Soak
