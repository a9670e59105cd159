#include "dispatcher.h"

#include "idlecapacitypolicy.h"
#include "listedrun.h"

#include <utils/overloaded.h>

#include <algorithm>
#include <set>

namespace Hyssop {

namespace Internal {

constexpr std::chrono::milliseconds MaximumPollWait{600};
constexpr std::chrono::milliseconds MaximumOverTargetPollWait{400};
constexpr std::chrono::milliseconds IdlePollInterval{1000};
constexpr std::chrono::milliseconds FailedPollBackoff{200};
// Regular and repeated polls of a worker that are not answered.
constexpr int MaximumOpenPolls = 12;
// A worker that has not answered so many polls is likely to be lost, and is polled less often.
constexpr int MaximumQuickPolls = 8;
constexpr std::chrono::milliseconds LongRepeatInterval{300};
// Until a record is durable that permits a lease.
constexpr std::chrono::milliseconds WithheldLeaseInterval{40};
// Run ends are listed again until they are durable and acknowledged, so a poll before that does not wait for the next end.
constexpr std::chrono::milliseconds PendingEndsInterval{80};
// The same if no run is expected to end before.
constexpr std::chrono::milliseconds LongPendingEndsInterval{180};
constexpr std::chrono::milliseconds StopRepeatInterval{400};
constexpr std::chrono::milliseconds StallTimeout{4000};
constexpr int StallEstimateDivisor = 10;
constexpr std::chrono::milliseconds OrphanStopInterval{500};
constexpr std::chrono::milliseconds OrphanStopRetention{10000};
// Progress in percent that is needed to estimate the end of a run.
constexpr int MinimumProgress = 10;
// Reported tail latencies cover half a second, so a change takes full effect in the reports only after this time.
constexpr std::chrono::milliseconds TailReportWindow{500};
constexpr std::chrono::milliseconds SpeedChangeInterval{250};
// If a serving task exceeds its target for this long, all best-effort runs are paused, whatever the model predicts.
constexpr std::chrono::milliseconds MaximumTimeOverTarget{1200};
// A checkpointable run that is paused for this long is stopped, to resume on another worker.
constexpr std::chrono::milliseconds MaximumPause{700};
// Longest wait for the report of a worker that lives after its lease has expired. A run that has ended by then may have completed.
constexpr std::chrono::milliseconds ReportGrace{6000};
// Registrations in this time after the beginning of a term were made earlier and are not reported.
constexpr std::chrono::milliseconds WorkerListingTime{2000};

/// Returns the time until @p run is expected to end, according to the report at @p now that lists it.
static Duration timeToExpectedEnd(const ListedRun &run, TimePoint now)
{
    if (run.task == nullptr || run.task->phase != TaskPhase::Running) {
        return Duration(0); // it is being stopped, or nothing is known about it
    }
    if (run.step->longRunning) {
        return Duration::max();
    }
    const int progress = std::clamp(run.report->progressPercent, 0, 100);
    const bool hasRate = progress >= MinimumProgress;
    return hasRate ? (now - run.task->confirmedAt) * (100 - progress) / progress : std::chrono::milliseconds(run.step->estimateMs) * (100 - progress) / 100;
}

/// Returns after which time a worker that lists ends that are not durable is polled again.
static Duration pendingEndsInterval(const WorkerState &worker, const std::vector<ListedRun> &listed, TimePoint now)
{
    if (worker.runs.size() > listed.size()) {
        return PendingEndsInterval; // nothing is known about the progress of the others
    }
    Duration untilNextEnd = LongPendingEndsInterval;
    for (const ListedRun &run : listed) {
        untilNextEnd = std::min(untilNextEnd, timeToExpectedEnd(run, now));
    }
    return std::max(untilNextEnd, Duration(PendingEndsInterval));
}

} // namespace Internal

void Dispatcher::reportWorkerChanges(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        const bool isDraining = worker.registered && worker.info.draining;
        if (worker.registered && !worker.toldRegistered && now - m_termBeganAt >= Internal::WorkerListingTime) {
            m_actions.emplace_back(WorkerRegistered{id, worker.info.address, worker.info.failureDomain, worker.runs.size()});
        }
        if (isDraining && !worker.toldDraining) {
            m_actions.emplace_back(WorkerDraining{id, worker.info.drainRemaining, worker.runs.size()});
        }
        if (!worker.registered && worker.toldRegistered) {
            m_actions.emplace_back(WorkerUnregistered{id, worker.failedPolls, worker.runs.size(), worker.sinceReport(now)});
        }
        const int quarantines = worker.health.consecutiveQuarantines();
        if (quarantines > worker.toldQuarantines) {
            const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(worker.health.quarantinedUntil() - now);
            m_actions.emplace_back(WorkerQuarantined{id, quarantines, remaining, worker.runs.size()});
        } else if (quarantines < worker.toldQuarantines) {
            m_actions.emplace_back(WorkerSoundAgain{id, worker.runs.size()});
        }
        worker.toldRegistered = worker.registered;
        worker.toldDraining = isDraining;
        worker.toldQuarantines = quarantines;
    }
}

