#include "dispatcher.h"

#include "schedulingkey.h"
#include "shorttaskplaces.h"
#include "workerranking.h"

#include <jobtopic/joblimits.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace Hyssop {

namespace Internal {

// The reserve for short tasks delays the first run of a serving task by at most this time in each term. It is counted on the clock of the
// owner, because the times of day of two instances differ.
constexpr std::chrono::milliseconds MaximumReserveDelay{1800};

// Overdue steps are searched for on all workers. Those that remain follow in the next pass.
constexpr std::size_t MaximumExaminedWorkers = 50'000;

constexpr std::size_t AllTasks = std::numeric_limits<std::size_t>::max();

// Overdue steps may exceed the command window by this part of it, so that urgent steps can't keep them from it.
constexpr std::size_t OverdueWindowDivisor = 8;

/// Order in which the classes of steps get runs.
enum class StepClass {
    Serving,
    Urgent, // reserves capacity until its tasks have completed, and the result of its job is not worthless yet
    Overdue, // see IdleCapacityPolicy
    Other,
};

static StepClass classOf(const Wire::TaskStep &step, const SchedulingKey &key, bool isOverdue)
{
    if (step.longRunning) {
        return StepClass::Serving;
    }
    if (kindOf(step) == TaskKind::Reserved && !key.isExpired()) {
        return StepClass::Urgent;
    }
    return isOverdue ? StepClass::Overdue : StepClass::Other;
}

struct PendingStep
{
    StepClass stepClass = StepClass::Other;
    SchedulingKey key;
    JobExecution *job = nullptr;
    const QueueInfo *queue = nullptr;
    int occurrence = 0;
    int step = 0;

    const StepExecution &execution() const { return job->occurrences.at(occurrence)[static_cast<std::size_t>(step)]; }

    bool operator<(const PendingStep &other) const
    {
        return std::tie(stepClass, key, occurrence, step) < std::tie(other.stepClass, other.key, other.occurrence, other.step);
    }
};

static PendingWork pendingWork(const JobExecution &job, int occurrence, const std::vector<StepExecution> &steps)
{
    PendingWork work{job.id, job.submission, job.releaseTime(occurrence), {}, false};
    for (const StepExecution &step : steps) {
        work.doneSteps.push_back(step.isDone());
        work.isStarted = work.isStarted || step.hasBegun;
    }
    return work;
}

static void
collectSteps(JobExecution &job, const QueueInfo &queue, std::chrono::milliseconds maximumWait, TimePoint now, WallTime wall, std::vector<PendingStep> &pending)
{
    for (auto &[occurrence, steps] : job.occurrences) {
        std::optional<SchedulingKey> key;
        for (std::size_t index = 0; index < steps.size(); ++index) {
            if (!steps[index].hasPendingTask(now) || !isReady(steps, job.submission.steps[index])) {
                continue;
            }
            steps[index].readySince = steps[index].readySince.value_or(now);
            if (!key) {
                key = schedulingKey(pendingWork(job, occurrence, steps), queue, wall);
            }
            bool isOverdue = false;
            if (job.submission.steps[index].fillsIdle) {
                steps[index].updateWaiting(now);
                steps[index].isExpired = key->isExpired();
                isOverdue = IdleCapacityPolicy::isOverdue(steps[index], maximumWait, now);
            }
            const StepClass stepClass = classOf(job.submission.steps[index], *key, isOverdue);
            pending.push_back({stepClass, *key, &job, &queue, occurrence, static_cast<int>(index)});
        }
    }
}

/// Returns the indexes of the tasks that may start, restarts first.
static std::vector<std::size_t> startableTasks(const StepExecution &step, TimePoint now)
{
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].phase == TaskPhase::Pending && step.tasks[index].notBefore <= now) {
            indexes.push_back(index);
        }
    }
    std::stable_partition(indexes.begin(), indexes.end(), [&](std::size_t index) { return step.tasks[index].run > 0; });
    return indexes;
}

