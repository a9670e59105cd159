#include "colocatedfleet.h"

#include <dispatch/claimtimes.h>
#include <jobtopic/jobtable.h>
#include <utils/overloaded.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Hyssop::Testing {

namespace Internal {

constexpr std::int64_t WorkerMemoryBytes = 256'000'000'000;
constexpr double MeanLoad = 0.42;
constexpr double LoadSwing = 0.5; // share of the mean load
constexpr double MaximumUtilization = 0.99;
constexpr std::chrono::milliseconds CommandTimeout{800};

static Wire::TaskStep bestEffortStep(int tasks, std::int64_t milliCores, const std::string &image, Duration duration)
{
    Wire::TaskStep step;
    step.fillsIdle = true;
    step.image = image;
    step.milliCores = milliCores;
    step.taskCount = tasks;
    step.estimateMs = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return step;
}

} // namespace Internal

ColocatedFleet::ColocatedFleet(int workers, std::int64_t milliCores)
{
    QueueInfo queue;
    queue.name = "batch";
    queue.workerPool = "hall";
    queue.deadlineFactor = 2;
    queue.maximumFailures = 3;
    ClusterConfig config;
    config.queues[queue.name] = queue;
    m_dispatcher.applyConfiguration(config, {});
    m_dispatcher.beginTerm(1, JobTable(), {m_now, m_now}, true);
    for (int number = 0; number < workers; ++number) {
        const std::size_t index = m_workers.size();
        WorkerInfo &info = m_workers.emplace_back().info;
        info.id = "w" + std::to_string(number);
        info.workerPool = "hall";
        info.address = "127.0.0.1:1";
        info.capacity.milliCores = milliCores;
        info.capacity.memoryBytes = Internal::WorkerMemoryBytes;
        m_indexes[info.id] = index;
        m_dispatcher.updateWorker(info);
    }
}

void ColocatedFleet::submitServing(const std::string &jobId, int tasks, std::int64_t milliCores, Duration peak)
{
    Wire::TaskStep step;
    step.longRunning = true;
    step.tailTargetMs = TailTargetMs;
    step.image = "service";
    step.milliCores = milliCores;
    step.taskCount = tasks;
    step.perWorker = 1;
    Job job;
    job.isServing = true;
    job.peak = peak;
    submit(jobId, step, job);
}

void ColocatedFleet::submitBestEffort(const std::string &jobId, int tasks, std::int64_t milliCores, const std::string &image, double effect, Duration duration)
{
    submitBestEffort(jobId, Internal::bestEffortStep(tasks, milliCores, image, duration), effect, duration);
}

void ColocatedFleet::submitCheckpointable(
    const std::string &jobId, int tasks, std::int64_t milliCores, const std::string &image, double effect, Duration duration)
{
    Wire::TaskStep step = Internal::bestEffortStep(tasks, milliCores, image, duration);
    step.checkpointable = true;
    submitBestEffort(jobId, step, effect, duration);
}

void ColocatedFleet::submitBestEffort(const std::string &jobId, const Wire::TaskStep &step, double effect, Duration duration)
{
    Job job;
    job.effect = effect;
    job.duration = duration;
    submit(jobId, step, job);
}

void ColocatedFleet::changeWorker(int worker, const std::string &rack, bool isDraining)
{
    WorkerInfo &info = m_workers[static_cast<std::size_t>(worker)].info;
    info.rack = rack;
    info.draining = isDraining;
    m_dispatcher.updateWorker(info);
}

void ColocatedFleet::submitCounted(const std::string &jobId, int tasks, std::int64_t milliCores, Duration duration, bool sameRack)
{
    Wire::TaskStep step;
    step.sameRack = sameRack;
    step.milliCores = milliCores;
    step.taskCount = tasks;
    step.estimateMs = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    Job job;
    job.duration = duration;
    submit(jobId, step, job);
}

void ColocatedFleet::delayMessages(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum, std::uint32_t seed)
{
    m_minimumDelay = minimum;
    m_maximumDelay = maximum;
    m_random.seed(seed);
}

void ColocatedFleet::executeRaisesLate(int commands, std::chrono::milliseconds delay)
{
    m_lateRaises = commands;
    m_raiseDelay = delay;
}

