#include "dispatcher.h"

#include <jobtopic/jobtable.h>
#include <utils/overloaded.h>

#include <algorithm>

namespace Hyssop {

namespace Internal {

// A start command is sent at most this often before the run is abandoned.
constexpr int MaximumStartSends = 3;
// Less than the time after which a worker that leaves must get no task.
constexpr std::chrono::milliseconds MaximumWorkersAge{2000};
constexpr std::chrono::milliseconds InvalidCommandBackoff{2000};
constexpr std::chrono::milliseconds FailureBackoff{100};
// Upper bound of the time by which responses are reordered.
constexpr std::chrono::milliseconds ReorderingTolerance{1000};

} // namespace Internal

bool Dispatcher::canStart(TimePoint now) const
{
    const bool knowsLeavingWorkers = m_workersReadAt && now - *m_workersReadAt < Internal::MaximumWorkersAge;
    return knowsLeavingWorkers && m_leasePolicy.canStart(now, m_readAt);
}

void Dispatcher::reportWithheldStarts(TimePoint now)
{
    const bool isWithheld = !canStart(now);
    if (isWithheld == m_startsWithheldSince.has_value()) {
        return;
    }
    if (!isWithheld) {
        const auto withheldFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_startsWithheldSince);
        m_startsWithheldSince.reset();
        m_actions.emplace_back(StartsResumed{withheldFor});
        return;
    }
    m_startsWithheldSince = now;
    StartsWithheld event{std::chrono::duration_cast<std::chrono::milliseconds>(now - m_readAt), {}};
    if (m_workersReadAt) {
        event.workersReadAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_workersReadAt);
    }
    m_actions.emplace_back(event);
}

bool Dispatcher::canStartOn(const WorkerState &worker, TimePoint now) const
{
    return worker.isSchedulable(m_evacuated) && canStart(now);
}

void Dispatcher::sendStart(const TaskId &id, TaskExecution &task, TimePoint now)
{
    const JobExecution *job = m_jobs.find(id.job);
    WorkerState *worker = findWorker(task.worker);
    if (job == nullptr || worker == nullptr || job->isEnded() || !canStartOn(*worker, now)) {
        withdrawStart(id, task, now);
        return;
    }
    const QueueInfo *queue = m_queues.find(job->submission.queue);
    const bool needsTicket = queue != nullptr && queue->advice.has_value();
    const std::string ticket = needsTicket ? m_tickets.takeTicket(id, task.worker, now) : std::string();
    if (needsTicket && ticket.empty() && task.startsSent == 0) {
        withdrawStart(id, task, now); // it has expired while the intent was stored
        return;
    }
    StartCommand command;
    command.ticket = ticket;
    command.worker = addressOf(*worker);
    command.task = id;
    command.run = task.run;
    command.payload = job->submission.payload;
    command.isServing = job->step(id.step).longRunning;
    command.isBestEffort = job->step(id.step).fillsIdle;
    if (command.isServing && task.withoutRunSince) {
        command.withoutRun = std::chrono::duration_cast<std::chrono::milliseconds>(now - *task.withoutRunSince);
    }
    command.checkpoint = task.checkpoint;
    if (task.phase == TaskPhase::Assigned) {
        stageDelaysOf(id).intents.add(now - task.phaseSince);
    }
    fenceAcknowledgement(*worker);
    command.fencingToken = tokenFor(*worker);
    // While a poll is unanswered, the worker may be lost. Its tasks then wait for the end of the lease, so starts must not lengthen it.
    const TimePoint leaseEnd = worker->polledLeaseEnd.value_or(m_leasePolicy.latestLeaseEnd(now, m_confirmedAt));
    command.leaseEnd = worker->clock->readingAt(leaseEnd);
    worker->leaseEnd = std::max(worker->leaseEnd, worker->clock->latestTimeOf(command.leaseEnd));
    task.phase = TaskPhase::Starting;
    task.phaseSince = now;
    const bool isSameProcess = task.startsSent == 0 || task.startProcess == worker->processStartedAt;
    task.startProcess = isSameProcess ? worker->processStartedAt : std::chrono::milliseconds(0);
    task.startToken = command.fencingToken;
    ++task.startsSent;
    ++worker->pendingStarts;
    task.startPending = true;
    command.sentAt = now;
    command.startsAhead = m_commandWindow.startsInFlight();
    m_commandWindow.handleSent(now);
    m_actions.emplace_back(std::move(command));
}