void Dispatcher::reportUnreachable(const WorkerState &worker, const std::string &reason, TimePoint now)
{
    const Duration untilLeaseEnd = std::max(worker.leaseEnd - now, Duration(0));
    m_actions.emplace_back(WorkerUnreachable{worker.info.id,
                                             reason,
                                             worker.polls.sentSinceReport,
                                             worker.runs.size(),
                                             worker.sinceReport(now),
                                             std::chrono::duration_cast<std::chrono::milliseconds>(untilLeaseEnd)});
}

void Dispatcher::removeUnregisteredWorkers()
{
    std::erase_if(m_workers, [this](const auto &item) {
        const WorkerState &worker = item.second;
        const bool isRemovable = !worker.registered && worker.runs.empty() && worker.polls.open == 0;
        if (isRemovable) {
            m_removedWorkersRises.record(item.first, worker.tokenRises);
            m_workersById.erase(item.first);
        }
        return isRemovable;
    });
}

void Dispatcher::expireLeases(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        // The reports of a worker that answers are more reliable than the estimated end of its lease.
        if (worker.isResponding() || now <= worker.leaseEnd) {
            continue;
        }
        // Its entry shows that the worker lives, so it is likely to report soon how its runs have ended.
        const bool awaitsReport = worker.registered && now - worker.leaseEnd <= Internal::ReportGrace;
        const auto runs = runsWith(
            worker, [&](const TaskId &task, const TaskExecution &run) { return run.phase != TaskPhase::Assigned && (!awaitsReport || isServingTask(task)); });
        if (!runs.empty()) {
            m_actions.emplace_back(WorkerLeaseExpired{id, worker.failedPolls, runs.size()});
        }
        for (const TaskId &task : runs) {
            endRun(task, *m_jobs.task(task), RunEndReason::LeaseExpired, {}, now, RunEndEvidence::LeaseExpired);
        }
        std::vector<TaskId> unknown;
        for (const auto &[task, profile] : worker.runs) {
            if (m_jobs.task(task) == nullptr) {
                unknown.push_back(task);
            }
        }
        for (const TaskId &task : unknown) {
            worker.removeRun(task);
        }
    }
}

void Dispatcher::pollWorkers(TimePoint now, TickScope scope)
{
    std::vector<WorkerState *> overdue;
    for (auto &[id, worker] : m_workers) {
        if (worker.info.address.empty() || (scope == TickScope::Urgent && !worker.hasUrgentRuns())) {
            continue;
        }
        if (!worker.polls.isRegularOpen() && now >= worker.nextPoll) {
            sendPoll(worker, now);
        } else if (isRepeatedPollDue(worker, now)) {
            overdue.push_back(&worker);
        }
    }
    // Workers that are lost must not use up the polls that others need to prove that they are not.
    std::ranges::stable_sort(overdue, {}, [](const WorkerState *worker) { return worker->polls.sentSinceReport; });
    for (WorkerState *worker : overdue) {
        if (!m_repeatedPolls.take(now)) {
            return;
        }
        repeatPoll(*worker, now);
    }
}

PollCommand Dispatcher::makePoll(WorkerState &worker, TimePoint now)
{
    ++worker.polls.open;
    ++worker.polls.sentSinceReport;
    worker.polls.lastSentAt = now;
    worker.polls.isReportRequested = false;
    PollCommand poll;
    poll.worker = addressOf(worker);
    poll.number = ++m_lastPoll;
    poll.fencingToken = tokenFor(worker);
    return poll;
}