void ColocatedFleet::submit(const std::string &jobId, const Wire::TaskStep &step, const Job &job)
{
    TopicJob entry;
    entry.submission.emplace();
    entry.submission->queue = "batch";
    entry.submission->acceptedAtMs = sinceEpoch(wall()).count();
    entry.submission->steps = {step};
    Job &added = m_jobs[jobId] = job;
    added.step = step;
    added.submittedAt = m_now;
    added.lastRunAt = m_now;
    m_lastSubmission = m_now;
    m_dispatcher.jobChanged(jobId, &entry, m_now, wall());
}

void ColocatedFleet::advance(Duration time)
{
    const TimePoint until = m_now + time;
    while (m_now < until) {
        tick();
    }
}

Duration ColocatedFleet::waitingTime(const std::string &jobId) const
{
    const Job &job = m_jobs.at(jobId);
    return job.startedAt.value_or(m_now) - job.submittedAt;
}

bool ColocatedFleet::isComplete(const std::string &jobId) const
{
    const Job &job = m_jobs.at(jobId);
    return job.completed == job.step.taskCount;
}

void ColocatedFleet::forgetTimesWithoutRun()
{
    for (auto &[id, job] : m_jobs) {
        job.lastRunAt = m_now;
        job.longestTimeWithoutRun = Duration(0);
        job.waited.clear();
    }
}

bool ColocatedFleet::mightBeFoundLost(const std::string &jobId) const
{
    constexpr std::size_t Ticks = LookInterval / TickInterval; // between two looks
    const std::vector<bool> &waited = m_jobs.at(jobId).waited;
    for (std::size_t last = 2 * Ticks; last < waited.size(); ++last) {
        if (waited[last] && waited[last - Ticks] && waited[last - 2 * Ticks]) {
            return true;
        }
    }
    return false;
}

double ColocatedFleet::reservedShare() const
{
    std::int64_t reserved = 0;
    std::int64_t capacity = 0;
    for (const Worker &worker : m_workers) {
        capacity += worker.info.capacity.milliCores;
        for (const auto &[id, run] : worker.runs) {
            const Job &job = m_jobs.at(id.job);
            reserved += job.isServing ? job.step.milliCores : 0;
        }
    }
    return static_cast<double>(reserved) / static_cast<double>(capacity);
}

void ColocatedFleet::updateTimesWithoutRun()
{
    for (const Worker &worker : m_workers) {
        for (const auto &[id, run] : worker.runs) {
            m_jobs.at(id.job).lastRunAt = m_now;
        }
    }
    for (auto &[id, job] : m_jobs) {
        const bool waits = job.completed < job.step.taskCount && job.lastRunAt < m_now;
        job.longestTimeWithoutRun = waits ? std::max(job.longestTimeWithoutRun, m_now - job.lastRunAt) : job.longestTimeWithoutRun;
        job.waited.push_back(waits);
    }
}

void ColocatedFleet::tick()
{
    m_now += TickInterval;
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const std::function<void()> event = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        event();
    }
    if (!m_ownerStalls.isStalled(m_now)) {
        advanceDispatcher();
    }
    for (Worker &worker : m_workers) {
        work(worker);
        std::erase_if(worker.polls, [&](const Poll &poll) {
            const bool isDue = !worker.ends.empty() || m_now - poll.arrivedAt >= poll.command.wait;
            if (isDue) {
                answerPoll(worker, poll);
            }
            return isDue;
        });
    }
    updateTimesWithoutRun();
    if (m_waitingInvariant.isObservationDue(m_now)) {
        observeWaits();
    }
}

void ColocatedFleet::advanceDispatcher()
{
    m_dispatcher.confirmRead(m_now);
    m_dispatcher.confirmWorkersRead(m_now);
    for (DispatchAction &action : m_dispatcher.advance(m_now, wall())) {
        perform(action);
    }
}

