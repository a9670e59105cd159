#include "dispatcher.h"

#include <jobtopic/jobtable.h>
#include <utils/overloaded.h>

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A start command is sent at most this often before the run is abandoned.
constexpr int MaximumStartSends = 3;
constexpr std::chrono::milliseconds RetryDelay{100};
constexpr std::chrono::milliseconds InvalidCommandBackoff{2000};
constexpr std::chrono::milliseconds FailureBackoff{100};
// Upper bound of the delay by which answers are reordered.
constexpr std::chrono::milliseconds ReorderingTolerance{1000};

} // namespace Internal

bool Dispatcher::canStartOn(const WorkerState &worker, TimePoint now) const
{
    return worker.isSchedulable(m_evacuated) && m_leasePolicy.canStart(now, m_readAt);
}

void Dispatcher::sendStart(const TaskId &id, TaskExecution &task, TimePoint now)
{
    const JobExecution *job = m_jobs.find(id.job);
    WorkerState *worker = findWorker(task.worker);
    if (job == nullptr || worker == nullptr || job->isEnded() || !canStartOn(*worker, now)) {
        abandonRun(id, task, now);
        return;
    }
    StartOrder order;
    order.worker = addressOf(*worker);
    order.task = id;
    order.run = task.run;
    order.payload = job->submission.payload;
    order.checkpoint = task.checkpoint;
    if (const auto *tickets = m_tickets.tickets(id, now)) {
        const auto ticket = tickets->find(task.worker);
        order.ticket = ticket != tickets->end() ? ticket->second : std::string();
    }
    order.fencingToken = tokenFor(*worker);
    order.leaseEnd = worker->clock->readingAt(m_leasePolicy.latestLeaseEnd(now, m_confirmedAt));
    worker->leaseEnd = std::max(worker->leaseEnd, worker->clock->latestTimeOf(order.leaseEnd));
    task.phase = TaskPhase::Starting;
    task.phaseSince = now;
    ++task.startsSent;
    m_actions.emplace_back(std::move(order));
}

void Dispatcher::startAnswered(const StartOrder &order, const OrderAnswer &answer, TimePoint now)
{
    TaskExecution *task = m_jobs.task(order.task);
    const bool isCurrent = task != nullptr && task->run == order.run && task->worker == order.worker.id;
    if (!isOfThisTerm(order.fencingToken) || !isCurrent || task->phase != TaskPhase::Starting) {
        return;
    }
    if (const auto *done = std::get_if<OrderDone>(&answer)) {
        detectClockRegression(order.worker.id, done->clock, now);
    }
    std::visit(Overloaded{
                   [&](const OrderDone &) {
                       if (task->phase != TaskPhase::Starting) {
                           return; // the command reached a restarted worker, where the run is being stopped
                       }
                       task->phase = TaskPhase::Running;
                       task->phaseSince = now;
                       task->confirmedAt = now;
                       task->progressSince = now;
                       markStarted(order.task);
                   },
                   [&](const OrderRefused &refusal) {
                       handleFencing(order.worker.id, order.fencingToken, refusal);
                       handleStartRejection(order.task, *task, refusal, now);
                   },
                   [&](const OrderUnsent &) {
                       if (WorkerState *worker = findWorker(task->worker)) {
                           worker->quarantine.recordRejection(now);
                       }
                       --task->startsSent;
                       abandonRun(order.task, *task, now);
                   },
                   [&](const OrderUnknown &) {
                       if (task->startsSent < Internal::MaximumStartSends) {
                           sendStart(order.task, *task, now);
                       } else {
                           beginStop(order.task, *task, now);
                       }
                   },
               },
               answer);
}

void Dispatcher::markStarted(const TaskId &id)
{
    JobExecution *job = m_jobs.find(id.job);
    if (job != nullptr && !job->hasStarted) {
        job->hasStarted = true;
        m_jobs.markChanged(*job);
    }
}

