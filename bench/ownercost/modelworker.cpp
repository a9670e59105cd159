#include "modelworker.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace Hyssop::Bench {

constexpr double BaseTailMs = 20;
constexpr double LoadPeriod = 12; // seconds
constexpr double MeanLoad = 0.5;
constexpr double LoadAmplitude = 0.25;
constexpr double BestEffortMilliCores = 900; // in use by a task that is not a serving task

ModelWorker::ModelWorker(WorkerInfo info, TimePoint startedAt)
    : m_info(std::move(info))
    , m_startedAt(startedAt)
{
}

CommandResult ModelWorker::start(const StartCommand &command, std::optional<TimePoint> endsAt, TimePoint now)
{
    advance(now);
    m_runs[command.task] = {command.run, now, endsAt};
    return CommandExecuted{clock(now)};
}

CommandResult ModelWorker::stop(const StopCommand &command, TimePoint now)
{
    advance(now);
    if (m_runs.erase(command.task) > 0) {
        end(command.task, command.run, RunEndReason::Stopped);
    }
    return CommandExecuted{clock(now)};
}

TimePoint ModelWorker::beginPoll(const PollCommand &poll, TimePoint now)
{
    advance(now);
    std::erase_if(m_ends, [&](const ReportedRunEnd &listed) { return listed.sequence <= poll.acknowledgedSequence; });
    if (!m_ends.empty()) {
        return now;
    }
    TimePoint sentAt = now + poll.wait;
    for (const auto &[task, run] : m_runs) {
        sentAt = run.endsAt ? std::min(sentAt, *run.endsAt) : sentAt;
    }
    return sentAt;
}

WorkerReport ModelWorker::report(TimePoint now)
{
    advance(now);
    WorkerReport report;
    report.clock = clock(now);
    report.processStartedAt = std::chrono::milliseconds(1);
    report.ends = m_ends;
    for (const auto &[task, run] : m_runs) {
        report.runs.push_back(reported(task, run, now));
    }
    return report;
}

void ModelWorker::advance(TimePoint now)
{
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        if (run->second.endsAt && *run->second.endsAt <= now) {
            end(run->first, run->second.run, RunEndReason::Completed);
            run = m_runs.erase(run);
        } else {
            ++run;
        }
    }
}

void ModelWorker::end(const TaskId &task, int run, RunEndReason reason)
{
    m_ends.push_back({++m_newestEnd, task, run, reason, ""});
}

WorkerTime ModelWorker::clock(TimePoint now) const
{
    return std::chrono::duration_cast<WorkerTime>(now - m_startedAt);
}

ReportedRun ModelWorker::reported(const TaskId &task, const Run &run, TimePoint now) const
{
    if (run.endsAt) {
        const auto percent = 100 * (now - run.startedAt) / (*run.endsAt - run.startedAt);
        return {task, run.run, "", static_cast<int>(percent), BestEffortMilliCores};
    }
    const double phase = static_cast<double>(task.job.back()); // of the job
    const double angle = std::chrono::duration<double>(now.time_since_epoch()).count() * 2 * std::numbers::pi / LoadPeriod + phase;
    return {task, run.run, "", 100, BaseTailMs / (1 - MeanLoad - LoadAmplitude * std::sin(angle))};
}

} // namespace Hyssop::Bench