void Dispatcher::recordRunLoss(TaskExecution &task, std::optional<RunEndEvidence> evidence, TimePoint now)
{
    const bool isAdopted = task.startsSent == 0 && task.phase != TaskPhase::Assigned;
    if (task.withoutRunSince || !(task.startConfirmed || isAdopted)) {
        return;
    }
    const WorkerState *worker = findWorker(task.worker);
    const bool wasCutOff = evidence == RunEndEvidence::LeaseExpired && worker != nullptr && worker->hasAnswered;
    task.withoutRunSince = wasCutOff ? worker->lastReportAt : now;
}

void Dispatcher::withdrawStart(const TaskId &id, TaskExecution &task, TimePoint now)
{
    if (JobExecution *job = m_jobs.find(id.job)) {
        ++job->history.startsWithdrawn;
    }
    m_actions.emplace_back(StartWithdrawn{id, task.run, task.worker});
    abandonRun(id, task, now);
}

void Dispatcher::recordStartResult(const StartCommand &command, const CommandResult &result)
{
    JobExecution *job = m_jobs.find(command.task.job);
    if (job == nullptr) {
        return;
    }
    JobHistory &history = job->history;
    std::visit(Overloaded{
                   [](const CommandExecuted &) {},
                   [&](const CommandRejected &) { ++history.startsRejected; },
                   [&](const CommandNotSent &) { ++history.startsNotSent; },
                   [&](const CommandUndetermined &) { ++history.startsWithoutResponse; },
               },
               result);
}

void Dispatcher::updateCommandWindow(const StartCommand &command, const CommandResult &result, TimePoint now)
{
    if (std::holds_alternative<CommandExecuted>(result) || std::holds_alternative<CommandRejected>(result)) {
        m_commandWindow.handleResponse(command.sentAt, command.startsAhead, now);
    } else {
        m_commandWindow.handleMissingResponse(command.worker.id, command.sentAt, now);
    }
}

void Dispatcher::startAnswered(const StartCommand &command, const CommandResult &result, TimePoint now)
{
    if (isOfThisTerm(command.fencingToken)) {
        recordStartResult(command, result);
        updateCommandWindow(command, result, now);
        if (WorkerState *worker = findWorker(command.worker.id)) {
            worker->pendingStarts = std::max(worker->pendingStarts - 1, 0); // 0: the worker was removed and added meanwhile
        }
    }
    TaskExecution *task = m_jobs.task(command.task);
    const bool isCurrent = task != nullptr && task->run == command.run && task->worker == command.worker.id;
    if (!isOfThisTerm(command.fencingToken) || !isCurrent) {
        return;
    }
    task->startPending = false;
    if (std::holds_alternative<CommandUndetermined>(result)) {
        expectLateStart(*task, now);
    }
    stageDelaysOf(command.task).responses.add(now - command.sentAt);
    if (task->phase != TaskPhase::Starting) {
        return;
    }
    if (const auto *executed = std::get_if<CommandExecuted>(&result); executed != nullptr && executed->clock.count() > 0) {
        detectClockRegression(command.worker.id, executed->clock, now);
    }
    std::visit(Overloaded{
                   [&](const CommandExecuted &) {
                       if (task->phase != TaskPhase::Starting) {
                           return; // the command reached a restarted worker, where the run is being stopped
                       }
                       task->phase = TaskPhase::Running;
                       task->phaseSince = now;
                       task->startConfirmed = true;
                       task->withoutRunSince.reset();
                       task->confirmedAt = now;
                       task->progressSince = now;
                       if (WorkerState *worker = findWorker(task->worker)) {
                           worker->health.reportAcceptedStart();
                       }
                       markStarted(command.task);
                       setInitialSpeed(command.task, *task, now);
                   },
                   [&](const CommandRejected &rejection) {
                       handleFencing(command.worker.id, command.fencingToken, rejection);
                       if (isOvertaken(command.worker.id, command.fencingToken, rejection)) {
                           --task->startsSent;
                           sendStart(command.task, *task, now);
                       } else {
                           handleStartRejection(command.task, *task, rejection, now);
                       }
                   },
                   [&](const CommandNotSent &) {
                       if (WorkerState *worker = findWorker(task->worker)) {
                           worker->health.reportRejection(now);
                       }
                       if (task->startsSent > 1) {
                           // An earlier attempt may have begun the run, and the next report tells. This one counts for MaximumStartSends.
                           task->phaseSince = now;
                       } else {
                           task->startsSent = 0;
                           abandonRun(command.task, *task, now);
                       }
                   },
                   [&](const CommandUndetermined &) { handleUndeterminedStart(command.task, *task, now); },
               },
               result);
}