void ColocatedFleet::observeWaits()
{
    std::vector<WaitingInvariant::Worker> workers;
    std::map<std::string, std::map<std::string, int>> runsByWorker; // by job
    std::map<std::string, std::vector<bool>> hasRun; // by job and index of the task
    for (const Worker &worker : m_workers) {
        WaitingInvariant::Worker &added = workers.emplace_back(WaitingInvariant::Worker{worker.info, {}, 0});
        for (const auto &[task, run] : worker.runs) {
            const Job &job = m_jobs.at(task.job);
            added.addRun(job.step);
            ++runsByWorker[task.job][worker.info.id];
            std::vector<bool> &tasks = hasRun[task.job];
            tasks.resize(static_cast<std::size_t>(job.step.taskCount));
            tasks[static_cast<std::size_t>(task.index)] = true;
        }
    }
    std::erase_if(workers, [this](const WaitingInvariant::Worker &worker) { return worker.info.draining || workerOf(worker.info.id).rejectsStarts; });
    std::vector<WaitingInvariant::Waiting> waiting;
    for (const auto &[id, job] : m_jobs) {
        if (job.isServing) {
            std::vector<bool> &tasks = hasRun[id];
            tasks.resize(static_cast<std::size_t>(job.step.taskCount));
            for (int index = 0; index < job.step.taskCount; ++index) {
                if (!tasks[static_cast<std::size_t>(index)]) {
                    const TaskId task{id, 0, 0, index};
                    const auto stopped = m_stoppedAt.find(task);
                    waiting.push_back({task, &job.step, stopped != m_stoppedAt.end() ? stopped->second : TimePoint(), runsByWorker[id]});
                }
            }
        } else if (m_now >= m_lastSubmission + FinishTime && job.completed < job.step.taskCount && !hasRun.contains(id)) {
            waiting.push_back({{id, 0, 0, 0}, &job.step, {}, runsByWorker[id]});
        }
    }
    m_waitingInvariant.observe(workers, waiting, m_now);
}

void ColocatedFleet::send(std::function<void()> message)
{
    if (m_maximumDelay == std::chrono::milliseconds(0)) {
        message();
        return;
    }
    const auto range = static_cast<std::uint32_t>((m_maximumDelay - m_minimumDelay).count() + 1);
    m_messages.emplace(m_now + m_minimumDelay + std::chrono::milliseconds(m_random() % range), std::move(message));
}

void ColocatedFleet::respond(std::function<void()> handle)
{
    send([this, handle = std::move(handle)] {
        if (m_ownerStalls.isStalled(m_now)) {
            m_messages.emplace(m_ownerStalls.endOfStall(m_now), handle);
        } else {
            handle();
        }
    });
}

void ColocatedFleet::perform(DispatchAction &action)
{
    std::visit(Overloaded{
                   [&](const AppendRecords &) { respond([this] { m_dispatcher.recordsStored(m_now); }); },
                   [&](const StartCommand &command) {
                       send([this, command] {
                           const CommandResult result = start(command);
                           respond([this, command, result] { m_dispatcher.startAnswered(command, result, m_now); });
                       });
                   },
                   [&](const StopCommand &command) {
                       send([this, command] {
                           const CommandResult result = stop(command);
                           respond([this, command, result] { m_dispatcher.stopAnswered(command, result, m_now); });
                       });
                   },
                   [&](const ThrottleCommand &command) {
                       if (m_lateRaises > 0 && isRaise(command)) {
                           --m_lateRaises;
                           setSpeedLate(command);
                           return;
                       }
                       send([this, command] {
                           const CommandResult result = setSpeed(command);
                           respond([this, command, result] { m_dispatcher.throttleAnswered(command, result, m_now); });
                       });
                   },
                   [&](const PollCommand &command) {
                       const TimePoint sentAt = m_now;
                       send([this, command, sentAt] { workerOf(command.worker.id).polls.push_back({command, sentAt, m_now}); });
                   },
                   [](const auto &) {},
               },
               action);
}

CommandResult ColocatedFleet::start(const StartCommand &command)
{
    Worker &worker = workerOf(command.worker.id);
    if (worker.rejectsStarts) {
        return CommandRejected{RejectionReason::Unhealthy, ""};
    }
    const auto ended = worker.newestEndedRun.find(command.task);
    if (ended != worker.newestEndedRun.end() && command.run <= ended->second) {
        return CommandRejected{RejectionReason::Superseded, ""};
    }
    Job &job = m_jobs.at(command.task.job);
    const Duration worked(command.checkpoint.empty() ? 0 : std::stoll(command.checkpoint));
    worker.runs[command.task] = Run{command.run, 100, worked, {}};
    job.startedAt = job.startedAt.value_or(m_now);
    return executed();
}

CommandResult ColocatedFleet::stop(const StopCommand &command)
{
    Worker &worker = workerOf(command.worker.id);
    const auto run = worker.runs.find(command.task);
    if (run != worker.runs.end()) {
        const bool isStored = m_jobs.at(command.task.job).step.checkpointable;
        const std::string checkpoint = isStored ? std::to_string(run->second.worked.count()) : std::string();
        worker.ends.push_back({++worker.lastEndSequence, command.task, command.run, RunEndReason::Stopped, checkpoint});
        worker.runs.erase(run);
        ++m_stoppedRuns;
        m_stoppedAt[command.task] = m_now;
    }
    int &newestEndedRun = worker.newestEndedRun[command.task];
    newestEndedRun = std::max(newestEndedRun, command.run);
    return executed();
}