/// Returns the number of serving tasks of @p step that have lost their run and wait for the next one.
static std::size_t displacedTasks(const Wire::TaskStep &step, const StepExecution &execution)
{
    const auto isDisplaced = [](const TaskExecution &task) { return task.phase == TaskPhase::Pending && task.run > 0; };
    return step.longRunning && execution.pending > 0 ? static_cast<std::size_t>(std::ranges::count_if(execution.tasks, isDisplaced)) : 0;
}

static std::int64_t startedTasks(const JobExecution &job)
{
    std::int64_t count = 0;
    for (const auto &[occurrence, steps] : job.occurrences) {
        for (const StepExecution &step : steps) {
            count += step.started;
        }
    }
    return count;
}

} // namespace Internal

void Dispatcher::placePendingTasks(TimePoint now, WallTime wall, TickScope scope)
{
    if (!canStart(now)) {
        return;
    }
    if (scope == TickScope::All) {
        updateMaximumWaits();
    }
    std::vector<Internal::PendingStep> pending;
    const PendingJobs &pendingJobs = m_jobs.pendingJobs();
    for (JobExecution *job : scope == TickScope::All ? pendingJobs.jobs() : pendingJobs.urgentJobs()) {
        ++m_placementWork.visitedJobs;
        if (const QueueInfo *queue = m_queues.find(job->submission.queue)) {
            releaseDueOccurrences(*job, wall);
            Internal::collectSteps(*job, *queue, maximumWait(queue->workerPool), now, wall, pending);
        }
    }
    if (scope == TickScope::Urgent) {
        std::erase_if(pending, [](const Internal::PendingStep &item) { return item.stepClass > Internal::StepClass::Urgent; });
    }
    if (pending.empty()) {
        m_commandWindow.setWaitingTasks(scope == TickScope::All ? 0 : m_commandWindow.waitingTasks());
        return;
    }
    recordShortTaskDemand(now);
    std::vector<WorkerState *> workers;
    for (auto &[id, worker] : m_workers) {
        workers.push_back(&worker);
    }
    WorkerRanking ranking(std::move(workers), m_evacuated, m_colocation, now);
    m_unschedulable.beginPass(ranking, now);
    std::sort(pending.begin(), pending.end());
    m_reservations.beginPass();
    ranking.setNextExamined(m_nextExaminedWorker);
    placeSteps(pending, ranking, scope, now);
    m_nextExaminedWorker = ranking.nextExamined();
    ++m_placementWork.passes;
    m_placementWork.examinedWorkers += ranking.examinedWorkers();
}

void Dispatcher::placeSteps(const std::vector<Internal::PendingStep> &pending, WorkerRanking &ranking, TickScope scope, TimePoint now)
{
    m_commandWindow.removeOldStarts(now);
    const auto place = [&](const Internal::PendingStep &item, std::size_t maximumTasks) {
        if (item.stepClass == Internal::StepClass::Overdue && ranking.examinedWorkers() > Internal::MaximumExaminedWorkers) {
            return;
        }
        placeStep(*item.job, {item.job->id, item.occurrence, item.step, 0}, item.key, ranking, *item.queue, maximumTasks, now);
    };
    const auto isFullFor = [&](const Internal::PendingStep &item) { return isWindowFull(item.stepClass == Internal::StepClass::Overdue); };
    const std::size_t waitingBefore = m_commandWindow.waitingTasks();
    const bool isLimiting = m_commandWindow.isLimiting();
    m_commandWindow.setWaitingTasks(0);
    for (auto first = pending.begin(); first != pending.end();) {
        const auto last = std::find_if(first, pending.end(), [&](const Internal::PendingStep &item) { return item.stepClass != first->stepClass; });
        const bool isFirstRunFirst = isLimiting && (first->stepClass == Internal::StepClass::Urgent || first->stepClass == Internal::StepClass::Other);
        // A step that was tried here and found no room isn't tried again below, which would reserve room for it twice.
        std::vector<const Internal::PendingStep *> remaining;
        for (auto item = first; item != last; ++item) {
            const bool needsFirstRun = isFirstRunFirst && !isFullFor(*item) && item->execution().openTasks() == 0;
            if (needsFirstRun) {
                place(*item, 1);
            }
            if (!needsFirstRun || item->execution().openTasks() > 0) {
                remaining.push_back(&*item);
            }
        }
        for (const Internal::PendingStep *item : remaining) {
            if (isFullFor(*item)) {
                addTasksThatWaitForWindow(item->execution());
            } else {
                place(*item, Internal::AllTasks);
            }
        }
        first = last;
    }
    if (scope == TickScope::Urgent) {
        m_commandWindow.setWaitingTasks(std::max(m_commandWindow.waitingTasks(), waitingBefore)); // the other steps still wait
    }
}

