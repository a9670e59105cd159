#include "dispatcher.h"

#include <jobtopic/jobtable.h>
#include <utils/overloaded.h>

#include <algorithm>

namespace Hyssop {

namespace Internal {

// The same start order is sent up to this often before the run is given up.
constexpr int StartSends = 3;
constexpr std::chrono::milliseconds RetryPause{100};
constexpr std::chrono::milliseconds InvalidOrderPause{2000};
constexpr std::chrono::milliseconds FailurePause{100};
// Answers overtake one another by less than this.
constexpr std::chrono::milliseconds ClockSlack{1000};

} // namespace Internal

bool Dispatcher::mayStartOn(const WorkerView &worker, TimePoint now) const
{
    return worker.takesWork(m_evacuated) && m_leases.mayStart(now, m_readAt);
}

void Dispatcher::sendStart(const TaskId &id, TaskRun &task, TimePoint now)
{
    const JobRun *job = m_jobs.find(id.job);
    WorkerView *worker = findWorker(task.worker);
    if (job == nullptr || worker == nullptr || job->isEnded() || !mayStartOn(*worker, now)) {
        giveUpRun(id, task, now);
        return;
    }
    StartCommand order;
    order.worker = addressOf(*worker);
    order.task = id;
    order.run = task.run;
    order.payload = job->job.payload;
    order.checkpoint = task.checkpoint;
    if (const auto *tickets = m_tickets.tickets(id, now)) {
        const auto ticket = tickets->find(task.worker);
        order.ticket = ticket != tickets->end() ? ticket->second : std::string();
    }
    order.fencingToken = tokenFor(*worker);
    order.leaseEnd = worker->clock->readingAt(m_leases.grantUntil(now, m_confirmedAt));
    worker->leaseEnd = std::max(worker->leaseEnd, worker->clock->surelyReached(order.leaseEnd));
    task.phase = TaskPhase::Ordered;
    task.phaseSince = now;
    ++task.sends;
    m_actions.emplace_back(std::move(order));
}

void Dispatcher::startAnswered(const StartCommand &order, const CommandResult &answer, TimePoint now)
{
    TaskRun *task = m_jobs.task(order.task);
    const bool isCurrent = task != nullptr && task->run == order.run && task->worker == order.worker.id;
    if (!isOfThisTerm(order.fencingToken) || !isCurrent || task->phase != TaskPhase::Ordered) {
        return;
    }
    if (const auto *done = std::get_if<CommandExecuted>(&answer)) {
        checkClock(order.worker.id, done->clock, now);
    }
    std::visit(Overloaded{
                   [&](const CommandExecuted &) {
                       if (task->phase != TaskPhase::Ordered) {
                           return; // the order reached a new life of the worker, where the run is being stopped
                       }
                       task->phase = TaskPhase::Running;
                       task->phaseSince = now;
                       task->confirmedAt = now;
                       task->percentSince = now;
                       noteStarted(order.task);
                   },
                   [&](const CommandRejected &refusal) {
                       noteFence(order.worker.id, order.fencingToken, refusal);
                       refused(order.task, *task, refusal, now);
                   },
                   [&](const CommandNotSent &) {
                       if (WorkerView *worker = findWorker(task->worker)) {
                           worker->trust.noteRefusal(now);
                       }
                       --task->sends;
                       giveUpRun(order.task, *task, now);
                   },
                   [&](const CommandUndetermined &) {
                       if (task->sends < Internal::StartSends) {
                           sendStart(order.task, *task, now);
                       } else {
                           beginStop(order.task, *task, now);
                       }
                   },
               },
               answer);
}

void Dispatcher::noteStarted(const TaskId &id)
{
    JobRun *job = m_jobs.find(id.job);
    if (job != nullptr && !job->hasStarted) {
        job->hasStarted = true;
        m_jobs.markChanged(*job);
    }
}

void Dispatcher::checkClock(const std::string &workerId, WorkerTime reading, TimePoint now)
{
    WorkerView *worker = findWorker(workerId);
    const bool wentBack = worker != nullptr && worker->clock && reading + Internal::ClockSlack < worker->clock->reading;
    if (wentBack) {
        noteRebirth(*worker, reading, now);
        worker->processStartedAt = std::chrono::milliseconds(0);
        worker->clock.reset();
    }
}

void Dispatcher::noteFence(const std::string &workerId, std::int64_t fencingToken, const CommandRejected &refusal)
{
    const WorkerView *worker = findWorker(workerId);
    const bool isNewest = worker != nullptr && fencingToken == tokenFor(*worker);
    if (refusal.reason == RejectionReason::Fenced && isNewest) {
        m_actions.emplace_back(GiveUpOwnership{}); // otherwise a newer order of ours overtook this one
    }
}

void Dispatcher::refused(const TaskId &id, TaskRun &task, const CommandRejected &answer, TimePoint now)
{
    WorkerView *worker = findWorker(task.worker);
    switch (answer.reason) {
    case RejectionReason::Superseded:
        // The run was there and has ended; the next listing says how.
        task.phase = TaskPhase::Running;
        task.phaseSince = now;
        task.confirmedAt = now;
        return;
    case RejectionReason::MissingTicket:
        m_tickets.drop(id, task.worker);
        break;
    case RejectionReason::WrongWorker:
        if (worker != nullptr) {
            worker->leaseEnd = TimePoint();
        }
        break;
    case RejectionReason::Invalid:
        task.notBefore = now + Internal::InvalidOrderPause;
        break;
    case RejectionReason::InsufficientCapacity:
    case RejectionReason::Unhealthy:
        if (worker != nullptr) {
            worker->trust.noteRefusal(now);
        }
        break;
    case RejectionReason::Fenced:
    case RejectionReason::Expired:
        break;
    }
    --task.sends; // this copy is certainly not carried out
    giveUpRun(id, task, now);
}

void Dispatcher::giveUpRun(const TaskId &id, TaskRun &task, TimePoint now)
{
    if (task.sends > 0) {
        beginStop(id, task, now); // a copy of the order may still be carried out
    } else {
        requeue(id, task, now);
    }
}

void Dispatcher::beginStop(const TaskId &id, TaskRun &task, TimePoint now)
{
    task.phase = TaskPhase::Stopping;
    task.phaseSince = now;
    task.stopConfirmed = false;
    sendStop(id, task);
}

void Dispatcher::sendStop(const TaskId &id, const TaskRun &task)
{
    const WorkerView *worker = findWorker(task.worker);
    if (worker != nullptr && !worker->info.address.empty()) {
        m_actions.emplace_back(StopCommand{addressOf(*worker), id, task.run, tokenFor(*worker)});
    }
}

void Dispatcher::stopAnswered(const StopCommand &order, const CommandResult &answer, TimePoint now)
{
    if (const auto *refusal = std::get_if<CommandRejected>(&answer)) {
        noteFence(order.worker.id, order.fencingToken, *refusal);
    }
    TaskRun *task = m_jobs.task(order.task);
    const bool isCurrent = task != nullptr && task->run == order.run && task->worker == order.worker.id;
    if (!isOfThisTerm(order.fencingToken) || !isCurrent || task->phase != TaskPhase::Stopping) {
        return;
    }
    if (std::holds_alternative<CommandExecuted>(answer)) {
        task->stopConfirmed = true;
        task->confirmedAt = now;
        if (WorkerView *worker = findWorker(task->worker)) {
            worker->nextPoll = std::min(worker->nextPoll, now);
        }
    }
}

void Dispatcher::paceAnswered(const ThrottleCommand &order, const CommandResult &answer, TimePoint now)
{
    TaskRun *task = m_jobs.task(order.task);
    if (task != nullptr && task->run == order.run && task->isOpen() && std::holds_alternative<CommandExecuted>(answer)) {
        task->pacePercent = order.speedPercent;
        task->paceSince = now;
    }
}

void Dispatcher::requeue(const TaskId &id, TaskRun &task, TimePoint now)
{
    if (WorkerView *worker = findWorker(task.worker)) {
        worker->removeRun(id);
    }
    task.phase = TaskPhase::Waiting;
    task.phaseSince = now;
    task.worker.clear();
    task.percent = -1;
    task.pacePercent = 100;
    task.notBefore = std::max(task.notBefore, now);
    if (JobRun *job = m_jobs.find(id.job)) {
        m_jobs.markChanged(*job);
    }
}

void Dispatcher::endRun(const TaskId &id, TaskRun &task, RunEndReason endReason, const std::string &checkpoint, TimePoint now)
{
    JobRun *job = m_jobs.find(id.job);
    if (endReason == RunEndReason::Completed || endReason == RunEndReason::Failed) {
        noteStarted(id);
    }
    const bool isLasting = job->step(id.step).longRunning;
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
    }
    if (WorkerView *worker = findWorker(task.worker); worker != nullptr && endReason == RunEndReason::Completed) {
        worker->trust.noteSuccess();
    }
    if (endReason == RunEndReason::Failed) {
        noteFailedRun(id, task, now);
    }
    noteEndedFiller(id, task, now);
    m_actions.emplace_back(RunEnded{id, task.run, task.worker, endReason, task.failures});
    if (endReason == RunEndReason::Completed && !isLasting) {
        noteDone(id, task);
        return;
    }
    requeue(id, task, now);
    const QueueInfo *queue = m_config.queues.contains(job->job.queue) ? &m_config.queues.at(job->job.queue) : nullptr;
    const bool exhausted = queue != nullptr && !isLasting && task.failures >= queue->maximumFailures;
    if (exhausted && !job->isEnded()) {
        job->failed = true;
        endJob(*job, now);
    }
}