void Dispatcher::setInitialSpeed(const TaskId &id, const TaskExecution &task, TimePoint now)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker != nullptr && task.initialSpeedPercent < task.speedPercent) {
        worker->speedChangedAt = now; // the next command must not overtake this one
        m_actions.emplace_back(ThrottleCommand{addressOf(*worker), id, task.run, task.initialSpeedPercent, tokenFor(*worker)});
    }
}

void Dispatcher::handleUndeterminedStart(const TaskId &id, TaskExecution &task, TimePoint now)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker != nullptr) {
        worker->health.reportUnansweredStart(now);
        task.failedOn = task.worker;
        requestReport(*worker, now);
    }
    const bool isWithheld = !canStart(now) || (worker != nullptr && worker->isUnreachable());
    if (!isWithheld && canRepeatStart(task)) {
        sendStart(id, task, now);
        return;
    }
    // The run may exist. The next report of the worker, or the end of its lease, tells.
    task.phaseSince = now;
    if (worker != nullptr && !canRepeatStart(task)) {
        fenceStarts(*worker, task, now);
    }
}

bool Dispatcher::canRepeatStart(const TaskExecution &task)
{
    return task.startsSent < Internal::MaximumStartSends;
}

void Dispatcher::handleUnlistedStart(const TaskId &id, TaskExecution &task, bool listsAllRuns, TimePoint now)
{
    WorkerState *worker = findWorker(task.worker);
    if (canRepeatStart(task)) {
        sendStart(id, task, now);
    } else if (listsAllRuns && worker != nullptr && isStartProcessCurrent(*worker, task)) {
        fenceStarts(*worker, task, now);
    } else {
        beginStop(id, task, StopReason::StartUndetermined, now); // a start command may still be executed
    }
}

bool Dispatcher::isStartProcessCurrent(const WorkerState &worker, const TaskExecution &task)
{
    return task.startProcess.count() != 0 && task.startProcess == worker.processStartedAt;
}

void Dispatcher::fenceStarts(WorkerState &worker, const TaskExecution &task, TimePoint now)
{
    if (isStartProcessCurrent(worker, task) && task.startToken == tokenFor(worker)) {
        raiseToken(worker);
    }
    requestReport(worker, now);
}

bool Dispatcher::areStartsFenced(const TaskExecution &task, const PollCommand &poll, const WorkerReport &report)
{
    const bool isSameProcess = task.startProcess.count() != 0 && report.processStartedAt == task.startProcess;
    return task.startsSent > 0 && isSameProcess && poll.fencingToken > task.startToken;
}

void Dispatcher::markStarted(const TaskId &id)
{
    JobExecution *job = m_jobs.find(id.job);
    if (job != nullptr && !job->hasStarted) {
        job->hasStarted = true;
        job->history.firstStart = std::chrono::milliseconds(m_wallMs - job->submission.acceptedAtMs);
        m_jobs.markChanged(*job);
    }
}

void Dispatcher::detectClockRegression(const std::string &workerId, WorkerTime reading, TimePoint now)
{
    WorkerState *worker = findWorker(workerId);
    const bool wentBack = worker != nullptr && worker->clock && reading + Internal::ReorderingTolerance < worker->clock->reading;
    if (wentBack) {
        handleWorkerRestart(*worker, reading, now);
        worker->processStartedAt = std::chrono::milliseconds(0);
        worker->clock.reset();
    }
}