void Dispatcher::addTasksThatWaitForWindow(const StepExecution &step)
{
    m_commandWindow.setWaitingTasks(m_commandWindow.waitingTasks() + static_cast<std::size_t>(step.pending));
}

std::size_t Dispatcher::startsInFlight() const
{
    return m_newIntents.size() + m_batch.intents.size() + m_commandWindow.startsInFlight();
}

bool Dispatcher::isWindowFull(bool isOverdue) const
{
    const std::size_t size = m_commandWindow.size();
    return startsInFlight() >= (isOverdue ? size + size / Internal::OverdueWindowDivisor : size);
}

bool Dispatcher::isExpired(const JobExecution &job, int occurrence) const
{
    const QueueInfo *queue = m_queues.find(job.submission.queue);
    const auto steps = job.occurrences.find(occurrence);
    if (queue == nullptr || steps == job.occurrences.end()) {
        return false;
    }
    const PendingWork work = Internal::pendingWork(job, occurrence, steps->second);
    return schedulingKey(work, *queue, WallTime(std::chrono::milliseconds(m_wallMs))).isExpired();
}

void Dispatcher::updateMaximumWaits()
{
    struct Use
    {
        std::int64_t reserved = 0;
        std::int64_t capacity = 0;
    };
    std::map<std::string, Use> uses; // by worker pool
    for (const auto &[id, worker] : m_workers) {
        if (worker.registered) {
            Use &use = uses[worker.info.workerPool];
            use.reserved += worker.committed.milliCores;
            use.capacity += worker.info.capacity.milliCores;
        }
    }
    m_maximumWaits.clear();
    for (const auto &[workerPool, use] : uses) {
        m_maximumWaits[workerPool] = IdleCapacityPolicy::maximumWait(use.reserved, use.capacity);
    }
}

std::chrono::milliseconds Dispatcher::maximumWait(const std::string &workerPool) const
{
    const auto known = m_maximumWaits.find(workerPool);
    return known != m_maximumWaits.end() ? known->second : IdleCapacityPolicy::MaximumWait;
}

void Dispatcher::recordShortTaskDemand(TimePoint now)
{
    std::map<std::string, ShortTaskReserve::Demand> demands; // by worker pool
    for (const auto &[name, queueDemand] : m_jobs.pendingJobs().shortTaskDemand()) {
        if (const QueueInfo *queue = m_queues.find(name)) {
            demands[queue->workerPool].add(queueDemand.milliCores, queueDemand.smallestTask(), queueDemand.largestTask());
        }
    }
    for (const auto &[workerPool, demand] : demands) {
        m_shortTaskReserve.recordDemand(workerPool, demand, now);
    }
}

