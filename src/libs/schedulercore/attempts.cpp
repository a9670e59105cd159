#include "schedulercorestate.h"

#include <utils/overloaded.h>

#include <algorithm>

namespace Hyssop::Internal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds RepeatInterval{1000}; // before a stop or throttle command is sent again
constexpr milliseconds StartRepeatInterval{500};
// Minimum time left of the permit for sending a start command. With less, the command would reach the worker after its
// deadline.
constexpr milliseconds MinimumPermitLeft{300};
// An attempt whose start command can't be sent for this long ends, so that the job can run on another worker.
constexpr milliseconds StartTimeout{5000};
constexpr milliseconds RefusalBackoff{3000}; // before the next placement on a worker that refused a start
// Maximum delay of a command that was sent to a worker before it restarted.
constexpr milliseconds MaximumCommandDelay{10000};

bool hasEnded(TaskState state)
{
    return state == TaskState::Stopped || state == TaskState::Finished || state == TaskState::Failed;
}

// Returns true for a running task that needs no command.
bool needsNoAction(const OpenAttempt &attempt)
{
    const bool untouched = !attempt.end && !attempt.eviction && !attempt.cancelRequested;
    return attempt.start == StartState::Confirmed && untouched && attempt.targetSpeedPercent == attempt.confirmedSpeedPercent;
}

} // namespace

void SchedulerCoreState::openAttempt(const std::string &jobId, const JobEntry &entry, StartState start, TimePoint now)
{
    OpenAttempt attempt;
    attempt.worker = entry.worker;
    attempt.number = entry.attempt;
    attempt.service = entry.spec.kind == Wire::TaskKind::Service;
    attempt.stopsWithoutLease = entry.spec.stopsWithoutLease;
    attempt.cancelRequested = entry.cancelRequested;
    attempt.start = start;
    attempt.openedAt = now;
    attempt.nextStartAt = now;
    leases.add(entry.worker, now);
    attemptsOn[entry.worker].insert(jobId);
    attempts.insert_or_assign(jobId, std::move(attempt));
}

void SchedulerCoreState::leaseAnswered(const std::string &worker, const LeaseResult &result, TimePoint sentAt, TimePoint now)
{
    if (!active()) {
        return;
    }
    if (!result.granted || result.status.leaseEpoch != ledger.term()) {
        // A higher epoch at a worker shows that there is a later claim, which this owner has not read yet.
        peerTerm = std::max(peerTerm, result.holderEpoch);
        leases.refused(worker, now);
        offerWorker(worker, now);
        return;
    }
    const WorkerStatus *previous = leases.status(worker);
    const bool restarted = previous && result.status.clock < previous->clock;
    if (!leases.granted(worker, result.status, sentAt, now)) {
        return;
    }
    if (restarted) {
        handleWorkerRestart(result.status);
    }
    std::map<std::pair<std::string, int>, const TaskStatus *> reported;
    for (const TaskStatus &task : result.status.tasks) {
        reported[{task.jobId, task.attempt}] = &task;
    }
    for (const std::string &jobId : attemptsOn[worker]) {
        OpenAttempt &attempt = attempts.at(jobId);
        const auto found = reported.find({jobId, attempt.number});
        if (found != reported.end()) {
            processTaskStatus(jobId, attempt, *found->second, result.status, now);
        } else {
            processMissingTask(jobId, attempt, result.status, sentAt);
        }
    }
    if (stopOrphanTasks(result.status)) {
        workersWithOrphans.insert(worker);
    } else {
        workersWithOrphans.erase(worker);
    }
    offerWorker(worker, now);
}

// A restarted worker's clock starts again, so deadlines in the old clock are no longer valid.
void SchedulerCoreState::handleWorkerRestart(const WorkerStatus &status)
{
    for (const std::string &jobId : attemptsOn[status.worker]) {
        OpenAttempt &attempt = attempts.at(jobId);
        if (attempt.notAfter) {
            attempt.notAfter = status.clock + MaximumCommandDelay;
            attempt.mayResend = attempt.start == StartState::NotSent;
        }
    }
    // The restarted worker no longer has its tasks.
    std::erase_if(lateStarts, [&](const auto &late) { return late.second.worker == status.worker; });
}