void Dispatcher::sendPoll(WorkerState &worker, TimePoint now)
{
    const bool isReportRequested = worker.polls.isReportRequested;
    const bool acknowledges = canAcknowledgeEnds(worker, now);
    PollCommand poll = makePoll(worker, now);
    poll.acknowledgedSequence = acknowledges ? worker.durableEndSequence : 0;
    worker.acknowledgementPending = acknowledges;
    // The lease of a worker that does not answer is not renewed, so that its runs end after a bounded time.
    if (worker.clock && worker.failedPolls == 0 && !worker.isLeaseWithheld) {
        worker.polledLeaseEnd = m_leasePolicy.latestLeaseEnd(now, m_confirmedAt);
        const WorkerTime leaseEnd = worker.clock->readingAt(*worker.polledLeaseEnd);
        poll.leaseEnd = leaseEnd;
        worker.polls.leaseEnd = leaseEnd;
        worker.leaseEnd = std::max(worker.leaseEnd, worker.clock->latestTimeOf(leaseEnd));
        const bool listsNewEndsOnly = acknowledges || !worker.hasEndsToAcknowledge();
        const bool waits = worker.hasAnswered && !worker.runs.empty() && worker.processedEndSequence == worker.durableEndSequence && listsNewEndsOnly;
        const auto maximumWait = worker.overTargetSince ? Internal::MaximumOverTargetPollWait : Internal::MaximumPollWait;
        poll.wait = waits && !isReportRequested ? maximumWait : std::chrono::milliseconds(0);
    }
    poll.responseTimeout = m_responseTimeouts.pollTimeout(!worker.isResponding(), now);
    worker.polls.regular = poll.number;
    worker.polls.overdueAt = now + poll.wait + m_responseTimes.usualTime();
    m_actions.emplace_back(std::move(poll));
}

bool Dispatcher::isRepeatedPollDue(const WorkerState &worker, TimePoint now) const
{
    const bool isWanted = worker.polls.isReportRequested || now >= worker.polls.overdueAt;
    if (!worker.polls.isRegularOpen() || !isWanted || worker.polls.open >= Internal::MaximumOpenPolls) {
        return false;
    }
    const Duration usualTime = m_responseTimes.usualTime();
    const bool isSilent = worker.polls.sentSinceReport >= Internal::MaximumQuickPolls;
    const Duration interval = isSilent ? std::max<Duration>(usualTime, Internal::LongRepeatInterval) : usualTime;
    return now - worker.polls.lastSentAt >= interval;
}

void Dispatcher::repeatPoll(WorkerState &worker, TimePoint now)
{
    PollCommand poll = makePoll(worker, now);
    poll.isRepeated = true;
    if (worker.failedPolls == 0 && !worker.isLeaseWithheld) {
        poll.leaseEnd = worker.polls.leaseEnd;
    }
    // A late response still shows the state of the worker, and how late the responses are.
    poll.responseTimeout = m_responseTimeouts.pollTimeout(true, now);
    m_actions.emplace_back(std::move(poll));
}

void Dispatcher::requestReport(WorkerState &worker, TimePoint now)
{
    worker.polls.isReportRequested = true;
    if (worker.failedPolls == 0) {
        worker.nextPoll = std::min(worker.nextPoll, now);
    }
}

void Dispatcher::abandonPoll(WorkerState &worker)
{
    if (worker.polls.isRegularOpen()) {
        // The next process may execute it late, and would then grant a lease on another clock or forget ends that are not durable.
        raiseToken(worker);
    }
    worker.acknowledgementPending = false;
    worker.polls.regular = 0;
    worker.polledLeaseEnd.reset();
}

void Dispatcher::recordPollResponse(const PollCommand &command, TimePoint sentAt, TimePoint now)
{
    m_responseTimeouts.recordResponse(now - sentAt - command.wait, now);
    m_responseTimes.recordResponse(now - sentAt, command.wait);
    m_repeatedPolls.recordResponse(command.isRepeated);
}

void Dispatcher::handlePollFailure(WorkerState &worker, const std::string &reason, TimePoint now)
{
    if (worker.failedPolls++ == 0) {
        reportUnreachable(worker, reason, now);
        // The worker may be restarting: its next incarnation has to reject commands that were sent to this one.
        raiseToken(worker);
    }
    worker.nextPoll = now + Internal::FailedPollBackoff;
    abandonPoll(worker);
}

void Dispatcher::handlePollRejection(WorkerState &worker, const PollCommand &poll, const CommandRejected &rejection, TimePoint sentAt, TimePoint now)
{
    const std::string &id = worker.info.id;
    if (isOvertaken(id, poll.fencingToken, rejection)) {
        worker.nextPoll = now; // the worker responds, and the next poll has a higher token
        return;
    }
    handleFencing(id, poll.fencingToken, rejection);
    handlePollFailure(worker, rejection.detail, now);
    // An entry of another writer may name any address; what answers there says nothing about this worker.
    if (rejection.reason == RejectionReason::WrongWorker && poll.worker.address == worker.reportedAddress) {
        endRunsOfEndedProcess(worker, sentAt, now); // the address belongs to another worker now: this one is gone
    }
}

