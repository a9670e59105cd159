#include "dispatchworld.h"

#include <jobtopic/jobkeys.h>
#include <ports/keyedrecord.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <algorithm>

namespace Hyssop::Testing {

using namespace std::chrono_literals;

namespace {

constexpr auto Step = 10ms;
constexpr auto OwnerTick = 20ms;
constexpr auto OrderTimeout = 800ms;
constexpr int MaximumFailures = 3;

} // namespace

struct DispatchWorld::Owner
{
    Owner(std::int64_t claimedTerm, const DispatchLimits &limits)
        : term(claimedTerm)
        , dispatcher(limits)
    {
    }

    std::int64_t term;
    Dispatcher dispatcher;
    bool deposed = false;
    TimePoint frozenUntil{};
    TimePoint cutUntil{};
    TimePoint nextTick{};
    TimePoint nextRead{};
};

DispatchWorld::DispatchWorld(std::uint32_t seed, std::size_t workers)
    : m_random(seed)
{
    QueueInfo queue;
    queue.name = "batch";
    queue.service = "hall";
    queue.maximumFailures = MaximumFailures;
    queue.stretch = 2;
    queue.objectiveMargin = 1s;
    config.queues["batch"] = queue;
    plan = [this](const TaskId &) {
        SimulatedWorker::Run run;
        run.endsAt = TimePoint(std::chrono::milliseconds(200 + random(1500)));
        run.endReason = chance(faults.failedRuns) ? RunEndReason::Failed : RunEndReason::Completed;
        return run;
    };
    for (std::size_t index = 0; index < workers; ++index) {
        WorkerInfo info;
        info.id = "w" + std::to_string(index);
        info.service = "hall";
        info.address = "127.0.0.1:" + std::to_string(1 + index);
        info.failureDomain = index % 2 == 0 ? "a" : "b";
        info.rack = "r" + std::to_string(index / 2);
        info.capacity.milliCores = 8000;
        info.capacity.memoryBytes = 16'000'000'000;
        auto worker = std::make_unique<SimulatedWorker>(info, now - std::chrono::seconds(5 * (index + 1)));
        worker->started = [this](const TaskId &task, int run, const std::string &id) { checkStart(task, run, id); };
        worker->ended = [this](const TaskId &task, int, const std::string &, RunEndReason endReason) {
            m_running.erase(task);
            if (endReason == RunEndReason::Completed) {
                m_done.insert(task);
            }
        };
        worker->endNoted = [this](const TaskId &task, int, const std::string &, RunEndReason endReason) {
            if (endReason == RunEndReason::Completed) {
                m_doneNoted.insert(task);
            }
            if (endReason == RunEndReason::Failed) {
                ++m_failed[task];
            }
        };
        worker->plan = [this](const TaskId &task) { return plan(task); };
        m_workers.push_back(std::move(worker));
    }
}

DispatchWorld::~DispatchWorld() = default;

void DispatchWorld::submit(const std::string &jobId, int steps, int width, std::function<void(Wire::TaskStep &)> change)
{
    Wire::StepJob job;
    job.queue = "batch";
    job.payload = "payload-" + jobId;
    job.acceptedAtMs = sinceEpoch(wall()).count();
    for (int index = 0; index < steps; ++index) {
        Wire::TaskStep step;
        step.taskCount = width;
        step.milliCores = 1000;
        step.memoryMb = 500;
        step.estimateMs = 800;
        step.checkpointable = true;
        if (index > 0) {
            step.after.push_back(index - 1);
        }
        if (change) {
            change(step);
        }
        job.steps.push_back(step);
    }
    m_jobs[jobId] = job;
    append({0, submissionKey(jobId), encode(job)});
}

void DispatchWorld::cancel(const std::string &jobId)
{
    m_cancelled.insert(jobId);
    append({0, cancellationKey(jobId), "1"});
}

void DispatchWorld::claim()
{
    Wire::TopicClaim record;
    record.instance = "instance-" + std::to_string(m_owners.size());
    record.term = static_cast<std::int64_t>(m_owners.size()) + 1;
    append({0, claimKey(), encode(record)});
    auto owner = std::make_shared<Owner>(record.term, DispatchLimits());
    owner->dispatcher.begin(record.term, m_table, now);
    for (const auto &worker : m_workers) {
        owner->dispatcher.updateWorker(worker->info());
    }
    owner->nextTick = now;
    m_owners.push_back(std::move(owner));
}

void DispatchWorld::freezeOwner(Duration time)
{
    m_owners.back()->frozenUntil = now + time;
}

void DispatchWorld::cutOwnerFromStore(Duration time)
{
    m_owners.back()->cutUntil = now + time;
}

void DispatchWorld::restartWorker(std::size_t index, Duration downTime)
{
    SimulatedWorker &worker = *m_workers[index];
    worker.restart(now);
    worker.cutOff = true;
    at(now + downTime, [this, &worker] {
        worker.restart(now);
        worker.cutOff = false;
    });
}

void DispatchWorld::run(Duration time)
{
    const TimePoint until = now + time;
    while (now < until) {
        now += Step;
        tick();
    }
}

bool DispatchWorld::isComplete(const std::string &jobId) const
{
    return phaseOf(jobId) == Wire::JobPhase::Completed;
}

Wire::JobPhase::type DispatchWorld::phaseOf(const std::string &jobId) const
{
    const JobEntry *entry = m_table.find(jobId);
    return entry != nullptr ? entry->phase() : Wire::JobPhase::Pending;
}

std::size_t DispatchWorld::startsOn(const std::string &worker) const
{
    return static_cast<std::size_t>(std::ranges::count_if(starts, [&](const auto &start) { return start.second == worker; }));
}

std::size_t DispatchWorld::openRuns() const
{
    return m_running.size();
}

void DispatchWorld::at(TimePoint time, Event event)
{
    m_events.emplace(time, std::move(event));
}

void DispatchWorld::tick()
{
    while (!m_events.empty() && m_events.begin()->first <= now) {
        const Event event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (const auto &worker : m_workers) {
        worker->advance(now);
    }
    for (const auto &owner : std::vector<std::shared_ptr<Owner>>(m_owners)) {
        if (!owner->deposed && now >= owner->frozenUntil && now >= owner->nextTick) {
            owner->nextTick = now + OwnerTick;
            tickOwner(*owner);
        }
    }
}

void DispatchWorld::tickOwner(Owner &owner)
{
    if (now >= owner.nextRead && now >= owner.cutUntil) {
        owner.nextRead = now + 50ms;
        if (owner.term != m_owners.back()->term) {
            owner.deposed = true;
            return;
        }
        owner.dispatcher.confirmRead(now);
    }
    owner.dispatcher.applyConfiguration(config, evacuated);
    for (DispatchAction &action : owner.dispatcher.advance(now, wall())) {
        perform(owner, std::move(action));
    }
}

void DispatchWorld::perform(Owner &owner, DispatchAction action)
{
    std::visit(Overloaded{
                   [&](const StartCommand &start) {
                       order(
                           owner,
                           start,
                           [](SimulatedWorker &worker, const StartCommand &value, TimePoint time) { return worker.start(value, time); },
                           [](Owner &sender, const StartCommand &value, const CommandResult &answer, TimePoint, TimePoint time) {
                               sender.dispatcher.startAnswered(value, answer, time);
                           });
                   },
                   [&](const StopCommand &stop) {
                       order(
                           owner,
                           stop,
                           [](SimulatedWorker &worker, const StopCommand &value, TimePoint time) { return worker.stop(value, time); },
                           [](Owner &sender, const StopCommand &value, const CommandResult &answer, TimePoint, TimePoint time) {
                               sender.dispatcher.stopAnswered(value, answer, time);
                           });
                   },
                   [&](const PollCommand &poll) {
                       order(
                           owner,
                           poll,
                           [](SimulatedWorker &worker, const PollCommand &value, TimePoint time) { return worker.poll(value, time); },
                           [](Owner &sender, const PollCommand &value, const PollResult &answer, TimePoint sentAt, TimePoint time) {
                               sender.dispatcher.pollAnswered(value, answer, sentAt, time);
                           });
                   },
                   [&](const ThrottleCommand &pace) { owner.dispatcher.paceAnswered(pace, CommandExecuted{}, now); },
                   [&](StoreRecords &records) { store(owner, std::move(records)); },
                   [&](const GiveUpOwnership &) { owner.deposed = true; },
                   [](const auto &) {},
               },
               action);
}

void DispatchWorld::answer(const std::shared_ptr<Owner> &owner, Duration delay, Event event)
{
    at(now + delay, [this, owner, event] {
        if (now < owner->frozenUntil) {
            at(owner->frozenUntil, event); // heard when the process goes on
        } else {
            event();
        }
    });
}

template<typename Order, typename Carry, typename Done>
void DispatchWorld::order(Owner &owner, const Order &order, Carry carry, Done done)
{
    const auto sender = *std::ranges::find_if(m_owners, [&](const auto &entry) { return entry.get() == &owner; });
    const auto worker = std::ranges::find_if(m_workers, [&](const auto &entry) { return entry->info().id == order.worker.id; });
    using Answer = decltype(carry(**worker, order, now));
    SimulatedWorker *target = worker->get();
    const TimePoint sentAt = now;
    const bool late = chance(faults.lateOrders);
    const Duration way = late ? Duration(2s + std::chrono::milliseconds(random(10000))) : Duration(std::chrono::milliseconds(1 + random(20)));
    const auto unknown = [=, this] { answer(sender, OrderTimeout, [=, this] { done(*sender, order, Answer(CommandUndetermined{"timeout"}), sentAt, now); }); };
    if (target->cutOff || late) {
        unknown();
    }
    if (target->cutOff) {
        return;
    }
    const bool lost = chance(faults.lostAnswers);
    const int life = target->life(); // the connection ends with the worker's process
    at(now + way, [=, this] {
        if (target->cutOff || target->life() != life) {
            if (!late) {
                unknown(); // lost on the way
            }
            return;
        }
        const Answer result = carry(*target, order, now);
        if (late) {
            return;
        }
        if (lost) {
            unknown();
        } else {
            answer(sender, std::chrono::milliseconds(1 + random(10)), [=, this] { done(*sender, order, result, sentAt, now); });
        }
    });
}

void DispatchWorld::store(Owner &owner, StoreRecords records)
{
    const auto sender = *std::ranges::find_if(m_owners, [&](const auto &entry) { return entry.get() == &owner; });
    const TimePoint reached = std::max(now, owner.cutUntil) + 6ms;
    at(reached, [=, this] {
        if (sender->term != m_owners.back()->term) {
            sender->deposed = true; // the store refuses the append of an earlier epoch
            return;
        }
        for (const KeyedRecord &record : records.records) {
            append(record);
        }
        answer(sender, 2ms, [=, this] { sender->dispatcher.recordsStored(now); });
    });
}

void DispatchWorld::append(const KeyedRecord &record)
{
    const JobKey key = m_table.apply({m_offset++, record.key, record.value});
    if (!m_owners.empty() && (key.kind == JobKeyKind::Submission || key.kind == JobKeyKind::Cancellation)) {
        const auto owner = m_owners.back();
        answer(owner, 20ms, [=, this] { owner->dispatcher.jobChanged(key.jobId, m_table.find(key.jobId), now, wall()); });
    }
}

void DispatchWorld::checkStart(const TaskId &task, int run, const std::string &worker)
{
    starts.emplace_back(task, worker);
    const auto violation = [&](const std::string &what) {
        violations.push_back(what + ": " + task.toString() + " run " + std::to_string(run) + " on " + worker);
    };
    if (m_running.contains(task)) {
        violation("runs twice, also on " + m_running[task]);
    }
    m_running[task] = worker;
    if (m_doneNoted.contains(task)) {
        violation("started after its end was noted");
    }
    if (m_failed[task] >= MaximumFailures) {
        violation("started after too many failures");
    }
    for (const std::int32_t earlier : m_jobs.at(task.job).steps[static_cast<std::size_t>(task.step)].after) {
        const int count = m_jobs.at(task.job).steps[static_cast<std::size_t>(earlier)].taskCount;
        for (int index = 0; index < count; ++index) {
            if (!m_done.contains({task.job, task.occurrence, earlier, index})) {
                violation("started before an earlier step was done");
                return;
            }
        }
    }
}

bool DispatchWorld::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

WallTime DispatchWorld::wall() const
{
    return WallTime(std::chrono::seconds(1'700'000'000) + std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch()));
}

} // namespace Hyssop::Testing
