#include "dispatchfleet.h"

#include "simulatedadviceservice.h"

#include <dispatch/claimtimes.h>
#include <jobtopic/jobtable.h>
#include <utils/overloaded.h>

#include <algorithm>
#include <ctime>

namespace Hyssop::Testing {

namespace Internal {

constexpr std::int64_t WorkerMemoryBytes = 400'000'000'000;
constexpr std::size_t WorkersPerRack = 20;
constexpr int ProgressCycle = 99;

static std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace Internal

DispatchFleet::DispatchFleet(int workers, std::int64_t milliCores)
{
    QueueInfo queue;
    queue.name = "batch";
    queue.workerPool = "hall";
    queue.deadlineFactor = 2;
    queue.maximumFailures = 3;
    m_config.queues[queue.name] = queue;
    m_dispatcher.applyConfiguration(m_config, {});
    m_dispatcher.beginTerm(1, JobTable(), {m_now, m_now}, true);
    for (int number = 0; number < workers; ++number) {
        addWorker(milliCores);
    }
}

void DispatchFleet::addWorker(std::int64_t milliCores)
{
    const std::size_t index = m_workers.size();
    WorkerInfo &info = m_workers.emplace_back().info;
    info.id = "worker-of-the-fleet-" + std::to_string(index); // too long for the small-string optimization, like real ids
    info.workerPool = "hall";
    info.address = "127.0.0.1:1";
    info.rack = "rack-" + std::to_string(index / Internal::WorkersPerRack);
    info.capacity.milliCores = milliCores;
    info.capacity.memoryBytes = Internal::WorkerMemoryBytes;
    m_indexes[info.id] = index;
    m_dispatcher.updateWorker(info);
}

void DispatchFleet::setCapacity(std::size_t index, std::int64_t milliCores)
{
    m_workers[index].info.capacity.milliCores = milliCores;
    m_dispatcher.updateWorker(m_workers[index].info);
}

void DispatchFleet::setDraining(std::size_t index, bool isDraining)
{
    m_workers[index].info.draining = isDraining;
    m_dispatcher.updateWorker(m_workers[index].info);
}

void DispatchFleet::submit(const Wire::TaskStep &step, int blockedTasks, Duration age)
{
    TopicJob entry;
    entry.submission.emplace();
    entry.submission->queue = "batch";
    entry.submission->acceptedAtMs = sinceEpoch(wall() - age).count();
    entry.submission->steps.push_back(step);
    if (blockedTasks > 0) {
        Wire::TaskStep blocked = step;
        blocked.taskCount = blockedTasks;
        blocked.after = {0};
        entry.submission->steps.push_back(blocked);
    }
    const std::string id = "job-of-the-fleet-" + std::to_string(m_milliCores.size());
    m_milliCores[id] = step.milliCores;
    m_dispatcher.jobChanged(id, &entry, m_now, wall());
}

void DispatchFleet::advance(Duration time)
{
    const TimePoint until = m_now + time;
    while (m_now < until) {
        tick();
    }
}

std::size_t DispatchFleet::startsOf(std::int64_t milliCores) const
{
    const auto starts = m_startsBySize.find(milliCores);
    return starts != m_startsBySize.end() ? starts->second : 0;
}

std::size_t DispatchFleet::workersWithRuns() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_workers, [](const Worker &worker) { return !worker.runs.empty(); }));
}

void DispatchFleet::limitProcessor(const ProcessorCosts &costs, Duration runTime)
{
    m_costs = costs;
    m_runTime = runTime;
    takeProcessorTime();
}

Duration DispatchFleet::takeProcessorTime()
{
    const auto examined = static_cast<std::int64_t>(placementWork().examinedWorkers - std::exchange(m_chargedExaminations, placementWork().examinedWorkers));
    const std::int64_t responses = std::exchange(m_responses, 0);
    const std::int64_t listedRuns = std::exchange(m_listedRuns, 0);
    if (!m_costs) {
        return Duration::zero();
    }
    return m_costs->tick + responses * m_costs->response + listedRuns * m_costs->listedRun + examined * m_costs->examinedWorker;
}

void DispatchFleet::setAdviceService(SimulatedAdviceService &service)
{
    m_adviceService = &service;
    m_config.queues.begin()->second.advice = service.parameters;
    m_dispatcher.applyConfiguration(m_config, {});
}

void DispatchFleet::receiveAdvice()
{
    if (m_adviceService != nullptr) {
        m_adviceService->advance(m_now, [this](const RequestAdvice &request, const AdviceResult &result, TimePoint sentAt) {
            m_dispatcher.adviceAnswered(request, result, sentAt, m_now);
        });
    }
}

void DispatchFleet::receiveStartResponses()
{
    for (const StartCommand &command : std::exchange(m_startResponses, {})) {
        m_dispatcher.startAnswered(command, CommandExecuted{clock()}, m_now);
    }
}

void DispatchFleet::completeDueRuns()
{
    while (!m_runEnds.empty() && m_runEnds.begin()->first <= m_now) {
        const auto [index, task] = m_runEnds.begin()->second;
        m_runEnds.erase(m_runEnds.begin());
        m_completedRuns += completeRun(m_workers[index], task) ? 1 : 0;
    }
}

