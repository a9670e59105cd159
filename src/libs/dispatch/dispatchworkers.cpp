#include "dispatcher.h"

#include <utils/overloaded.h>

#include <algorithm>
#include <set>

namespace Hyssop {

namespace Internal {

constexpr std::chrono::milliseconds PollWait{600};
constexpr std::chrono::milliseconds OverTargetPollWait{400};
constexpr std::chrono::milliseconds IdlePollInterval{1000};
constexpr std::chrono::milliseconds FailedPollPause{200};
// Ends are listed again until they are durable; asking again sooner has no use.
constexpr std::chrono::milliseconds EndsPendingPause{80};
constexpr std::chrono::milliseconds StopRepeatInterval{400};
constexpr std::chrono::milliseconds LongestStall{4000};
constexpr int StallShareOfEstimate = 10;
constexpr std::chrono::milliseconds StrayStopInterval{500};
constexpr std::chrono::milliseconds StrayMemory{10000};
// Progress from which the end of a run is estimated, in percent.
constexpr int LeastProgress = 10;
// Tails are reported over half a second, so the effect of a change shows only after that time.
constexpr std::chrono::milliseconds TailReportTime{500};
constexpr std::chrono::milliseconds PaceInterval{250};
// All filling runs halt if a serving task stays over its target for this long, whatever was learned of them.
constexpr std::chrono::milliseconds LongestOverTarget{1200};
// A halted run that can resume elsewhere is moved after this time.
constexpr std::chrono::milliseconds LongestHalt{700};
// A worker lists at most this many ends in one answer.
constexpr std::size_t ListedEndsLimit = 500;

} // namespace Internal

void Dispatcher::dropIdleViews()
{
    std::erase_if(m_workers, [](const auto &item) { return !item.second.listed && item.second.runs.empty() && !item.second.pollOpen; });
}

void Dispatcher::expireLeases(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        // What a worker that answers lists tells better than the clock what still runs there.
        const bool answers = worker.reached && worker.failedPolls == 0;
        if (answers || now <= worker.leaseEnd) {
            continue;
        }
        if (!worker.runs.empty()) {
            m_actions.emplace_back(WorkerWrittenOff{id, worker.failedPolls, worker.runs.size()});
        }
        const auto runs = worker.runs; // requeue() changes the original
        for (const auto &[task, use] : runs) {
            TaskRun *run = m_jobs.task(task);
            if (run == nullptr) {
                worker.removeRun(task);
            } else if (run->phase != TaskPhase::Intended) {
                endRun(task, *run, RunEndReason::LeaseExpired, {}, now);
            }
        }
    }
}

void Dispatcher::pollWorkers(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (worker.pollOpen || now < worker.nextPoll || worker.info.address.empty()) {
            continue;
        }
        PollCommand poll;
        poll.worker = addressOf(worker);
        poll.fencingToken = tokenFor(worker);
        // The ends of a new life are numbered anew and must not be taken for acknowledged ones.
        poll.acknowledgedSequence = worker.failedPolls == 0 ? worker.durableEnd : 0;
        // A worker that does not answer gets no longer lease: its runs have to end some time.
        if (worker.clock && worker.failedPolls == 0) {
            const WorkerTime leaseEnd = worker.clock->readingAt(m_leases.grantUntil(now, m_confirmedAt));
            poll.leaseEnd = leaseEnd;
            worker.leaseEnd = std::max(worker.leaseEnd, worker.clock->surelyReached(leaseEnd));
            const bool waits = worker.reached && !worker.runs.empty() && worker.seenEnd == worker.durableEnd;
            const auto longestWait = worker.overTargetSince ? Internal::OverTargetPollWait : Internal::PollWait;
            poll.wait = waits ? longestWait : std::chrono::milliseconds(0);
        }
        worker.pollOpen = true;
        m_actions.emplace_back(std::move(poll));
    }
}