void Dispatcher::noteEndedFiller(const TaskId &id, const TaskRun &task, TimePoint now)
{
    WorkerView *worker = findWorker(task.worker);
    if (worker == nullptr || task.load <= 0) {
        return;
    }
    const auto use = worker->runs.find(id);
    if (use != worker->runs.end() && use->second.fillsIdle) {
        worker->endedFillers.push_back({use->second, task.load, task.pacePercent, now});
    }
}

void Dispatcher::noteFailedRun(const TaskId &id, TaskRun &task, TimePoint now)
{
    ++task.failures;
    task.notBefore = now + Internal::FailurePause;
    if (WorkerView *worker = findWorker(task.worker)) {
        worker->trust.noteFailure(id.job, now);
    }
}

void Dispatcher::noteDone(const TaskId &id, TaskRun &task)
{
    JobRun *job = m_jobs.find(id.job);
    StepRun *step = m_jobs.stepOf(id);
    const auto finish = [&](const TaskId &taskId, TaskRun &finished) {
        if (WorkerView *worker = findWorker(finished.worker)) {
            worker->removeRun(taskId);
        }
        finished.phase = TaskPhase::Done;
        finished.worker.clear();
        ++step->done;
    };
    finish(id, task);
    if (job->step(id.step).gang) {
        // The tasks of a gang end together; the end of one stands for all.
        for (std::size_t index = 0; index < step->tasks.size(); ++index) {
            if (step->tasks[index].phase != TaskPhase::Done) {
                finish({id.job, id.occurrence, id.step, static_cast<int>(index)}, step->tasks[index]);
            }
        }
    }
    m_jobs.markChanged(*job);
    finishOccurrences(*job);
}

void Dispatcher::finishOccurrences(JobRun &job)
{
    const auto isDone = [](const StepRun &step) { return step.isDone(); };
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
        m_sharing.forgetJob(job.id);
        reportEnd(job);
    }
}

} // namespace Hyssop