void Dispatcher::detectClockRegression(const std::string &workerId, WorkerTime reading, TimePoint now)
{
    WorkerState *worker = findWorker(workerId);
    const bool wentBack = worker != nullptr && worker->clock && reading + Internal::ReorderingTolerance < worker->clock->reading;
    if (wentBack) {
        handleWorkerRestart(*worker, reading, now);
        worker->bornAt = std::chrono::milliseconds(0);
        worker->clock.reset();
    }
}

void Dispatcher::handleFencing(const std::string &workerId, std::int64_t fencingToken, const OrderRefused &refusal)
{
    const WorkerState *worker = findWorker(workerId);
    const bool isNewest = worker != nullptr && fencingToken == tokenFor(*worker);
    if (refusal.reason == OrderRefusal::Fenced && isNewest) {
        m_actions.emplace_back(StepDown{}); // with an older token, a newer command of this owner has overtaken it
    }
}

void Dispatcher::handleStartRejection(const TaskId &id, TaskExecution &task, const OrderRefused &answer, TimePoint now)
{
    WorkerState *worker = findWorker(task.worker);
    switch (answer.reason) {
    case OrderRefusal::Superseded:
        // The run existed and has ended; the next report tells the outcome.
        task.phase = TaskPhase::Running;
        task.phaseSince = now;
        task.confirmedAt = now;
        return;
    case OrderRefusal::NoTicket:
        m_tickets.discard(id, task.worker);
        break;
    case OrderRefusal::OtherWorker:
        if (worker != nullptr) {
            worker->leaseEnd = TimePoint();
        }
        break;
    case OrderRefusal::Invalid:
        task.notBefore = now + Internal::InvalidCommandBackoff;
        break;
    case OrderRefusal::NoRoom:
    case OrderRefusal::Unhealthy:
        if (worker != nullptr) {
            worker->quarantine.recordRejection(now);
        }
        break;
    case OrderRefusal::Fenced:
    case OrderRefusal::Expired:
        break;
    }
    --task.startsSent; // this command will certainly not be executed
    abandonRun(id, task, now);
}

void Dispatcher::abandonRun(const TaskId &id, TaskExecution &task, TimePoint now)
{
    if (task.startsSent > 0) {
        beginStop(id, task, now); // a start command may still be executed
    } else {
        requeue(id, task, now);
    }
}

void Dispatcher::beginStop(const TaskId &id, TaskExecution &task, TimePoint now)
{
    task.phase = TaskPhase::Stopping;
    task.phaseSince = now;
    task.stopConfirmed = false;
    sendStop(id, task);
}

void Dispatcher::sendStop(const TaskId &id, const TaskExecution &task)
{
    const WorkerState *worker = findWorker(task.worker);
    if (worker != nullptr && !worker->info.address.empty()) {
        m_actions.emplace_back(StopOrder{addressOf(*worker), id, task.run, tokenFor(*worker)});
    }
}

void Dispatcher::stopAnswered(const StopOrder &order, const OrderAnswer &answer, TimePoint now)
{
    if (const auto *refusal = std::get_if<OrderRefused>(&answer)) {
        handleFencing(order.worker.id, order.fencingToken, *refusal);
    }
    TaskExecution *task = m_jobs.task(order.task);
    const bool isCurrent = task != nullptr && task->run == order.run && task->worker == order.worker.id;
    if (!isOfThisTerm(order.fencingToken) || !isCurrent || task->phase != TaskPhase::Stopping) {
        return;
    }
    if (std::holds_alternative<OrderDone>(answer)) {
        task->stopConfirmed = true;
        task->confirmedAt = now;
        if (WorkerState *worker = findWorker(task->worker)) {
            worker->nextPoll = std::min(worker->nextPoll, now);
        }
    }
}

void Dispatcher::throttleAnswered(const PaceOrder &order, const OrderAnswer &answer, TimePoint now)
{
    TaskExecution *task = m_jobs.task(order.task);
    if (task != nullptr && task->run == order.run && task->isOpen() && std::holds_alternative<OrderDone>(answer)) {
        task->speedPercent = order.percent;
        task->speedSince = now;
    }
}