void Dispatcher::pollAnswered(const PollCommand &order, const PollResult &answer, TimePoint sentAt, TimePoint now)
{
    WorkerView *worker = findWorker(order.worker.id);
    if (worker == nullptr || !isOfThisTerm(order.fencingToken)) {
        return;
    }
    worker->pollOpen = false;
    const auto failed = [&] {
        if (worker->failedPolls++ == 0) {
            // It may be about to start anew: its next life shall refuse what was sent to this one.
            ++worker->suspectedLives;
        }
        worker->nextPoll = now + Internal::FailedPollPause;
    };
    std::visit(Overloaded{
                   [&](const WorkerReport &listing) { applyListing(*worker, listing, sentAt, now); },
                   [&](const CommandRejected &refusal) {
                       noteFence(order.worker.id, order.fencingToken, refusal);
                       if (refusal.reason == RejectionReason::WrongWorker) {
                           worker->leaseEnd = TimePoint(); // the worker's address serves another one: it is gone
                       }
                       failed();
                   },
                   [&](const auto &) { failed(); },
               },
               answer);
}

void Dispatcher::applyListing(WorkerView &worker, const WorkerReport &listing, TimePoint sentAt, TimePoint now)
{
    worker.failedPolls = 0;
    worker.lastContact = now;
    if (listing.processStartedAt != worker.processStartedAt && worker.processStartedAt.count() != 0 && listing.processStartedAt.count() != 0) {
        noteRebirth(worker, listing.clock, now);
    }
    worker.processStartedAt = listing.processStartedAt;
    worker.clock = WorkerClock{listing.clock, now};
    for (const ReportedRunEnd &end : listing.ends) {
        applyEnd(worker, end, now);
    }
    for (const ReportedRun &run : listing.runs) {
        applyRun(worker, run, now);
    }
    if (listing.ends.size() < Internal::ListedEndsLimit) {
        findMissingRuns(worker, listing, sentAt, now);
    }
    std::erase_if(worker.strayStops, [&](const auto &item) { return now - item.second > Internal::StrayMemory; });
    adjustPace(worker, listing, now);
    worker.nextPoll = now;
    if (!worker.reached) {
        worker.reached = true;
    } else if (worker.seenEnd != worker.durableEnd) {
        worker.nextPoll = now + Internal::EndsPendingPause;
    } else if (worker.runs.empty()) {
        worker.nextPoll = now + Internal::IdlePollInterval;
    }
}

void Dispatcher::noteRebirth(WorkerView &worker, WorkerTime reading, TimePoint now)
{
    m_actions.emplace_back(WorkerReborn{worker.info.id, reading, worker.clock ? worker.clock->readingAt(now) : WorkerTime(0), worker.runs.size()});
    worker.seenEnd = 0;
    worker.durableEnd = 0;
    ++worker.suspectedLives;
    const auto runs = worker.runs;
    for (const auto &[id, use] : runs) {
        TaskRun *task = m_jobs.task(id);
        if (task == nullptr) {
            worker.removeRun(id);
        } else if (task->phase == TaskPhase::Running) {
            endRun(id, *task, RunEndReason::LeaseExpired, {}, now);
        } else if (task->phase != TaskPhase::Intended) {
            beginStop(id, *task, now); // the order may still reach the new life
        }
    }
}

void Dispatcher::applyEnd(WorkerView &worker, const ReportedRunEnd &end, TimePoint now)
{
    if (end.sequence <= worker.seenEnd) {
        return;
    }
    worker.seenEnd = end.sequence;
    TaskRun *task = m_jobs.task(end.task);
    if (task != nullptr && task->phase == TaskPhase::Waiting && task->run == end.run && end.endReason == RunEndReason::Completed) {
        task->worker = worker.info.id; // the run was written off too early
        endRun(end.task, *task, end.endReason, end.checkpoint, now);
        return;
    }
    if (task != nullptr && task->isOpen() && task->worker == worker.info.id && task->run == end.run) {
        endRun(end.task, *task, end.endReason, end.checkpoint, now);
    }
}

void Dispatcher::applyRun(WorkerView &worker, const ReportedRun &run, TimePoint now)
{
    TaskRun *task = m_jobs.task(run.task);
    const bool isOurs = task != nullptr && task->isOpen() && task->worker == worker.info.id && task->run == run.run;
    if (!isOurs) {
        stopStray(worker, run, now);
        return;
    }
    if (!run.checkpoint.empty()) {
        task->checkpoint = run.checkpoint;
    }
    if (task->phase == TaskPhase::Ordered) {
        task->phase = TaskPhase::Running;
        task->phaseSince = now;
        task->confirmedAt = now;
        noteStarted(run.task);
    }
    if (task->phase == TaskPhase::Stopping && now - task->phaseSince > Internal::StopRepeatInterval) {
        task->phaseSince = now;
        sendStop(run.task, *task);
    }
    noteProgress(worker, run, *task, now);
}