void SchedulerCoreState::processTaskStatus(const std::string &jobId, OpenAttempt &attempt, const TaskStatus &task, const WorkerStatus &status, TimePoint now)
{
    attempt.hasStatus = true;
    attempt.task = task;
    attempt.workerLeaving = status.leaving;
    if (attempt.start != StartState::Confirmed) {
        attempt.start = StartState::Confirmed;
        attempt.confirmedAt = now;
        // A previous owner may have throttled the task to an unknown speed. 0 makes this owner send its own target.
        attempt.confirmedSpeedPercent = task.state == TaskState::Throttled ? 0 : attempt.targetSpeedPercent;
    }
    if (attempt.eviction) {
        attempt.eviction->taskReported(task, now);
    }
    if (hasEnded(task.state)) {
        const JobEntry &entry = *ledger.job(jobId);
        if (task.state == TaskState::Finished) {
            setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::Finished, task.reason);
        } else if (task.state == TaskState::Failed) {
            setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::Failed, task.reason.empty() ? "the task failed" : task.reason);
        } else if (entry.cancelRequested) {
            setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::Cancelled, "cancelled");
        } else {
            setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::Evicted, attempt.eviction ? "evicted" : "stopped by the worker");
        }
        return;
    }
    if (attempt.end && !proposals.has(jobId)) {
        // The worker answered again before its loss was recorded, and its task has continued without a lease.
        attempt.end.reset();
    }
    UsageSample sample;
    sample.jobId = jobId;
    sample.usage = task.usage;
    sample.age = status.usageAge;
    sample.progress = task.progress;
    sample.hasCheckpoint = !task.checkpoint.empty();
    sample.serviceLatencyP99Us = task.serviceLatencyP99Us;
    engine->reportUsage(sample, now);
}

void SchedulerCoreState::processMissingTask(const std::string &jobId, OpenAttempt &attempt, const WorkerStatus &status, TimePoint sentAt)
{
    switch (attempt.start) {
    case StartState::NotSent:
        return;
    case StartState::Adopted:
        // The worker now rejects commands of previous owners, and it keeps ended tasks until their end is durable.
        setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::NotStarted, "the worker does not have the task");
        return;
    case StartState::Sent:
    case StartState::Undetermined:
        if (attempt.notAfter && status.clock > *attempt.notAfter) {
            setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::NotStarted, "the start command did not arrive in time");
        }
        return;
    case StartState::Confirmed:
        if (attempt.hasStatus || sentAt > attempt.confirmedAt) {
            setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::Lost, "the worker no longer has the task");
        }
        return;
    }
}

// Stops running tasks without an open attempt and lets the worker forget ended ones. Returns true if one of them still
// runs.
bool SchedulerCoreState::stopOrphanTasks(const WorkerStatus &status)
{
    std::erase_if(lateStarts, [&](const auto &late) { return late.second.worker == status.worker && status.clock > late.second.notAfter; });
    bool runs = false;
    for (const TaskStatus &task : status.tasks) {
        const JobEntry *entry = ledger.job(task.jobId);
        const bool undecided = entry ? entry->provisional : ledger.awaitsSnapshot(task.jobId);
        const bool open = entry && entry->state == JobState::Running && entry->attempt == task.attempt && entry->worker == status.worker;
        if (undecided || open) {
            continue;
        }
        if (hasEnded(task.state)) {
            if (lateStarts.contains({task.jobId, task.attempt})) {
                continue;
            }
            actions.emplace_back(ForgetTask{status.worker, ledger.term(), task.jobId, task.attempt});
            continue;
        }
        runs = true;
        actions.emplace_back(StopTask{status.worker, ledger.term(), task.jobId, task.attempt});
    }
    return runs;
}

OpenAttempt *SchedulerCoreState::findAttempt(const std::string &jobId, int number)
{
    const auto found = attempts.find(jobId);
    return found != attempts.end() && found->second.number == number ? &found->second : nullptr;
}

void SchedulerCoreState::commandAnswered(const SchedulerAction &command, CommandOutcome outcome, TimePoint now)
{
    const auto onStart = [&](const StartTask &start) {
        if (start.epoch == ledger.term()) {
            startAnswered(start, outcome, now);
        }
    };
    const auto onThrottle = [&](const SetThrottle &throttle) {
        OpenAttempt *attempt = throttle.epoch == ledger.term() ? findAttempt(throttle.jobId, throttle.attempt) : nullptr;
        if (!attempt || outcome != CommandOutcome::Executed) {
            return;
        }
        attempt->confirmedSpeedPercent = throttle.speedPercent;
        if (attempt->eviction) {
            attempt->eviction->throttleConfirmed(now);
        }
    };
    // The other commands are repeated until the worker's status shows their effect.
    std::visit(Overloaded{onStart, onThrottle, [](const auto &) {}}, command);
}