void Dispatcher::pollAnswered(const PollCommand &command, const PollResult &result, TimePoint sentAt, TimePoint now)
{
    WorkerState *worker = findWorker(command.worker.id);
    if (worker == nullptr || !isOfThisTerm(command.fencingToken)) {
        return;
    }
    worker->polls.open = std::max(worker->polls.open - 1, 0); // 0: the worker was removed and added meanwhile
    const bool isRegular = command.number == worker->polls.regular;
    // The failure of another poll shows nothing if a report was received after it was sent.
    const bool isNews = isRegular || sentAt >= worker->lastReportAt;
    if (isRegular) {
        worker->polls.regular = 0;
        worker->polledLeaseEnd.reset();
        worker->acknowledgementPending = false;
    }
    std::visit(Overloaded{
                   [&](const WorkerReport &report) {
                       recordPollResponse(command, sentAt, now);
                       worker->reportedAddress = command.worker.address;
                       m_commandWindow.handleOtherResponse(sentAt);
                       handleReport(*worker, command, report, sentAt, now);
                   },
                   [&](const CommandRejected &rejection) {
                       recordPollResponse(command, sentAt, now);
                       if (isNews) {
                           handlePollRejection(*worker, command, rejection, sentAt, now);
                       }
                   },
                   [&](const WorkerNotListening &refusal) {
                       if (isNews) {
                           handlePollFailure(*worker, refusal.reason, now);
                           worker->refusesConnections = command.worker.address == worker->reportedAddress;
                       }
                   },
                   [&](const auto &undelivered) {
                       if (isRegular) {
                           handlePollFailure(*worker, undelivered.reason, now);
                       }
                   },
               },
               result);
}

void Dispatcher::handleReport(WorkerState &worker, const PollCommand &poll, const WorkerReport &report, TimePoint sentAt, TimePoint now)
{
    m_earlierLeases.handleReport(worker.info.id);
    if (worker.isLateReport(report.processStartedAt, sentAt)) {
        worker.nextPoll = now;
        return;
    }
    if (worker.isOvertakenReport(report, sentAt)) {
        if (report.processStartedAt != worker.processStartedAt) {
            requestReport(worker, now); // tells which process is the current one
        }
        return;
    }
    if (worker.isUnreachable()) {
        m_actions.emplace_back(WorkerReachableAgain{worker.info.id, worker.failedPolls, worker.runs.size(), worker.sinceReport(now)});
    }
    worker.failedPolls = 0;
    worker.refusesConnections = false;
    worker.previousReportAt = std::exchange(worker.lastReportAt, now);
    worker.polls.sentSinceReport = 0;
    if (worker.polls.isRegularOpen() && now >= worker.polls.overdueAt) {
        abandonPoll(worker); // the next one renews the lease
    }
    if (isFromNextProcess(worker, report)) {
        handleWorkerRestart(worker, report, sentAt, now);
    }
    worker.processStartedAt = report.processStartedAt;
    worker.clock = WorkerClock{report.clock, now};
    worker.listedEnds = report.ends.size();
    worker.acknowledgedEndSequence = std::min(std::max(worker.acknowledgedEndSequence, poll.acknowledgedSequence), worker.durableEndSequence);
    for (const ReportedRunEnd &end : report.ends) {
        handleEndedRun(worker, end, now);
    }
    ++worker.reports;
    std::vector<ListedRun> listed;
    listed.reserve(report.runs.size());
    for (const ReportedRun &run : report.runs) {
        listed.push_back(listedRun(worker, run));
        handleReportedRun(worker, listed.back(), now);
    }
    findMissingRuns(worker, poll, report, sentAt, now);
    std::erase_if(worker.orphanStops, [&](const auto &item) { return now - item.second > Internal::OrphanStopRetention; });
    adjustSpeeds(worker, listed, now);
    worker.nextPoll = now;
    if (!worker.hasAnswered) {
        worker.hasAnswered = true;
    } else if (worker.processedEndSequence != worker.durableEndSequence) {
        worker.nextPoll = now + Internal::pendingEndsInterval(worker, listed, now);
    } else if (worker.hasEndsToAcknowledge() && !canAcknowledgeEnds(worker, now)) {
        worker.nextPoll = now + acknowledgementDelay(worker, now);
    } else if (worker.runs.empty()) {
        worker.nextPoll = now + Internal::IdlePollInterval;
    }
    if (!worker.overTargetSince) {
        worker.nextPoll = std::max(worker.nextPoll, earliestPoll(worker, now));
    }
    if (worker.isLeaseWithheld) {
        worker.nextPoll = std::max(worker.nextPoll, now + Internal::WithheldLeaseInterval);
    }
}