void Dispatcher::noteProgress(WorkerView &worker, const ReportedRun &run, TaskRun &task, TimePoint now)
{
    task.load = run.load;
    noteExpectedEnd(worker, run, task, now);
    if (run.progressPercent != task.percent) {
        task.percent = run.progressPercent;
        task.percentSince = now;
        return;
    }
    const JobRun *job = m_jobs.find(run.task.job);
    const Wire::TaskStep &step = job->step(run.task.step);
    const bool atWork = step.longRunning && run.progressPercent >= 100;
    const bool slowedByUs = task.pacePercent < 100;
    // One percent of a long task takes long as well.
    const auto longestStall = std::max(Internal::LongestStall, std::chrono::milliseconds(step.estimateMs / Internal::StallShareOfEstimate));
    if (atWork || slowedByUs || task.phase != TaskPhase::Running || now - task.percentSince < longestStall) {
        return;
    }
    worker.trust.noteStall(now);
    beginStop(run.task, task, now);
}

void Dispatcher::noteExpectedEnd(WorkerView &worker, const ReportedRun &run, TaskRun &task, TimePoint now)
{
    const auto use = worker.runs.find(run.task);
    if (use == worker.runs.end() || !use->second.fillsIdle) {
        return;
    }
    use->second.expectedEnd = TimePoint();
    if (task.firstPercent < 0) {
        task.firstPercent = run.progressPercent;
        task.firstPercentAt = now;
    }
    const int progress = run.progressPercent - task.firstPercent;
    if (progress >= Internal::LeastProgress && task.phase == TaskPhase::Running && task.pacePercent == 100) {
        use->second.expectedEnd = now + (now - task.firstPercentAt) * (100 - run.progressPercent) / progress;
    }
}

void Dispatcher::findMissingRuns(WorkerView &worker, const WorkerReport &listing, TimePoint sentAt, TimePoint now)
{
    const auto byValue = [](const TaskId *left, const TaskId *right) { return *left < *right; };
    std::set<const TaskId *, decltype(byValue)> present(byValue);
    for (const ReportedRun &run : listing.runs) {
        present.insert(&run.task);
    }
    std::vector<TaskId> missing;
    for (const auto &[id, use] : worker.runs) {
        if (!present.contains(&id)) {
            missing.push_back(id);
        }
    }
    for (const TaskId &id : missing) {
        TaskRun *task = m_jobs.task(id);
        if (task == nullptr) {
            worker.removeRun(id);
            continue;
        }
        const bool adopted = task->phase == TaskPhase::Ordered && task->sends == 0;
        const bool ran = task->phase == TaskPhase::Running && task->confirmedAt <= sentAt;
        const bool stopped = task->phase == TaskPhase::Stopping && task->stopConfirmed && task->confirmedAt <= sentAt;
        if (adopted || ran || stopped) {
            endRun(id, *task, RunEndReason::LeaseExpired, {}, now);
        } else if (task->phase == TaskPhase::Stopping && now - task->phaseSince > Internal::StopRepeatInterval) {
            task->phaseSince = now;
            sendStop(id, *task);
        }
    }
}

void Dispatcher::stopStray(WorkerView &worker, const ReportedRun &run, TimePoint now)
{
    TimePoint &lastStop = worker.strayStops[run.task];
    if (now - lastStop < Internal::StrayStopInterval) {
        return;
    }
    lastStop = now;
    m_actions.emplace_back(StopCommand{addressOf(worker), run.task, run.run, tokenFor(worker)});
}

std::vector<NeighbourLoad> Dispatcher::endedPressures(WorkerView &worker, TimePoint now)
{
    std::erase_if(worker.endedFillers, [&](const WorkerView::EndedFiller &filler) { return now - filler.endedAt >= Internal::TailReportTime; });
    std::vector<NeighbourLoad> pressures;
    for (const WorkerView::EndedFiller &filler : worker.endedFillers) {
        const double share = 1 - std::chrono::duration<double>(now - filler.endedAt) / Internal::TailReportTime;
        NeighbourLoad pressure = SharingRule::pressureOf(filler.use, filler.load, filler.pacePercent, worker.info.capacity.milliCores);
        pressure.load *= share;
        pressures.push_back(pressure);
    }
    return pressures;
}