void Dispatcher::handleFencing(const std::string &workerId, std::int64_t fencingToken, const CommandRejected &rejection)
{
    const WorkerState *worker = findWorker(workerId);
    const bool isNewest = worker != nullptr && fencingToken == tokenFor(*worker);
    if (rejection.reason == RejectionReason::Fenced && isNewest) {
        m_actions.emplace_back(
            StepDown{workerId, fencingToken, tokenFor(*worker), rejection.detail}); // with an older token, a newer command of this owner has overtaken it
    }
}

void Dispatcher::handleStartRejection(const TaskId &id, TaskExecution &task, const CommandRejected &rejection, TimePoint now)
{
    WorkerState *worker = findWorker(task.worker);
    switch (rejection.reason) {
    case RejectionReason::Superseded:
        // The run existed and has ended; the next report tells the outcome.
        task.phase = TaskPhase::Running;
        task.phaseSince = now;
        task.startConfirmed = true;
        task.confirmedAt = now;
        return;
    case RejectionReason::MissingTicket:
        m_tickets.discard(id, task.worker, now);
        break;
    case RejectionReason::Invalid:
        task.notBefore = now + Internal::InvalidCommandBackoff;
        break;
    case RejectionReason::InsufficientCapacity:
    case RejectionReason::Unhealthy:
        if (worker != nullptr) {
            worker->health.reportRejection(now);
        }
        break;
    case RejectionReason::Fenced:
    case RejectionReason::Expired:
    case RejectionReason::WrongWorker:
        break;
    }
    --task.startsSent; // this command will certainly not be executed
    abandonRun(id, task, now);
}

void Dispatcher::abandonRun(const TaskId &id, TaskExecution &task, TimePoint now)
{
    if (task.startsSent > 0) {
        beginStop(id, task, StopReason::StartAbandoned, now); // a start command may still be executed
    } else {
        requeue(id, task, now);
    }
}

void Dispatcher::beginStop(const TaskId &id, TaskExecution &task, StopReason reason, TimePoint now)
{
    recordRunLoss(task, {}, now);
    task.phase = TaskPhase::Stopping;
    task.phaseSince = now;
    task.stopReason = reason;
    task.stopConfirmed = false;
    sendStop(id, task);
}

void Dispatcher::sendStop(const TaskId &id, const TaskExecution &task)
{
    const WorkerState *worker = findWorker(task.worker);
    if (worker != nullptr && !worker->info.address.empty()) {
        m_actions.emplace_back(StopCommand{addressOf(*worker), id, task.run, tokenFor(*worker), task.stopReason, isServingTask(id)});
    }
}

void Dispatcher::stopAnswered(const StopCommand &command, const CommandResult &result, TimePoint now)
{
    if (const auto *rejection = std::get_if<CommandRejected>(&result)) {
        handleFencing(command.worker.id, command.fencingToken, *rejection);
    }
    TaskExecution *task = m_jobs.task(command.task);
    const bool isCurrent = task != nullptr && task->run == command.run && task->worker == command.worker.id;
    if (!isOfThisTerm(command.fencingToken) || !isCurrent || task->phase != TaskPhase::Stopping) {
        return;
    }
    if (const auto *rejection = std::get_if<CommandRejected>(&result);
        rejection != nullptr && isOvertaken(command.worker.id, command.fencingToken, *rejection)) {
        sendStop(command.task, *task);
    }
    WorkerState *worker = findWorker(task->worker);
    if (std::holds_alternative<CommandExecuted>(result)) {
        task->stopConfirmed = true;
        task->confirmedAt = now;
        if (worker != nullptr) {
            worker->hasConfirmedStops = true;
            requestReport(*worker, now);
        }
    } else if (std::holds_alternative<CommandUndetermined>(result) && worker != nullptr) {
        handleUndeterminedStop(*worker, *task, now);
    }
}

void Dispatcher::handleUndeterminedStop(WorkerState &worker, const TaskExecution &task, TimePoint now)
{
    if (task.startConfirmed) {
        requestReport(worker, now); // it lists the run or its end
    } else {
        fenceStarts(worker, task, now); // the run may not have begun, and then neither is listed
    }
}