void Dispatcher::placeStep(
    JobExecution &job, const TaskId &stepId, const SchedulingKey &key, WorkerRanking &ranking, const QueueInfo &queue, std::size_t maximumTasks, TimePoint now)
{
    if (job.isEnded()) {
        return; // another step has failed in this pass
    }
    const int step = stepId.step;
    StepExecution &execution = job.occurrences.at(stepId.occurrence)[static_cast<std::size_t>(step)];
    // An earlier owner may have stored the last failure and not the end of the job.
    const auto isExhausted = [&](const TaskExecution &task) { return task.phase == TaskPhase::Pending && isOutOfAttempts(task, job.step(step), queue); };
    const bool mayBeExhausted = execution.maximumFailures >= queue.maximumFailures;
    if (mayBeExhausted && std::ranges::any_of(execution.tasks, isExhausted)) {
        failJob(job, now);
        return;
    }
    PlacementRequest request;
    request.step = &job.step(step);
    request.workerPool = queue.workerPool;
    const RunProfile profile = runProfile(*request.step, 0);
    request.profile = &profile;
    request.stepId = &stepId;
    request.key = &key;
    request.reservations = &m_reservations;
    request.isOverdue = request.step->fillsIdle && IdleCapacityPolicy::isOverdue(execution, maximumWait(queue.workerPool), now);
    const bool isUnschedulable = m_unschedulable.contains(request) && !mayProbe(job, stepId, ranking, request);
    if (isUnschedulable && !queue.advice) {
        if (request.step->perWorker == 0 || Internal::displacedTasks(*request.step, execution) > 0) {
            const std::map<std::string, int> perWorker = limitedTasksByWorker(*request.step, execution);
            request.stepTasksByWorker = &perWorker;
            reserveRoom(execution, ranking, request);
        }
        return;
    }
    std::map<std::string, int> perWorker = openTasksByWorker(execution);
    request.stepTasksByWorker = &perWorker;
    if (queue.advice) {
        request.tickets = m_tickets.tickets(stepId, now);
    }
    if (!isUnschedulable && (!queue.advice || request.tickets != nullptr)) {
        placeTasks(job, stepId, ranking, request, perWorker, maximumTasks, now);
    }
    if (queue.advice && execution.hasPendingTask(now)) {
        requestAdvice(stepId, ranking, request, *queue.advice, now);
    }
}

bool Dispatcher::mayProbe(const JobExecution &job, const TaskId &stepId, const WorkerRanking &ranking, const PlacementRequest &request)
{
    if (job.hasFailedLately || !ranking.isMostlyUnavailable(request)) {
        return false;
    }
    const std::vector<TaskExecution> &tasks = job.occurrences.at(stepId.occurrence)[static_cast<std::size_t>(stepId.step)].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const WorkerState *worker = tasks[index].isOpen() ? findWorker(tasks[index].worker) : nullptr;
        if (worker != nullptr && worker->health.isProbe({stepId.job, stepId.occurrence, stepId.step, static_cast<int>(index)})) {
            return false;
        }
    }
    return true;
}