TimePoint Dispatcher::earliestPoll(const WorkerState &worker, TimePoint now) const
{
    TimePoint earliest = now + m_lateness.minimumPollInterval();
    if (!worker.hasUrgentRuns() || earliest == now) {
        return earliest;
    }
    for (const auto &[id, run] : worker.runs) {
        if (run.isUrgent && run.expectedEnd != TimePoint()) {
            earliest = std::min(earliest, std::max(run.expectedEnd, now));
        }
    }
    return earliest;
}

bool Dispatcher::isFromNextProcess(const WorkerState &worker, const WorkerReport &report)
{
    if (worker.processStartedAt.count() != 0 && report.processStartedAt.count() != 0) {
        return report.processStartedAt != worker.processStartedAt;
    }
    // The clock of a process never goes back, and reports that may have been overtaken are not handled.
    return worker.clock && report.clock < worker.clock->reading;
}

void Dispatcher::handleWorkerRestart(WorkerState &worker, WorkerTime reading, TimePoint now)
{
    m_actions.emplace_back(WorkerRestarted{worker.info.id, reading, worker.clock ? worker.clock->readingAt(now) : WorkerTime(0), worker.runs.size()});
    endRunsOfPreviousProcess(worker, {}, TimePoint(), now); // a start that was confirmed may have been executed by the next process
}

void Dispatcher::handleWorkerRestart(WorkerState &worker, const WorkerReport &report, TimePoint sentAt, TimePoint now)
{
    m_actions.emplace_back(WorkerRestarted{worker.info.id, report.clock, worker.clock ? worker.clock->readingAt(now) : WorkerTime(0), worker.runs.size()});
    std::set<std::pair<TaskId, int>> listed;
    for (const ReportedRun &run : report.runs) {
        listed.emplace(run.task, run.run);
    }
    for (const ReportedRunEnd &end : report.ends) {
        listed.emplace(end.task, end.run);
    }
    endRunsOfPreviousProcess(worker, listed, sentAt, now);
}

void Dispatcher::awaitLeasesOfLatePolls(WorkerState &worker, TimePoint now) const
{
    worker.leaseEnd = std::max(worker.leaseEnd, now + m_limits.maximumLease * 100 / WorkerClock::SlowestPercent);
}

void Dispatcher::endRunsOfPreviousProcess(WorkerState &worker, const std::set<std::pair<TaskId, int>> &kept, TimePoint confirmedUntil, TimePoint now)
{
    worker.polls.leaseEnd.reset(); // a time on the clock of the previous process
    worker.processedEndSequence = 0;
    worker.durableEndSequence = 0;
    worker.acknowledgedEndSequence = 0;
    worker.endedProcessStartedAt = std::max(worker.endedProcessStartedAt, worker.processStartedAt);
    worker.processEndKnownAt = now;
    ++worker.endedProcesses;
    abandonPoll(worker);
    raiseToken(worker);
    awaitLeasesOfLatePolls(worker, now);
    // The next process may execute a start that is not answered, or has executed one of several.
    const auto isLost = [&](const TaskExecution &task) {
        const bool onlyPrevious = task.listed && task.startsSent == 1;
        return !task.startPending && (onlyPrevious || task.confirmedAt <= confirmedUntil);
    };
    const auto runs = worker.runs;
    for (const auto &[id, profile] : runs) {
        TaskExecution *task = m_jobs.task(id);
        if (task == nullptr) {
            worker.removeRun(id);
            continue;
        }
        const bool isLostRun = isLost(*task);
        task->listed = kept.contains({id, task->run});
        if (task->listed) {
            continue;
        }
        if (task->phase == TaskPhase::Running && isLostRun) {
            endRun(id, *task, RunEndReason::LeaseExpired, {}, now, RunEndEvidence::WorkerRestarted);
        } else if (task->phase != TaskPhase::Assigned) {
            beginStop(id, *task, StopReason::WorkerRestarted, now); // the start command may still reach the restarted worker, or has reached it
        }
    }
}