void Dispatcher::requeue(const TaskId &id, TaskExecution &task, TimePoint now)
{
    if (WorkerState *worker = findWorker(task.worker)) {
        worker->removeRun(id);
    }
    task.phase = TaskPhase::Pending;
    task.phaseSince = now;
    task.worker.clear();
    task.progressPercent = -1;
    task.speedPercent = 100;
    task.notBefore = std::max(task.notBefore, now);
    if (JobExecution *job = m_jobs.find(id.job)) {
        m_jobs.markChanged(*job);
    }
}

void Dispatcher::endRun(const TaskId &id, TaskExecution &task, RunEnding ending, const std::string &checkpoint, TimePoint now)
{
    JobExecution *job = m_jobs.find(id.job);
    if (ending == RunEnding::Done || ending == RunEnding::Failed) {
        markStarted(id);
    }
    const bool isLongRunning = job->step(id.step).longRunning;
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
    }
    if (WorkerState *worker = findWorker(task.worker); worker != nullptr && ending == RunEnding::Done) {
        worker->quarantine.recordSuccess();
    }
    if (ending == RunEnding::Failed) {
        recordFailedRun(id, task, now);
    }
    recordEndedBestEffortRun(id, task, now);
    m_actions.emplace_back(RunEnded{id, task.run, task.worker, ending, task.failures});
    if (ending == RunEnding::Done && !isLongRunning) {
        markDone(id, task);
        return;
    }
    requeue(id, task, now);
    const QueueInfo *queue = m_config.queues.contains(job->submission.queue) ? &m_config.queues.at(job->submission.queue) : nullptr;
    const bool exhausted = queue != nullptr && !isLongRunning && task.failures >= queue->maximumFailures;
    if (exhausted && !job->isEnded()) {
        job->failed = true;
        endJob(*job, now);
    }
}

void Dispatcher::recordEndedBestEffortRun(const TaskId &id, const TaskExecution &task, TimePoint now)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker == nullptr || task.load <= 0) {
        return;
    }
    const auto profile = worker->runs.find(id);
    if (profile != worker->runs.end() && profile->second.isBestEffort) {
        worker->endedBestEffortRuns.push_back({profile->second, task.load, task.speedPercent, now});
    }
}

void Dispatcher::recordFailedRun(const TaskId &id, TaskExecution &task, TimePoint now)
{
    ++task.failures;
    task.notBefore = now + Internal::FailureBackoff;
    if (WorkerState *worker = findWorker(task.worker)) {
        worker->quarantine.recordFailure(id.job, now);
    }
}

void Dispatcher::markDone(const TaskId &id, TaskExecution &task)
{
    JobExecution *job = m_jobs.find(id.job);
    StepExecution *step = m_jobs.stepOf(id);
    const auto finish = [&](const TaskId &taskId, TaskExecution &finished) {
        if (WorkerState *worker = findWorker(finished.worker)) {
            worker->removeRun(taskId);
        }
        finished.phase = TaskPhase::Done;
        finished.worker.clear();
        ++step->done;
    };
    finish(id, task);
    if (job->step(id.step).gang) {
        // The tasks of a gang end together, so the end of one completes all.
        for (std::size_t index = 0; index < step->tasks.size(); ++index) {
            if (step->tasks[index].phase != TaskPhase::Done) {
                finish({id.job, id.occurrence, id.step, static_cast<int>(index)}, step->tasks[index]);
            }
        }
    }
    m_jobs.markChanged(*job);
    finishOccurrences(*job);
}

void Dispatcher::finishOccurrences(JobExecution &job)
{
    const auto isDone = [](const StepExecution &step) { return step.isDone(); };
    auto first = job.occurrences.find(job.finishedOccurrences);
    while (first != job.occurrences.end() && std::ranges::all_of(first->second, isDone)) {
        job.occurrences.erase(first);
        ++job.finishedOccurrences;
        first = job.occurrences.find(job.finishedOccurrences);
    }
    if (job.finishedOccurrences >= job.occurrenceCount() && !job.isEnded()) {
        job.completed = true;
        job.endedAtMs = m_wallMs;
        m_jobs.markUrgent(job);
        m_tickets.forgetJob(job.id);
        m_colocation.forgetJob(job.id);
        reportEnd(job);
    }
}

} // namespace Hyssop