void Dispatcher::placeTasks(JobExecution &job,
                            const TaskId &step,
                            WorkerRanking &ranking,
                            PlacementRequest &request,
                            std::map<std::string, int> &perWorker,
                            std::size_t maximumTasks,
                            TimePoint now)
{
    if (request.step->gang) {
        placeGang(job, step.occurrence, step.step, ranking, request, now);
        return;
    }
    StepExecution &execution = job.occurrences.at(step.occurrence)[static_cast<std::size_t>(step.step)];
    const RunProfile &profile = *request.profile;
    if (request.step->sameRack) {
        const auto racks = ranking.racksByFreeCapacity(request.workerPool);
        request.rack = racks.empty() ? std::string() : racks.front();
    }
    std::optional<ShortTaskPlaces> places;
    if (request.step->longRunning) {
        places.emplace(ranking.workers(), request.workerPool, m_shortTaskReserve);
        request.shortTaskPlaces = &*places;
    }
    const bool isBestEffort = request.step->fillsIdle;
    const std::size_t wantedTasks = std::min(maximumTasks, static_cast<std::size_t>(execution.pending));
    WorkerRanking::Candidates candidates;
    if (isBestEffort && !request.isOverdue) {
        candidates = ranking.rankCandidates(request, wantedTasks);
    }
    std::int64_t started = Internal::startedTasks(job);
    const bool canWait = now - execution.readySince.value_or(now) < Internal::MaximumReserveDelay;
    std::size_t placed = 0;
    for (const std::size_t index : Internal::startableTasks(execution, now)) {
        TaskExecution &task = execution.tasks[index];
        if (task.run == 0 && started >= MaximumStartedTasks) {
            continue;
        }
        if (placed == maximumTasks) {
            return;
        }
        if (isWindowFull(request.isOverdue)) {
            addTasksThatWaitForWindow(execution);
            return; // the tasks wait for the window and not for room
        }
        request.failedOn = &task.failedOn;
        request.mustLeavePlaces = request.step->longRunning && task.run == 0 && canWait;
        const bool isRanked = isBestEffort && !request.isOverdue;
        WorkerState *worker = isRanked ? ranking.bestCandidate(candidates, request) : ranking.choose(request);
        if (worker == nullptr && !request.rack.empty()) {
            request.rack.clear(); // the tasks take longer on several racks, but only a gang has to be on one
            candidates = isRanked ? ranking.rankCandidates(request, wantedTasks) : candidates;
            worker = isRanked ? ranking.bestCandidate(candidates, request) : ranking.choose(request);
        }
        if (worker == nullptr && mayProbe(job, step, ranking, request)) {
            worker = ranking.chooseForProbe(request);
        }
        if (worker == nullptr) {
            recordUnschedulable(ranking, request, now);
            break;
        }
        if (places) {
            places->handleServingTask(*worker, profile.servingMilliCores);
        }
        started += task.run == 0 ? 1 : 0;
        ++placed;
        assignRun(job, {job.id, step.occurrence, step.step, static_cast<int>(index)}, task, *worker, task.run + 1, now);
        ranking.capacityChanged(*worker);
        ++perWorker[worker->info.id];
        if (request.isOverdue) {
            task.initialSpeedPercent = IdleCapacityPolicy::LowestSpeedPercent;
            break; // the other tasks of the step have no precedence
        }
    }
    reserveRoom(execution, ranking, request);
}

void Dispatcher::reserveRoom(const StepExecution &execution, const WorkerRanking &ranking, const PlacementRequest &request)
{
    const bool takesCapacity = !request.step->fillsIdle && !request.step->gang;
    // A serving task that has run comes before new work. First runs wait for room that short tasks leave.
    const std::size_t tasks = request.step->longRunning ? Internal::displacedTasks(*request.step, execution) : static_cast<std::size_t>(execution.pending);
    // The smallest tasks need no reservation: nothing takes their room.
    const bool isLarge = request.step->milliCores > m_shortTaskReserve.smallestTask(request.workerPool);
    if (takesCapacity && isLarge && tasks > 0 && !request.key->isExpired()) {
        m_reservations.reserve(ranking, request, tasks);
    }
}

void Dispatcher::recordUnschedulable(const WorkerRanking &ranking, const PlacementRequest &request, TimePoint now)
{
    if (!ranking.hasRoom(request)) {
        m_unschedulable.record(request, now);
    }
}