void Dispatcher::handleEndedRun(WorkerState &worker, const ReportedRunEnd &end, TimePoint now)
{
    if (end.sequence <= worker.processedEndSequence) {
        return;
    }
    worker.processedEndSequence = end.sequence;
    TaskExecution *task = m_jobs.task(end.task);
    if (task == nullptr || task->phase == TaskPhase::Done) {
        return;
    }
    if (task->isOpen() && task->worker == worker.info.id && task->run == end.run) {
        stageDelaysOf(end.task).ends.add(now - std::max(worker.previousReportAt, task->confirmedAt));
        endRun(end.task, *task, end.endReason, end.checkpoint, now, RunEndEvidence::Report);
        return;
    }
    // An earlier owner may have counted a failure that is still listed.
    const bool counts = end.endReason == RunEndReason::Completed || (end.endReason == RunEndReason::Failed && end.run == task->unreportedRun);
    if (counts && isWithoutLaterRun(*task, end.run)) {
        acceptLateEnd(worker, end, *task, now);
    } else if (counts && end.run < task->run) {
        m_actions.emplace_back(LateEndIgnored{end.task, end.run, worker.info.id, task->run, task->worker});
    }
}

bool Dispatcher::isWithoutLaterRun(const TaskExecution &task, int endedRun)
{
    const bool isAssignedAgain = task.phase == TaskPhase::Assigned && endedRun < task.run;
    return isAssignedAgain || (task.phase == TaskPhase::Pending && endedRun <= task.run);
}

void Dispatcher::acceptLateEnd(WorkerState &worker, const ReportedRunEnd &end, TaskExecution &task, TimePoint now)
{
    if (task.phase == TaskPhase::Assigned) {
        m_actions.emplace_back(StartWithdrawn{end.task, task.run, task.worker});
        requeue(end.task, task, now);
    }
    task.unreportedRun = 0;
    task.worker = worker.info.id;
    endRun(end.task, task, end.endReason, end.checkpoint, now, RunEndEvidence::Report);
}

ListedRun Dispatcher::listedRun(WorkerState &worker, const ReportedRun &run)
{
    ListedRun listed;
    listed.report = &run;
    if (JobExecution *job = m_jobs.find(run.task.job)) {
        listed.task = job->findTask(run.task);
        listed.step = listed.task != nullptr ? &job->step(run.task.step) : nullptr;
    }
    const auto profile = worker.runs.find(run.task);
    if (profile != worker.runs.end()) {
        profile->second.listedIn = worker.reports;
        listed.profile = &profile->second;
    }
    return listed;
}

void Dispatcher::handleReportedRun(WorkerState &worker, const ListedRun &run, TimePoint now)
{
    const ReportedRun &report = *run.report;
    TaskExecution *task = run.task;
    const bool isExpected = task != nullptr && task->isOpen() && task->worker == worker.info.id && task->run == report.run;
    if (!isExpected) {
        stopOrphan(worker, report, now);
        return;
    }
    task->startConfirmed = true;
    task->listed = true;
    if (!report.checkpoint.empty()) {
        task->checkpoint = report.checkpoint;
    }
    if (task->phase == TaskPhase::Starting) {
        task->phase = TaskPhase::Running;
        task->phaseSince = now;
        task->confirmedAt = now;
        task->withoutRunSince.reset();
        worker.health.reportAcceptedStart();
        markStarted(report.task);
        setInitialSpeed(report.task, *task, now);
    }
    if (task->phase == TaskPhase::Stopping && now - task->phaseSince > Internal::StopRepeatInterval) {
        task->phaseSince = now;
        sendStop(report.task, *task);
    }
    updateProgress(worker, run, now);
}

void Dispatcher::updateProgress(WorkerState &worker, const ListedRun &run, TimePoint now)
{
    const ReportedRun &report = *run.report;
    const Wire::TaskStep &step = *run.step;
    TaskExecution &task = *run.task;
    task.load = report.load;
    updateExpectedEnd(run, now);
    if (report.progressPercent != task.progressPercent) {
        task.progressPercent = report.progressPercent;
        task.progressSince = now;
        if (step.longRunning && report.progressPercent >= 100) {
            worker.health.reportSuccess(report.task); // a serving task never completes
            if (JobExecution *job = m_jobs.find(report.task.job)) {
                job->hasFailedLately = false;
            }
        }
        return;
    }
    const bool servesAtFullSpeed = step.longRunning && report.progressPercent >= 100;
    // Progress is reported in percent, and a long task needs longer for each.
    const auto stallTimeout = std::max(Internal::StallTimeout, std::chrono::milliseconds(step.estimateMs / Internal::StallEstimateDivisor));
    if (servesAtFullSpeed || task.mayBeThrottled() || task.phase != TaskPhase::Running || now - task.progressSince < stallTimeout) {
        return;
    }
    worker.health.reportStall(report.task, now);
    beginStop(report.task, task, StopReason::Stalled, now);
}