CommandResult ColocatedFleet::setSpeed(const ThrottleCommand &command)
{
    Worker &worker = workerOf(command.worker.id);
    const auto run = worker.runs.find(command.task);
    if (run != worker.runs.end()) {
        run->second.speedPercent = command.speedPercent;
    }
    return executed();
}

bool ColocatedFleet::isRaise(const ThrottleCommand &command)
{
    const Worker &worker = workerOf(command.worker.id);
    const auto run = worker.runs.find(command.task);
    return run != worker.runs.end() && run->second.run == command.run && run->second.speedPercent < command.speedPercent;
}

void ColocatedFleet::setSpeedLate(const ThrottleCommand &command)
{
    m_messages.emplace(m_now + Internal::CommandTimeout, [this, command] { m_dispatcher.throttleAnswered(command, CommandUndetermined{"timeout"}, m_now); });
    m_messages.emplace(m_now + m_raiseDelay, [this, command] { setSpeed(command); });
}

CommandExecuted ColocatedFleet::executed() const
{
    return CommandExecuted{std::chrono::duration_cast<WorkerTime>(m_now.time_since_epoch())};
}

void ColocatedFleet::work(Worker &worker)
{
    for (auto run = worker.runs.begin(); run != worker.runs.end();) {
        auto &[id, state] = *run;
        Job &job = m_jobs.at(id.job);
        if (job.isServing) {
            const bool isOver = tailOf(worker, id) >= static_cast<double>(TailTargetMs);
            state.overTarget = isOver ? state.overTarget + TickInterval : Duration(0);
            m_longestTimeOverTarget = std::max(m_longestTimeOverTarget, state.overTarget);
        }
        state.worked += std::chrono::duration_cast<Duration>(TickInterval) * state.speedPercent / 100;
        if (job.isServing || state.worked < job.duration) {
            ++run;
            continue;
        }
        ++job.completed;
        worker.ends.push_back({++worker.lastEndSequence, id, state.run, RunEndReason::Completed, ""});
        worker.newestEndedRun[id] = state.run;
        run = worker.runs.erase(run);
    }
}

void ColocatedFleet::answerPoll(Worker &worker, const Poll &poll)
{
    const std::int64_t acknowledged = poll.command.acknowledgedSequence;
    std::erase_if(worker.ends, [&](const ReportedRunEnd &end) { return end.sequence <= acknowledged; });
    WorkerReport report;
    report.clock = std::chrono::duration_cast<WorkerTime>(m_now.time_since_epoch());
    report.processStartedAt = std::chrono::milliseconds(1);
    for (const auto &[id, run] : worker.runs) {
        const Job &job = m_jobs.at(id.job);
        ReportedRun reported{id, run.run, "", 100, tailOf(worker, id)};
        if (!job.isServing) {
            reported.progressPercent = static_cast<int>(100 * run.worked / job.duration);
            reported.load = static_cast<double>(job.step.milliCores) * run.speedPercent / 100;
        }
        report.runs.push_back(reported);
    }
    report.ends = worker.ends;
    respond([this, poll, report] { m_dispatcher.pollAnswered(poll.command, report, poll.sentAt, m_now); });
}

double ColocatedFleet::tailOf(const Worker &worker, const TaskId &serving) const
{
    const double phase = 2 * std::numbers::pi * std::chrono::duration<double>(m_now.time_since_epoch() - m_jobs.at(serving.job).peak).count()
        / std::chrono::duration<double>(LoadPeriod).count();
    double utilization = Internal::MeanLoad * (1 + Internal::LoadSwing * std::cos(phase));
    for (const auto &[id, run] : worker.runs) {
        const Job &job = m_jobs.at(id.job);
        const double share = static_cast<double>(job.step.milliCores) / static_cast<double>(worker.info.capacity.milliCores);
        utilization += job.isServing ? 0 : job.effect * share * run.speedPercent / 100;
    }
    return std::round(BaseTailMs / (1 - std::min(utilization, Internal::MaximumUtilization)));
}

WallTime ColocatedFleet::wall() const
{
    return WallTime(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
}

} // namespace Hyssop::Testing