void Dispatcher::placeGang(JobExecution &job, int occurrence, int step, WorkerRanking &ranking, PlacementRequest &request, TimePoint now)
{
    StepExecution &execution = job.occurrences.at(occurrence)[static_cast<std::size_t>(step)];
    if (!std::ranges::all_of(execution.tasks, [&](const TaskExecution &task) { return task.phase == TaskPhase::Pending && task.notBefore <= now; })) {
        return; // not all earlier runs have ended
    }
    std::vector<std::string> racks{std::string()};
    if (request.step->sameRack) {
        racks = ranking.racksByFreeCapacity(request.workerPool);
        racks.emplace_back();
    }
    int run = 1;
    std::string checkpoint;
    for (const TaskExecution &task : execution.tasks) {
        run = std::max(run, task.run + 1);
        checkpoint = std::max(checkpoint, task.checkpoint); // all tasks need the same one; any is valid
    }
    std::map<std::string, int> perWorker;
    request.stepTasksByWorker = &perWorker;
    const bool canProbe = mayProbe(job, {job.id, occurrence, step, 0}, ranking, request);
    for (const std::string &rack : racks) {
        request.rack = rack;
        perWorker.clear();
        std::vector<std::pair<TaskId, WorkerState *>> placed;
        for (std::size_t index = 0; index < execution.tasks.size(); ++index) {
            WorkerState *worker = ranking.choose(request);
            if (worker == nullptr && canProbe) {
                worker = ranking.chooseForProbe(request);
            }
            if (worker == nullptr) {
                break;
            }
            const TaskId id{job.id, occurrence, step, static_cast<int>(index)};
            worker->addRun(id, *request.profile, now);
            ranking.capacityChanged(*worker);
            ++perWorker[worker->info.id];
            placed.emplace_back(id, worker);
        }
        const bool complete = placed.size() == execution.tasks.size();
        for (const auto &[id, worker] : placed) {
            worker->removeRun(id);
            if (complete) {
                TaskExecution &task = execution.tasks[static_cast<std::size_t>(id.index)];
                task.checkpoint = checkpoint;
                assignRun(job, id, task, *worker, run, now);
                task.initialSpeedPercent = request.isOverdue ? IdleCapacityPolicy::LowestSpeedPercent : 100;
            }
            ranking.capacityChanged(*worker);
        }
        if (complete) {
            return;
        }
        if (placed.empty()) {
            recordUnschedulable(ranking, request, now);
        }
    }
}

void Dispatcher::requestAdvice(
    const TaskId &step, const WorkerRanking &ranking, const PlacementRequest &request, const AdviceParameters &service, TimePoint now)
{
    if (!m_tickets.canRequest(step, now)) {
        return;
    }
    if (auto adviceRequest = m_tickets.beginRequest(step, ranking.adviceCandidates(request), now, service)) {
        m_actions.emplace_back(std::move(*adviceRequest));
    }
}

std::size_t Dispatcher::adviceAnswered(const RequestAdvice &adviceRequest, const AdviceResult &result, TimePoint sentAt, TimePoint now)
{
    return m_tickets.handleResult(adviceRequest, result, m_jobs.stepOf(adviceRequest.step) != nullptr, sentAt, now);
}

void Dispatcher::assignRun(JobExecution &job, const TaskId &id, TaskExecution &task, WorkerState &worker, int run, TimePoint now)
{
    StepExecution &execution = job.occurrences.at(id.occurrence)[static_cast<std::size_t>(id.step)];
    const TimePoint readySince = std::max(execution.readySince.value_or(now), std::max(task.phaseSince, task.notBefore));
    stageDelaysOf(id).placements.add(now - readySince);
    execution.setRun(task, run);
    execution.setPhase(task, TaskPhase::Assigned);
    task.phaseSince = now;
    task.worker = worker.info.id;
    task.startsSent = 0;
    task.stopConfirmed = false;
    task.startPending = false;
    task.startConfirmed = false;
    task.listed = false;
    task.startOutstandingUntil = TimePoint();
    task.progressPercent = -1;
    task.progressSince = now;
    task.firstProgressPercent = -1;
    task.speedPercent = 100;
    task.initialSpeedPercent = 100;
    task.isSpeedKnown = true;
    worker.addRun(id, runProfile(job.step(id.step), run), now);
    m_jobs.markUrgent(job);
    m_newIntents.emplace_back(id, run);
}

} // namespace Hyssop