void SchedulerCoreState::startAnswered(const StartTask &command, CommandOutcome outcome, TimePoint now)
{
    OpenAttempt *attempt = findAttempt(command.spec.jobId, command.attempt);
    if (!attempt || attempt->start == StartState::Confirmed) {
        return;
    }
    attempt->nextStartAt = now + StartRepeatInterval;
    switch (outcome) {
    case CommandOutcome::Executed:
        attempt->start = StartState::Confirmed;
        attempt->confirmedAt = now;
        return;
    case CommandOutcome::Expired:
    case CommandOutcome::NoCapacity:
        refusedUntil[attempt->worker] = now + RefusalBackoff;
        if (attempt->mayHaveArrived) {
            // This command had no effect, but an earlier one may still be in flight.
            attempt->start = StartState::Undetermined;
            return;
        }
        setAttemptEnd(command.spec.jobId, *attempt, Wire::AttemptOutcome::NotStarted, "the worker refused the start");
        return;
    case CommandOutcome::Unreachable:
        attempt->start = attempt->mayHaveArrived ? StartState::Undetermined : StartState::NotSent;
        return;
    case CommandOutcome::StaleEpoch:
        leases.refused(attempt->worker, now);
        attempt->start = StartState::Undetermined;
        return;
    case CommandOutcome::UnknownTask:
    case CommandOutcome::Undetermined:
        attempt->mayHaveArrived = true;
        attempt->start = StartState::Undetermined;
        return;
    }
}

void SchedulerCoreState::setAttemptEnd(const std::string &jobId, OpenAttempt &attempt, Wire::AttemptOutcome::type outcome, const std::string &reason)
{
    // An end that has been proposed is kept. A loss that has not been proposed yet is replaced by the outcome that the
    // worker reports.
    if (attempt.end && (proposals.has(jobId) || attempt.end->outcome != Wire::AttemptOutcome::Lost)) {
        return;
    }
    Wire::AttemptEnded end;
    end.term = ledger.term();
    end.jobId = jobId;
    end.attempt = attempt.number;
    end.outcome = outcome;
    end.checkpoint = attempt.hasStatus ? attempt.task.checkpoint : std::string();
    end.reason = reason;
    attempt.end = std::move(end);
}

void SchedulerCoreState::attemptEnded(const Wire::AttemptEnded &end, TimePoint now)
{
    const auto found = attempts.find(end.jobId);
    if (found == attempts.end()) {
        return;
    }
    OpenAttempt &attempt = found->second;
    if (attempt.eviction) {
        attempt.eviction->endRecorded(now);
    }
    if (end.outcome == Wire::AttemptOutcome::Finished) {
        engine->reportSuccess(end.jobId, attempt.worker, now);
    } else if (end.outcome == Wire::AttemptOutcome::Failed) {
        engine->reportFailure(end.jobId, attempt.worker, now);
    }
    const bool startUnderWay = attempt.mayHaveArrived || attempt.start == StartState::Sent;
    if (startUnderWay && attempt.notAfter) {
        lateStarts[{end.jobId, end.attempt}] = {attempt.worker, *attempt.notAfter};
    } else if (attempt.hasStatus && hasEnded(attempt.task.state) && leases.held(attempt.worker, now)) {
        actions.emplace_back(ForgetTask{attempt.worker, ledger.term(), end.jobId, end.attempt});
    }
    if (end.outcome == Wire::AttemptOutcome::Lost) {
        // A task that needs no lease may continue. Nothing is placed on the worker until its status shows that the task
        // has stopped.
        workersWithOrphans.insert(attempt.worker);
    }
    attemptsOn[attempt.worker].erase(end.jobId);
    attempts.erase(found);
}

void SchedulerCoreState::sendRenewals(TimePoint now)
{
    for (const LeaseRenewal &renewal : leases.dueRenewals(now)) {
        actions.emplace_back(RenewLease{renewal.worker, ledger.term(), renewal.duration, renewal.notAfter});
    }
}

void SchedulerCoreState::handleLostWorkers(TimePoint now)
{
    for (const std::string &worker : leases.takeLostWorkers(now)) {
        for (const std::string &jobId : attemptsOn[worker]) {
            OpenAttempt &attempt = attempts.at(jobId);
            const bool neverSent = attempt.start == StartState::NotSent;
            setAttemptEnd(jobId, attempt, neverSent ? Wire::AttemptOutcome::NotStarted : Wire::AttemptOutcome::Lost, "the worker's lease lapsed");
        }
    }
}

bool SchedulerCoreState::mustEvict(const OpenAttempt &attempt, bool isDraining) const
{
    return !attempt.service && (!domainInService || isDraining || attempt.workerLeaving);
}

