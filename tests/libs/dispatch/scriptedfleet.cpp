#include "scriptedfleet.h"

#include <dispatch/claimtimes.h>
#include <jobtopic/jobkeys.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <algorithm>

namespace Hyssop::Testing {

namespace Internal {

constexpr std::chrono::milliseconds Tick{20};
constexpr std::chrono::milliseconds CommandTimeout{800};
constexpr std::int64_t WorkerMemoryBytes = 256'000'000'000;
// A worker lists at most this many ends, the oldest ones.
constexpr std::size_t MaximumListedEnds = 500;

} // namespace Internal

ScriptedFleet::ScriptedFleet(int workers)
{
    QueueInfo queue;
    queue.name = "batch";
    queue.workerPool = "hall";
    queue.deadlineFactor = 2;
    queue.maximumFailures = 3;
    m_config.queues[queue.name] = queue;
    for (int number = 0; number < workers; ++number) {
        WorkerInfo &info = m_workers.emplace_back().info;
        info.id = "w" + std::to_string(number);
        info.workerPool = "hall";
        info.address = "127.0.0.1:1";
        info.capacity.milliCores = WorkerMilliCores;
        info.capacity.memoryBytes = Internal::WorkerMemoryBytes;
    }
    beginTerm();
}

void ScriptedFleet::beginTerm()
{
    m_timeouts.clear();
    m_dispatcher = std::make_unique<Dispatcher>(DispatchLimits());
    m_dispatcher->applyConfiguration(m_config, {});
    for (const auto &[key, record] : m_runs) {
        m_table.applyRuns(record);
    }
    m_dispatcher->beginTerm(++m_term, m_table, {m_now, m_now}, true);
    m_table.clearRuns();
    for (Worker &worker : m_workers) {
        worker.polls.clear();
        m_dispatcher->updateWorker(worker.info);
    }
}

void ScriptedFleet::submit(const std::string &jobId, const Wire::TaskStep &step, Duration clockLead)
{
    Wire::StepJob job;
    job.queue = "batch";
    job.acceptedAtMs = sinceEpoch(wall()).count() + std::chrono::duration_cast<std::chrono::milliseconds>(clockLead).count();
    job.steps = {step};
    m_steps[jobId] = step;
    m_table.apply({m_offset++, submissionKey(jobId), encode(job)});
    m_dispatcher->jobChanged(jobId, m_table.find(jobId), m_now, wall());
}

void ScriptedFleet::removeQueue()
{
    m_config.queues.clear();
    m_dispatcher->applyConfiguration(m_config, {});
}

void ScriptedFleet::pauseRun(const std::string &jobId)
{
    for (Worker &worker : m_workers) {
        if (const auto run = worker.runs.find({jobId, 0, 0, 0}); run != worker.runs.end()) {
            run->second.speedPercent = 0;
        }
    }
}

void ScriptedFleet::takeOver()
{
    beginTerm();
}

void ScriptedFleet::addEnd(Worker &worker, const TaskId &task, int run, RunEndReason endReason)
{
    worker.ends.push_back({++worker.endCount, task, run, endReason, ""});
}

void ScriptedFleet::addUnknownEnds(Worker &worker, std::size_t count)
{
    for (std::size_t added = 0; added < count; ++added) {
        addEnd(worker, {"unknown", 0, 0, static_cast<int>(worker.endCount)}, 1, RunEndReason::Stopped);
    }
}

void ScriptedFleet::endRun(const std::string &jobId, RunEndReason endReason)
{
    const TaskId id{jobId, 0, 0, 0};
    for (Worker &worker : m_workers) {
        if (const auto run = worker.runs.find(id); run != worker.runs.end()) {
            addEnd(worker, id, run->second.run, endReason);
            worker.runs.erase(run);
        }
    }
}

void ScriptedFleet::advance(Duration time)
{
    for (const TimePoint until = m_now + time; m_now < until;) {
        tick();
    }
}

Duration ScriptedFleet::advanceUntil(const std::function<bool()> &condition, Duration maximum)
{
    const TimePoint begin = m_now;
    while (!condition() && m_now - begin < maximum) {
        tick();
    }
    return m_now - begin;
}

const ScriptedFleet::Run *ScriptedFleet::runOf(const std::string &jobId) const
{
    for (const Worker &worker : m_workers) {
        const auto run = worker.runs.find({jobId, 0, 0, 0});
        if (run != worker.runs.end()) {
            return &run->second;
        }
    }
    return nullptr;
}

void ScriptedFleet::tick()
{
    m_now += Internal::Tick;
    while (!m_timeouts.empty() && m_timeouts.begin()->first <= m_now) {
        m_timeouts.extract(m_timeouts.begin()).mapped()();
    }
    m_dispatcher->confirmRead(m_now);
    m_dispatcher->confirmWorkersRead(m_now);
    for (DispatchAction &action : m_dispatcher->advance(m_now, wall())) {
        perform(action);
    }
    for (Worker &worker : m_workers) {
        for (auto &[id, run] : worker.runs) {
            run.worked += std::chrono::duration_cast<Duration>(Internal::Tick) * run.speedPercent / 100;
        }
        std::erase_if(worker.polls, [&](const auto &poll) {
            const bool isDue = m_now - poll.second >= poll.first.wait;
            if (isDue) {
                answerPoll(worker, poll.first, poll.second);
            }
            return isDue;
        });
    }
}

void ScriptedFleet::perform(DispatchAction &action)
{
    const CommandExecuted executed{std::chrono::duration_cast<WorkerTime>(m_now.time_since_epoch())};
    std::visit(Overloaded{
                   [&](const AppendRecords &append) {
                       for (const KeyedRecord &record : append.records) {
                           m_table.apply({m_offset++, record.key, record.value});
                       }
                       for (const KeyedRecord &record : append.runs) {
                           m_runs[record.key] = record;
                       }
                       m_dispatcher->recordsStored(m_now);
                   },
                   [&](const StartCommand &command) {
                       Worker &worker = workerOf(command.worker.id);
                       if (worker.ignoresOrders) {
                           m_timeouts.emplace(m_now + Internal::CommandTimeout,
                                              [this, command] { m_dispatcher->startAnswered(command, CommandUndetermined{"timeout"}, m_now); });
                           return;
                       }
                       worker.runs[command.task] = Run{command.run, 100, Duration(0)};
                       if (worker.unansweredStarts > 0) {
                           --worker.unansweredStarts;
                           m_timeouts.emplace(m_now + Internal::CommandTimeout,
                                              [this, command] { m_dispatcher->startAnswered(command, CommandUndetermined{"timeout"}, m_now); });
                           return;
                       }
                       m_dispatcher->startAnswered(command, executed, m_now);
                   },
                   [&](const StopCommand &command) {
                       stops.push_back(command);
                       Worker &worker = workerOf(command.worker.id);
                       if (worker.ignoresOrders) {
                           m_timeouts.emplace(m_now + Internal::CommandTimeout,
                                              [this, command] { m_dispatcher->stopAnswered(command, CommandUndetermined{"timeout"}, m_now); });
                           return;
                       }
                       worker.runs.erase(command.task);
                       m_dispatcher->stopAnswered(command, executed, m_now);
                   },
                   [&](const ThrottleCommand &command) {
                       Worker &worker = workerOf(command.worker.id);
                       if (const auto run = worker.runs.find(command.task); run != worker.runs.end()) {
                           run->second.speedPercent = command.speedPercent;
                       }
                       m_dispatcher->throttleAnswered(command, executed, m_now);
                   },
                   [&](PollCommand &command) {
                       Worker &worker = workerOf(command.worker.id);
                       if (worker.losesPoll && worker.losesPoll()) {
                           losePoll(command, m_now);
                       } else {
                           worker.polls.emplace_back(std::move(command), m_now);
                       }
                   },
                   [](const auto &) {},
               },
               action);
}

void ScriptedFleet::losePoll(const PollCommand &poll, TimePoint sentAt)
{
    m_timeouts.emplace(m_now + poll.wait + poll.responseTimeout,
                       [this, poll, sentAt] { m_dispatcher->pollAnswered(poll, CommandUndetermined{"timeout"}, sentAt, m_now); });
}

void ScriptedFleet::answerPoll(Worker &worker, const PollCommand &poll, TimePoint sentAt)
{
    std::erase_if(worker.ends, [&](const ReportedRunEnd &end) { return end.sequence <= poll.acknowledgedSequence; });
    WorkerReport report;
    report.clock = std::chrono::duration_cast<WorkerTime>(m_now.time_since_epoch());
    report.processStartedAt = std::chrono::milliseconds(1);
    for (const auto &[id, run] : worker.runs) {
        const Wire::TaskStep &step = m_steps.at(id.job);
        ReportedRun reported{id, run.run, "", 100, worker.tailMs};
        if (!step.longRunning) {
            const auto worked = std::chrono::duration_cast<std::chrono::milliseconds>(run.worked).count();
            reported.progressPercent = static_cast<int>(std::min<std::int64_t>(100 * worked / std::max<std::int64_t>(step.estimateMs, 1), 99));
            reported.load = static_cast<double>(step.milliCores) * run.speedPercent / 100;
        }
        report.runs.push_back(reported);
    }
    const std::size_t listedEnds = std::min(worker.ends.size(), Internal::MaximumListedEnds);
    report.ends.assign(worker.ends.begin(), worker.ends.begin() + static_cast<std::ptrdiff_t>(listedEnds));
    m_dispatcher->pollAnswered(poll, report, sentAt, m_now);
}

ScriptedFleet::Worker &ScriptedFleet::workerOf(const std::string &id)
{
    return *std::ranges::find_if(m_workers, [&](const Worker &worker) { return worker.info.id == id; });
}

WallTime ScriptedFleet::wall() const
{
    return WallTime(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
}

} // namespace Hyssop::Testing