void Dispatcher::throttleAnswered(const ThrottleCommand &command, const CommandResult &result, TimePoint now)
{
    TaskExecution *task = m_jobs.task(command.task);
    const bool isCurrent = task != nullptr && task->run == command.run && task->isOpen();
    if (!isOfThisTerm(command.fencingToken) || !isCurrent) {
        return;
    }
    if (std::holds_alternative<CommandExecuted>(result)) {
        task->setSpeed(command.speedPercent, now);
    } else if (std::holds_alternative<CommandUndetermined>(result)) {
        task->setSpeedUnknown(now);
    }
}

void Dispatcher::requeue(const TaskId &id, TaskExecution &task, TimePoint now)
{
    if (WorkerState *worker = findWorker(task.worker)) {
        worker->removeRun(id);
    }
    task.notBefore = std::max(task.notBefore, now);
    m_jobs.stepOf(id)->setPhase(task, TaskPhase::Pending);
    task.phaseSince = now;
    task.worker.clear();
    task.progressPercent = -1;
    task.speedPercent = 100;
    task.isSpeedKnown = true;
    if (JobExecution *job = m_jobs.find(id.job)) {
        m_jobs.markChanged(*job);
    }
}

void Dispatcher::endRun(const TaskId &id, TaskExecution &task, RunEndReason endReason, const std::string &checkpoint, TimePoint now, RunEndEvidence evidence)
{
    JobExecution *job = m_jobs.find(id.job);
    if (endReason == RunEndReason::Completed || endReason == RunEndReason::Failed) {
        markStarted(id);
    }
    const bool isLongRunning = job->step(id.step).longRunning;
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
    }
    if (endReason == RunEndReason::Completed) {
        job->hasFailedLately = false;
        if (WorkerState *worker = findWorker(task.worker)) {
            worker->health.reportSuccess(id);
        }
    }
    if (endReason == RunEndReason::Failed) {
        recordFailedRun(id, task, now);
    }
    if (endReason == RunEndReason::LeaseExpired) {
        task.unreportedRun = task.run;
    }
    recordEndedBestEffortRun(id, task, now);
    recordRunLoss(task, evidence, now);
    recordRunEnd(job->history, id, task, endReason, now);
    m_actions.emplace_back(RunEnded{id, task.run, task.worker, endReason, task.failures, isLongRunning, evidence, task.startsSent});
    if (endReason == RunEndReason::Completed && !isLongRunning) {
        markDone(id, task);
        return;
    }
    requeue(id, task, now);
    const QueueInfo *queue = m_queues.find(job->submission.queue);
    if (queue != nullptr && isOutOfAttempts(task, job->step(id.step), *queue)) {
        failJob(*job, now);
    }
}

bool Dispatcher::isOutOfAttempts(const TaskExecution &task, const Wire::TaskStep &step, const QueueInfo &queue)
{
    return !step.longRunning && task.failures >= queue.maximumFailures;
}

void Dispatcher::failJob(JobExecution &job, TimePoint now)
{
    if (!job.isEnded()) {
        job.failed = true;
        endJob(job, now);
    }
}

void Dispatcher::recordRunEnd(JobHistory &history, const TaskId &id, const TaskExecution &task, RunEndReason endReason, TimePoint now)
{
    history.lastTask = id;
    history.lastRun = task.run;
    history.lastWorker = task.worker;
    history.lastRunTime.reset();
    if (task.confirmedAt != TimePoint()) {
        history.lastRunTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - task.confirmedAt);
    }
    switch (endReason) {
    case RunEndReason::Completed:
        ++history.completedRuns;
        return;
    case RunEndReason::Failed:
        ++history.failedRuns;
        return;
    case RunEndReason::Stopped:
        ++history.stoppedRuns;
        return;
    case RunEndReason::LeaseExpired:
        ++history.lapsedRuns;
        return;
    case RunEndReason::PeerEnded:
    case RunEndReason::GangIncomplete:
        ++history.incompleteRuns;
        return;
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
    m_jobs.find(id.job)->hasFailedLately = true;
    m_jobs.stepOf(id)->setFailures(task, task.failures + 1);
    task.notBefore = now + Internal::FailureBackoff;
    task.failedOn = task.worker;
    if (WorkerState *worker = findWorker(task.worker)) {
        worker->health.reportFailure(id, now);
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
        step->setPhase(finished, TaskPhase::Done);
        finished.worker.clear();
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