void DispatchFleet::tick()
{
    m_now += std::max<Duration>(TickInterval, takeProcessorTime());
    receiveStartResponses();
    receiveAdvice();
    completeDueRuns();
    m_dispatcher.confirmRead(m_now);
    m_dispatcher.confirmWorkersRead(m_now);
    const std::chrono::nanoseconds begin = Internal::processorTime();
    std::vector<DispatchAction> actions = m_dispatcher.advance(m_now, wall(), m_scope);
    m_advanceTime += Internal::processorTime() - begin;
    for (DispatchAction &action : actions) {
        perform(action);
    }
    for (Worker &worker : m_workers) {
        std::erase_if(worker.polls, [&](const auto &poll) {
            const bool isDue = !worker.ends.empty() || m_now - poll.second >= poll.first.wait;
            if (isDue) {
                answerPoll(worker, poll.first, poll.second);
            }
            return isDue;
        });
    }
}

void DispatchFleet::perform(DispatchAction &action)
{
    std::visit(Overloaded{
                   [&](const AppendRecords &) { m_dispatcher.recordsStored(m_now); },
                   [&](const StartCommand &command) { startRun(command); },
                   [&](const StopCommand &command) {
                       Worker &worker = workerOf(command.worker.id);
                       worker.runs.erase(command.task);
                       worker.completableRuns.erase(command.task);
                       m_dispatcher.stopAnswered(command, CommandExecuted{clock()}, m_now);
                   },
                   [&](const RequestAdvice &request) {
                       if (m_adviceService != nullptr) {
                           m_adviceService->send(request, m_now);
                       }
                   },
                   [&](PollCommand &command) { workerOf(command.worker.id).polls.emplace_back(std::move(command), m_now); },
                   [](const auto &) {},
               },
               action);
}

void DispatchFleet::startRun(const StartCommand &command)
{
    if (m_adviceService != nullptr && !m_adviceService->isValid(command.ticket, command.task, command.worker.id, m_now)) {
        ++m_rejectedTickets;
        m_dispatcher.startAnswered(command, CommandRejected{RejectionReason::MissingTicket, "ticket"}, m_now);
        return;
    }
    m_startedJobs.insert(command.task.job);
    ++m_starts;
    ++m_startsBySize[milliCoresOf(command.task)];
    Worker &worker = workerOf(command.worker.id);
    worker.runs[command.task] = {command.task, command.run, "", 1, 0};
    worker.startedAt[command.task] = m_now;
    if (!command.isServing) {
        worker.completableRuns.insert(command.task);
    }
    ++m_responses;
    if (!m_costs) {
        m_dispatcher.startAnswered(command, CommandExecuted{clock()}, m_now);
        return;
    }
    m_startResponses.push_back(command);
    m_runEnds.emplace(m_now + m_runTime, std::pair(m_indexes.at(command.worker.id), command.task));
}

void DispatchFleet::completeRuns(int count, std::int64_t maximumMilliCores)
{
    for (std::size_t tried = 0; count > 0 && tried < m_workers.size(); ++tried) {
        count -= completeRun(m_workers[m_nextCompletion], maximumMilliCores) ? 1 : 0;
        m_nextCompletion = (m_nextCompletion + 1) % m_workers.size();
    }
}

bool DispatchFleet::completeRun(Worker &worker, std::int64_t maximumMilliCores)
{
    const auto task = std::ranges::find_if(worker.completableRuns, [&](const TaskId &id) { return milliCoresOf(id) <= maximumMilliCores; });
    return task != worker.completableRuns.end() && completeRun(worker, TaskId(*task));
}

bool DispatchFleet::completeRun(Worker &worker, const TaskId &task)
{
    if (worker.completableRuns.erase(task) == 0) {
        return false;
    }
    worker.ends.push_back({++worker.lastEndSequence, task, worker.runs.at(task).run, RunEndReason::Completed, ""});
    worker.runs.erase(task);
    return true;
}

void DispatchFleet::answerPoll(Worker &worker, const PollCommand &poll, TimePoint sentAt)
{
    const std::int64_t acknowledged = poll.acknowledgedSequence;
    std::erase_if(worker.ends, [&](const ReportedRunEnd &end) { return end.sequence <= acknowledged; });
    WorkerReport report;
    report.clock = clock();
    report.processStartedAt = std::chrono::milliseconds(1);
    for (auto &[id, run] : worker.runs) {
        run.progressPercent = m_runTime > Duration::zero() ? static_cast<int>(std::min<Duration::rep>(100 * (m_now - worker.startedAt[id]) / m_runTime, 99))
                                                           : 1 + run.progressPercent % Internal::ProgressCycle;
        report.runs.push_back(run);
    }
    report.ends = worker.ends;
    ++m_responses;
    m_listedRuns += static_cast<std::int64_t>(report.runs.size() + report.ends.size());
    m_dispatcher.pollAnswered(poll, report, sentAt, m_now);
}

WorkerTime DispatchFleet::clock() const
{
    return std::chrono::duration_cast<WorkerTime>(m_now.time_since_epoch());
}

WallTime DispatchFleet::wall() const
{
    return WallTime(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
}

} // namespace Hyssop::Testing