void Dispatcher::updateExpectedEnd(const ListedRun &run, TimePoint now)
{
    if (run.profile == nullptr || (!run.profile->isBestEffort && !run.profile->isUrgent)) {
        return;
    }
    TaskExecution &task = *run.task;
    const int progressPercent = run.report->progressPercent;
    run.profile->expectedEnd = TimePoint();
    if (run.profile->isUrgent) {
        // Urgent runs are short: most have few reports before their end.
        if (progressPercent > 0 && task.confirmedAt != TimePoint()) {
            run.profile->expectedEnd = now + (now - task.confirmedAt) * (100 - progressPercent) / progressPercent;
        }
        return;
    }
    if (task.firstProgressPercent < 0) {
        task.firstProgressPercent = progressPercent;
        task.firstProgressAt = now;
    }
    const int progress = progressPercent - task.firstProgressPercent;
    if (progress >= Internal::MinimumProgress && task.phase == TaskPhase::Running && !task.mayBeThrottled()) {
        run.profile->expectedEnd = now + (now - task.firstProgressAt) * (100 - progressPercent) / progress;
    }
}

void Dispatcher::findMissingRuns(WorkerState &worker, const PollCommand &poll, const WorkerReport &report, TimePoint sentAt, TimePoint now)
{
    const bool listsAllRuns = worker.listsAllEnds() && report.malformedRuns == 0;
    std::vector<TaskId> missing;
    for (const auto &[id, profile] : worker.runs) {
        if (profile.listedIn != worker.reports) {
            missing.push_back(id);
        }
    }
    for (const TaskId &id : missing) {
        TaskExecution *task = m_jobs.task(id);
        if (task == nullptr) {
            worker.removeRun(id);
            continue;
        }
        const bool adopted = task->phase == TaskPhase::Starting && task->startsSent == 0;
        const bool undetermined = task->phase == TaskPhase::Starting && !adopted && !task->startPending && task->phaseSince <= sentAt;
        const bool ran = task->phase == TaskPhase::Running && task->confirmedAt <= sentAt;
        const bool stopped = task->phase == TaskPhase::Stopping && task->stopConfirmed && task->confirmedAt <= sentAt;
        const bool isAbandoned = (task->phase == TaskPhase::Stopping && !task->startPending) || (undetermined && !canRepeatStart(*task));
        if (listsAllRuns && (adopted || ((ran || stopped) && !task->startPending))) {
            endRun(id, *task, RunEndReason::LeaseExpired, {}, now, RunEndEvidence::MissingInReport);
        } else if (listsAllRuns && isAbandoned && areStartsFenced(*task, poll, report)) {
            endRun(id, *task, RunEndReason::LeaseExpired, {}, now, RunEndEvidence::FencedOff);
        } else if (undetermined) {
            handleUnlistedStart(id, *task, listsAllRuns, now);
        } else if (task->phase == TaskPhase::Stopping && now - task->phaseSince > Internal::StopRepeatInterval) {
            task->phaseSince = now;
            sendStop(id, *task);
        }
    }
}

void Dispatcher::stopOrphan(WorkerState &worker, const ReportedRun &run, TimePoint now)
{
    TimePoint &lastStop = worker.orphanStops[run.task];
    if (now - lastStop < Internal::OrphanStopInterval) {
        return;
    }
    lastStop = now;
    m_actions.emplace_back(StopCommand{addressOf(worker), run.task, run.run, tokenFor(worker), StopReason::Orphaned});
}

std::vector<NeighbourLoad> Dispatcher::endedNeighbourLoads(WorkerState &worker, TimePoint now)
{
    std::erase_if(worker.endedBestEffortRuns,
                  [&](const WorkerState::EndedBestEffortRun &bestEffort) { return now - bestEffort.endedAt >= Internal::TailReportWindow; });
    std::vector<NeighbourLoad> neighbourLoads;
    for (const WorkerState::EndedBestEffortRun &bestEffort : worker.endedBestEffortRuns) {
        const double share = 1 - std::chrono::duration<double>(now - bestEffort.endedAt) / Internal::TailReportWindow;
        NeighbourLoad neighbourLoad =
            ColocationPolicy::neighbourLoadOf(bestEffort.profile, bestEffort.load, bestEffort.speedPercent, worker.info.capacity.milliCores);
        neighbourLoad.load *= share;
        neighbourLoads.push_back(neighbourLoad);
    }
    return neighbourLoads;
}