void SchedulerCoreState::driveAttempts(TimePoint now)
{
    const bool isDraining = draining(now);
    for (auto &[jobId, attempt] : attempts) {
        // Almost all attempts need no action. At the scale that the system is designed for, a look-up for each of them
        // in every tick takes 20 ms.
        if (needsNoAction(attempt) && !mustEvict(attempt, isDraining)) {
            continue;
        }
        const JobEntry &entry = *ledger.job(jobId);
        if (attempt.end) {
            proposeEnd(jobId, attempt, now);
            continue;
        }
        if (attempt.start != StartState::Confirmed) {
            driveStart(jobId, attempt, entry, now);
        }
        if (!leases.held(attempt.worker, now) || attempt.start != StartState::Confirmed) {
            continue;
        }
        if (entry.cancelRequested) {
            driveStop(jobId, attempt, now);
            continue;
        }
        if (!attempt.eviction && mustEvict(attempt, isDraining)) {
            attempt.eviction.emplace(EvictionOptions(), entry.spec.acceptsCheckpoint, now);
        }
        if (attempt.eviction) {
            driveEviction(jobId, attempt, now);
        } else {
            driveThrottle(jobId, attempt, now);
        }
    }
}

void SchedulerCoreState::driveStart(const std::string &jobId, OpenAttempt &attempt, const JobEntry &entry, TimePoint now)
{
    const bool sendable = attempt.start == StartState::NotSent || attempt.start == StartState::Undetermined;
    if (!sendable) {
        return;
    }
    if (attempt.start == StartState::NotSent) {
        if (entry.cancelRequested) {
            setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::Cancelled, "cancelled");
            return;
        }
        if (!domainInService || draining(now) || leases.lost(attempt.worker) || now - attempt.openedAt > StartTimeout) {
            setAttemptEnd(jobId, attempt, Wire::AttemptOutcome::NotStarted, "the start was not possible in time");
            return;
        }
    }
    if (now < attempt.nextStartAt || !leases.responsive(attempt.worker, now) || !permitValid(now)) {
        return;
    }
    if (entry.cancelRequested || !domainInService || (attempt.start == StartState::Undetermined && !attempt.mayResend)) {
        return;
    }
    const TimePoint permitEnd = *configVerifiedAt + options.permitDuration;
    if (!attempt.mayHaveArrived) {
        const auto deadline = leases.clockNoLaterThan(attempt.worker, permitEnd);
        if (!deadline || permitEnd - now < MinimumPermitLeft) {
            return;
        }
        attempt.notAfter = deadline;
    }
    attempt.start = StartState::Sent;
    StartTask command;
    command.worker = attempt.worker;
    command.epoch = ledger.term();
    command.spec = entry.spec;
    command.attempt = attempt.number;
    command.checkpoint = entry.checkpoint;
    command.notAfter = *attempt.notAfter;
    actions.emplace_back(std::move(command));
}

void SchedulerCoreState::driveStop(const std::string &jobId, OpenAttempt &attempt, TimePoint now)
{
    if (attempt.stopSentAt && now - *attempt.stopSentAt < RepeatInterval) {
        return;
    }
    attempt.stopSentAt = now;
    actions.emplace_back(StopTask{attempt.worker, ledger.term(), jobId, attempt.number});
}

void SchedulerCoreState::driveEviction(const std::string &jobId, OpenAttempt &attempt, TimePoint now)
{
    constexpr int EvictionSpeedPercent = 50; // leaves the task enough processor time to write its checkpoint
    const std::optional<EvictionStep> command = attempt.eviction->dueCommand(now);
    if (!command) {
        return;
    }
    if (*command == EvictionStep::Throttle) {
        actions.emplace_back(SetThrottle{attempt.worker, ledger.term(), jobId, attempt.number, EvictionSpeedPercent});
    } else if (*command == EvictionStep::Checkpoint) {
        actions.emplace_back(RequestCheckpoint{attempt.worker, ledger.term(), jobId, attempt.number});
    } else {
        actions.emplace_back(StopTask{attempt.worker, ledger.term(), jobId, attempt.number});
    }
}

void SchedulerCoreState::driveThrottle(const std::string &jobId, OpenAttempt &attempt, TimePoint now)
{
    if (attempt.targetSpeedPercent == attempt.confirmedSpeedPercent) {
        return;
    }
    if (attempt.throttleSentAt && now - *attempt.throttleSentAt < RepeatInterval) {
        return;
    }
    attempt.throttleSentAt = now;
    actions.emplace_back(SetThrottle{attempt.worker, ledger.term(), jobId, attempt.number, attempt.targetSpeedPercent});
}

void SchedulerCoreState::proposeEnd(const std::string &jobId, const OpenAttempt &attempt, TimePoint now)
{
    if (!logReachable(now) || !proposals.mayPropose(jobId, now)) {
        return;
    }
    Wire::Record record;
    record.__set_attemptEnded(*attempt.end);
    propose(jobId, std::move(record), now);
}

} // namespace Hyssop::Internal