void Dispatcher::adjustPace(WorkerView &worker, const WorkerReport &listing, TimePoint now)
{
    std::vector<SharedRun> runs;
    std::vector<const ReportedRun *> listed;
    for (const ReportedRun &run : listing.runs) {
        const auto use = worker.runs.find(run.task);
        const TaskRun *task = m_jobs.task(run.task);
        const bool isServing = use != worker.runs.end() && use->second.tailTargetMs > 0;
        if (use == worker.runs.end() || task == nullptr || task->phase != TaskPhase::Running || (isServing && run.progressPercent < 100)) {
            continue;
        }
        runs.push_back({&use->second, run.task.job, run.load, task->pacePercent});
        listed.push_back(&run);
    }
    const std::int64_t capacity = worker.info.capacity.milliCores;
    std::vector<NeighbourLoad> beside = SharingRule::pressuresOf(runs, capacity);
    std::ranges::copy(endedPressures(worker, now), std::back_inserter(beside));
    m_sharing.observe(runs, beside, now);
    for (std::size_t index = 0; index < runs.size(); ++index) {
        worker.runs.at(listed[index]->task).unexplained = m_sharing.unexplained(runs[index], beside, now);
    }
    noteTails(worker, runs, now);
    const bool haltAll = worker.overTargetSince && now - *worker.overTargetSince >= Internal::LongestOverTarget;
    if (!haltAll && now - worker.paceChangedAt < Internal::PaceInterval) {
        return;
    }
    const std::vector<int> paces = haltAll ? std::vector<int>(runs.size(), 0) : m_sharing.paces(runs, capacity, now);
    for (std::size_t index = 0; index < runs.size(); ++index) {
        if (!runs[index].use->fillsIdle || (paces[index] == 0 && moveHalted(listed[index]->task, now))) {
            continue;
        }
        if (paces[index] != runs[index].pacePercent) {
            worker.paceChangedAt = now;
            m_actions.emplace_back(ThrottleCommand{addressOf(worker), listed[index]->task, listed[index]->run, paces[index], tokenFor(worker)});
        }
    }
}

void Dispatcher::noteTails(WorkerView &worker, const std::vector<SharedRun> &runs, TimePoint now)
{
    const bool isOver =
        std::ranges::any_of(runs, [](const SharedRun &run) { return run.use->tailTargetMs > 0 && run.load >= static_cast<double>(run.use->tailTargetMs); });
    if (!isOver) {
        worker.overTargetSince.reset();
    } else if (!worker.overTargetSince) {
        worker.overTargetSince = now;
    }
}

bool Dispatcher::moveHalted(const TaskId &id, TimePoint now)
{
    const JobRun *job = m_jobs.find(id.job);
    TaskRun *task = m_jobs.task(id);
    const bool halted = task->pacePercent == 0 && now - task->paceSince >= Internal::LongestHalt;
    if (!halted || !job->step(id.step).checkpointable) {
        return false;
    }
    beginStop(id, *task, now);
    return true;
}

void Dispatcher::moveRunsOffLeavingWorkers(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        if (!worker.info.draining || !worker.reached) {
            continue;
        }
        const auto runs = worker.runs;
        for (const auto &[taskId, use] : runs) {
            const JobRun *job = m_jobs.find(taskId.job);
            TaskRun *task = m_jobs.task(taskId);
            if (job == nullptr || task == nullptr || task->phase != TaskPhase::Running) {
                continue;
            }
            const Wire::TaskStep &step = job->step(taskId.step);
            const std::int64_t leftMs = step.estimateMs * (100 - std::clamp(task->percent, 0, 100)) / 100;
            const bool endsInTime = worker.info.drainRemaining && leftMs < worker.info.drainRemaining->count();
            if (step.longRunning || (step.checkpointable && !endsInTime)) {
                beginStop(taskId, *task, now);
            }
        }
    }
}

} // namespace Hyssop