void Dispatcher::adjustSpeeds(WorkerState &worker, const std::vector<ListedRun> &listed, TimePoint now)
{
    std::vector<ColocatedRun> runs;
    std::vector<const ListedRun *> listedRuns;
    runs.reserve(listed.size());
    listedRuns.reserve(listed.size());
    for (const ListedRun &run : listed) {
        // The profile of a run that has ended since it was listed does not exist any more.
        const bool isRunning = run.profile != nullptr && run.task != nullptr && run.task->phase == TaskPhase::Running;
        if (!isRunning || (run.profile->tailTargetMs > 0 && run.report->progressPercent < 100)) {
            continue;
        }
        runs.push_back({run.profile, run.report->task.job, run.report->load, run.task->speedPercent});
        listedRuns.push_back(&run);
    }
    const std::int64_t capacity = worker.info.capacity.milliCores;
    std::vector<NeighbourLoad> colocated = ColocationPolicy::neighbourLoadsOf(runs, capacity);
    std::ranges::copy(endedNeighbourLoads(worker, now), std::back_inserter(colocated));
    m_colocation.observe(runs, colocated, now);
    for (std::size_t index = 0; index < runs.size(); ++index) {
        listedRuns[index]->profile->residualUtilization = m_colocation.residualUtilization(runs[index], colocated, now);
    }
    updateTargetState(worker, runs, now);
    const bool pauseAll = worker.overTargetSince && now - *worker.overTargetSince >= Internal::MaximumTimeOverTarget;
    if (!pauseAll && now - worker.speedChangedAt < Internal::SpeedChangeInterval) {
        return;
    }
    std::vector<int> speeds = pauseAll ? std::vector<int>(runs.size(), 0) : m_colocation.speeds(runs, capacity, now);
    int slowedRuns = 0;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        if (speeds[index] == 0 && !pauseAll && slowedRuns < IdleCapacityPolicy::MaximumSlowedRuns) {
            speeds[index] = lowestSpeed(listedRuns[index]->report->task);
            slowedRuns += speeds[index] > 0 ? 1 : 0;
        }
        if (!runs[index].profile->isBestEffort || (speeds[index] == 0 && migratePausedRun(listedRuns[index]->report->task, now))) {
            continue;
        }
        if (speeds[index] != runs[index].speedPercent || !listedRuns[index]->task->isSpeedKnown) {
            worker.speedChangedAt = now;
            const ReportedRun &report = *listedRuns[index]->report;
            m_actions.emplace_back(ThrottleCommand{addressOf(worker), report.task, report.run, speeds[index], tokenFor(worker)});
        }
    }
}

int Dispatcher::lowestSpeed(const TaskId &id)
{
    StepExecution &step = *m_jobs.stepOf(id);
    step.isExpired = isExpired(*m_jobs.find(id.job), id.occurrence);
    return IdleCapacityPolicy::lowestSpeed(step, *m_jobs.task(id));
}

void Dispatcher::updateTargetState(WorkerState &worker, const std::vector<ColocatedRun> &runs, TimePoint now)
{
    const bool isOver = std::ranges::any_of(
        runs, [](const ColocatedRun &run) { return run.profile->tailTargetMs > 0 && run.load >= static_cast<double>(run.profile->tailTargetMs); });
    if (!isOver) {
        worker.overTargetSince.reset();
    } else if (!worker.overTargetSince) {
        worker.overTargetSince = now;
    }
}

bool Dispatcher::migratePausedRun(const TaskId &id, TimePoint now)
{
    const JobExecution *job = m_jobs.find(id.job);
    TaskExecution *task = m_jobs.task(id);
    const bool paused = task->speedPercent == 0 && now - task->speedSince >= Internal::MaximumPause;
    if (!paused || !job->step(id.step).checkpointable) {
        return false;
    }
    beginStop(id, *task, StopReason::PausedTooLong, now);
    return true;
}

void Dispatcher::moveRunsOffDrainingWorkers(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (!worker.info.draining || !worker.hasAnswered) {
            continue;
        }
        const auto runs = worker.runs;
        for (const auto &[taskId, profile] : runs) {
            const JobExecution *job = m_jobs.find(taskId.job);
            TaskExecution *task = m_jobs.task(taskId);
            if (job == nullptr || task == nullptr || task->phase != TaskPhase::Running) {
                continue;
            }
            const Wire::TaskStep &step = job->step(taskId.step);
            const std::int64_t remainingMs = step.estimateMs * (100 - std::clamp(task->progressPercent, 0, 100)) / 100;
            const bool endsInTime = worker.info.drainRemaining && remainingMs < worker.info.drainRemaining->count();
            if (step.longRunning || (step.checkpointable && !endsInTime)) {
                beginStop(taskId, *task, StopReason::WorkerDraining, now);
            }
        }
    }
}

} // namespace Hyssop
