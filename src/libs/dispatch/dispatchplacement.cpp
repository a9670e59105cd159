#include "dispatcher.h"

#include "waitingorder.h"
#include "workerchoice.h"

#include <algorithm>
#include <optional>

namespace Hyssop {

namespace Internal {

// Most workers to ask the advice service about at once: each costs time there.
constexpr std::size_t AdviceCandidates = 30;
// The reserve for short tasks holds a new serving task back for this long at most.
constexpr std::chrono::milliseconds LongestHold{1800};

struct WaitingStep
{
    Urgency urgency;
    JobRun *job = nullptr;
    int occurrence = 0;
    int step = 0;
};

static bool isReady(const std::vector<StepRun> &steps, const Wire::TaskStep &step)
{
    return std::ranges::all_of(step.after, [&](std::int32_t earlier) {
        const auto index = static_cast<std::size_t>(earlier);
        return index >= steps.size() || steps[index].isDone();
    });
}

static bool hasWaitingTask(const StepRun &step, TimePoint now)
{
    return std::ranges::any_of(step.tasks, [&](const TaskRun &task) { return task.phase == TaskPhase::Waiting && task.notBefore <= now; });
}

static WallTime dueTime(const JobRun &job, int occurrence)
{
    if (job.job.repeatCount == 0) {
        return job.acceptedAt;
    }
    return WallTime(std::chrono::milliseconds(job.job.startAtMs + occurrence * job.job.intervalMs));
}

static WaitingWork waitingWork(const JobRun &job, int occurrence, const std::vector<StepRun> &steps)
{
    WaitingWork work{job.id, job.job, dueTime(job, occurrence), {}, false};
    for (const StepRun &step : steps) {
        work.doneSteps.push_back(step.isDone());
        work.hasBegun = work.hasBegun || std::ranges::any_of(step.tasks, [](const TaskRun &task) { return task.run > 0; });
    }
    return work;
}

static void collectSteps(JobRun &job, const QueueInfo &queue, TimePoint now, WallTime wall, std::vector<WaitingStep> &waiting)
{
    for (auto &[occurrence, steps] : job.occurrences) {
        std::optional<Urgency> urgency;
        for (std::size_t index = 0; index < steps.size(); ++index) {
            if (!hasWaitingTask(steps[index], now) || !isReady(steps, job.job.steps[index])) {
                continue;
            }
            if (!urgency) {
                urgency = urgencyOf(waitingWork(job, occurrence, steps), queue, wall);
            }
            waiting.push_back({*urgency, &job, occurrence, static_cast<int>(index)});
        }
    }
}

static std::map<std::string, int> openTasksByWorker(const StepRun &step)
{
    std::map<std::string, int> counts;
    for (const TaskRun &task : step.tasks) {
        if (task.isOpen()) {
            ++counts[task.worker];
        }
    }
    return counts;
}

} // namespace Internal

void Dispatcher::placeWaiting(TimePoint now, WallTime wall)
{
    if (!m_leases.mayStart(now, m_readAt)) {
        return;
    }
    std::vector<Internal::WaitingStep> waiting;
    for (JobRun *job : m_jobs.activeJobs()) {
        const auto queue = m_config.queues.find(job->job.queue);
        if (queue != m_config.queues.end()) {
            startDueOccurrences(*job, wall);
            Internal::collectSteps(*job, queue->second, now, wall, waiting);
        }
    }
    if (waiting.empty()) {
        return;
    }
    noteShortDemand(now);
    std::vector<WorkerView *> workers;
    for (auto &[id, worker] : m_workers) {
        workers.push_back(&worker);
    }
    WorkerChoice choice(std::move(workers), m_evacuated, m_sharing, now);
    std::ranges::sort(waiting, [](const Internal::WaitingStep &left, const Internal::WaitingStep &right) { return left.urgency < right.urgency; });
    for (const Internal::WaitingStep &item : waiting) {
        placeStep(*item.job, item.occurrence, item.step, choice, m_config.queues.at(item.job->job.queue), now);
    }
}

void Dispatcher::noteShortDemand(TimePoint now)
{
    std::map<std::string, std::int64_t> demand;
    for (JobRun *job : m_jobs.activeJobs()) {
        const auto queue = m_config.queues.find(job->job.queue);
        if (queue == m_config.queues.end()) {
            continue;
        }
        for (const auto &[occurrence, steps] : job->occurrences) {
            for (std::size_t index = 0; index < steps.size(); ++index) {
                const Wire::TaskStep &step = job->job.steps[index];
                if (!step.longRunning && !step.fillsIdle && Internal::isReady(steps, step)) {
                    demand[queue->second.service] += step.milliCores * (step.taskCount - steps[index].done);
                }
            }
        }
    }
    for (const auto &[service, milliCores] : demand) {
        m_reserve.note(service, milliCores, now);
    }
}

void Dispatcher::placeStep(JobRun &job, int occurrence, int step, WorkerChoice &choice, const QueueInfo &queue, TimePoint now)
{
    StepRun &tasks = job.occurrences.at(occurrence)[static_cast<std::size_t>(step)];
    std::map<std::string, int> perWorker = Internal::openTasksByWorker(tasks);
    PlacementWish wish;
    wish.step = &job.step(step);
    wish.service = queue.service;
    const RunUse use = describeUse(*wish.step, 0);
    wish.use = &use;
    wish.tasksOfStep = &perWorker;
    if (needsAdvice({job.id, occurrence, step, 0}, queue, wish, now)) {
        return;
    }
    if (wish.step->gang) {
        placeGang(job, occurrence, step, choice, wish, now);
        return;
    }
    if (wish.step->sameRack) {
        const auto racks = choice.racksByRoom(queue.service);
        wish.rack = racks.empty() ? std::string() : racks.front();
    }
    std::vector<WorkerChoice::Candidate> candidates = choice.rank(wish);
    for (std::size_t index = 0; index < tasks.tasks.size() && !candidates.empty(); ++index) {
        TaskRun &task = tasks.tasks[index];
        if (task.phase != TaskPhase::Waiting || task.notBefore > now) {
            continue;
        }
        const bool mayWait = wish.step->longRunning && task.run == 0 && m_wallMs - sinceEpoch(job.acceptedAt).count() < Internal::LongestHold.count();
        if (mayWait && !choice.hasRoomForServing(queue.service, use, m_reserve)) {
            return;
        }
        WorkerView *worker = choice.takeBest(candidates, wish);
        if (worker == nullptr) {
            return;
        }
        intend(job, {job.id, occurrence, step, static_cast<int>(index)}, task, *worker, task.run + 1, now);
        ++perWorker[worker->info.id];
    }
}

void Dispatcher::placeGang(JobRun &job, int occurrence, int step, const WorkerChoice &choice, PlacementWish &wish, TimePoint now)
{
    StepRun &tasks = job.occurrences.at(occurrence)[static_cast<std::size_t>(step)];
    if (!std::ranges::all_of(tasks.tasks, [&](const TaskRun &task) { return task.phase == TaskPhase::Waiting && task.notBefore <= now; })) {
        return; // earlier runs have not all ended
    }
    std::vector<std::string> racks{std::string()};
    if (wish.step->sameRack) {
        racks = choice.racksByRoom(wish.service);
        racks.emplace_back();
    }
    int run = 1;
    std::string checkpoint;
    for (const TaskRun &task : tasks.tasks) {
        run = std::max(run, task.run + 1);
        checkpoint = std::max(checkpoint, task.checkpoint); // one value for all; any is valid
    }
    std::map<std::string, int> perWorker;
    wish.tasksOfStep = &perWorker;
    for (const std::string &rack : racks) {
        wish.rack = rack;
        perWorker.clear();
        std::vector<std::pair<TaskId, WorkerView *>> placed;
        for (std::size_t index = 0; index < tasks.tasks.size(); ++index) {
            WorkerView *worker = choice.choose(wish);
            if (worker == nullptr) {
                break;
            }
            const TaskId id{job.id, occurrence, step, static_cast<int>(index)};
            worker->addRun(id, *wish.use);
            ++perWorker[worker->info.id];
            placed.emplace_back(id, worker);
        }
        const bool complete = placed.size() == tasks.tasks.size();
        for (const auto &[id, worker] : placed) {
            worker->removeRun(id);
            if (complete) {
                TaskRun &task = tasks.tasks[static_cast<std::size_t>(id.index)];
                task.checkpoint = checkpoint;
                intend(job, id, task, *worker, run, now);
            }
        }
        if (complete) {
            return;
        }
    }
}

bool Dispatcher::needsAdvice(const TaskId &step, const QueueInfo &queue, PlacementWish &wish, TimePoint now)
{
    if (!queue.advice) {
        return false;
    }
    wish.tickets = m_tickets.tickets(step, now);
    if (wish.tickets != nullptr) {
        return false;
    }
    if (m_tickets.beginAsking(step, now)) {
        AskAdvice question{step, {}};
        std::vector<const WorkerView *> candidates;
        for (const auto &[id, worker] : m_workers) {
            if (worker.info.service == queue.service && mayStartOn(worker, now)) {
                candidates.push_back(&worker);
            }
        }
        std::ranges::sort(candidates, std::ranges::greater(), [](const WorkerView *worker) { return worker->freeCapacity().milliCores; });
        for (std::size_t index = 0; index < candidates.size() && index < Internal::AdviceCandidates; ++index) {
            question.workers.push_back(candidates[index]->info.id);
        }
        m_actions.emplace_back(std::move(question));
    }
    return true;
}

void Dispatcher::adviceAnswered(const AskAdvice &question, const AdviceResult &answer, TimePoint sentAt, TimePoint now)
{
    if (m_jobs.stepOf(question.step) != nullptr) {
        m_tickets.answered(question.step, answer, sentAt, now);
    }
}

void Dispatcher::intend(JobRun &job, const TaskId &id, TaskRun &task, WorkerView &worker, int run, TimePoint now)
{
    task.run = run;
    task.phase = TaskPhase::Intended;
    task.phaseSince = now;
    task.worker = worker.info.id;
    task.sends = 0;
    task.stopConfirmed = false;
    task.percent = -1;
    task.percentSince = now;
    task.firstPercent = -1;
    task.pacePercent = 100;
    worker.addRun(id, describeUse(job.step(id.step), run));
    m_jobs.markUrgent(job);
    m_newIntents.emplace_back(id, run);
}

} // namespace Hyssop
