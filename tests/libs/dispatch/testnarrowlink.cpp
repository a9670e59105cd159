#include "simulatedworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto Tick = 20ms;
constexpr int Workers = 120;
constexpr int Tasks = 3000;
constexpr std::size_t CommandsPerTick = 10; // that the link of the owner carries
constexpr std::chrono::milliseconds StartTimeout{800};
constexpr std::chrono::milliseconds PollTimeout{900}; // beyond the wait

/// An owner whose commands to many workers share a narrow link, where they wait for each other.
class NarrowLink
{
public:
    NarrowLink()
    {
        QueueInfo queue;
        queue.name = "batch";
        queue.workerPool = "hall";
        ClusterConfig config;
        config.queues["batch"] = queue;
        m_dispatcher.applyConfiguration(config, {});
        JobTable table;
        table.apply({0, submissionKey("j"), encode(manyTasks())});
        m_dispatcher.beginTerm(1, table, {m_now, m_now}, true);
        for (int index = 0; index < Workers; ++index) {
            addWorker("w" + std::to_string(index));
        }
    }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += Tick) {
            m_dispatcher.confirmRead(m_now);
            m_dispatcher.confirmWorkersRead(m_now);
            for (const auto &[id, worker] : m_workers) {
                worker->advance(m_now);
            }
            const WallTime wall(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
            for (const DispatchAction &action : m_dispatcher.advance(m_now, wall)) {
                handle(action);
            }
            transmit();
        }
    }

    int unreachableWorkers = 0;
    int expiredLeases = 0;
    int startedRuns = 0;

private:
    static Wire::StepJob manyTasks()
    {
        Wire::StepJob job;
        job.queue = "batch";
        job.steps.resize(1);
        job.steps[0].taskCount = Tasks;
        job.steps[0].milliCores = 1000;
        job.steps[0].estimateMs = 60'000;
        return job;
    }

    void addWorker(const std::string &id)
    {
        WorkerInfo info;
        info.id = id;
        info.workerPool = "hall";
        info.address = "127.0.0.1:1";
        info.capacity.milliCores = 64'000;
        auto worker = std::make_unique<SimulatedWorker>(info, m_now - 60s, DispatchLimits().maximumLease);
        worker->plan = [](const TaskId &) { return SimulatedWorker::Run{0, TimePoint(60s), RunEndReason::Completed, 0}; };
        worker->started = [this](const TaskId &, int, const std::string &) { ++startedRuns; };
        worker->ended = [](const TaskId &, int, const std::string &, RunEndReason) {};
        worker->endAcknowledged = [](const TaskId &, int, const std::string &, RunEndReason) {};
        m_workers[id] = std::move(worker);
        m_dispatcher.updateWorker(info);
    }

    void handle(const DispatchAction &action)
    {
        std::visit(Overloaded{[this](const StartCommand &start) { m_commands.emplace_back(start, m_now); },
                              [this](const StopCommand &stop) { m_commands.emplace_back(stop, m_now); },
                              [this](const PollCommand &poll) { m_commands.emplace_back(poll, m_now); },
                              [this](const AppendRecords &) { m_dispatcher.recordsStored(m_now); },
                              [this](const WorkerUnreachable &) { ++unreachableWorkers; },
                              [this](const WorkerLeaseExpired &) { ++expiredLeases; },
                              [](const auto &) {}},
                   action);
    }

    /// Executes the commands that have passed the link, and delivers the responses that have arrived.
    void transmit()
    {
        for (std::size_t count = 0; count < CommandsPerTick && !m_commands.empty(); ++count) {
            const auto [command, sentAt] = m_commands.front();
            m_commands.pop_front();
            std::visit([this, sent = sentAt](const auto &typed) { execute(typed, sent); }, command);
        }
        while (!m_responses.empty() && m_responses.begin()->first <= m_now) {
            const std::function<void()> respond = m_responses.begin()->second;
            m_responses.erase(m_responses.begin());
            respond();
        }
    }

    void execute(const StartCommand &start, TimePoint sentAt)
    {
        CommandResult result = m_workers.at(start.worker.id)->start(start, m_now);
        if (m_now - sentAt > StartTimeout) {
            result = CommandUndetermined{"timeout"};
        }
        m_dispatcher.startAnswered(start, result, m_now);
    }

    void execute(const StopCommand &stop, TimePoint) { m_dispatcher.stopAnswered(stop, m_workers.at(stop.worker.id)->stop(stop, m_now), m_now); }

    void execute(const PollCommand &poll, TimePoint sentAt)
    {
        const PollResult report = m_workers.at(poll.worker.id)->poll(poll, m_now);
        const bool isLate = m_now - sentAt > PollTimeout;
        m_responses.emplace(isLate ? m_now : m_now + poll.wait, [this, poll, sentAt, isLate, report] {
            m_dispatcher.pollAnswered(poll, isLate ? PollResult(CommandUndetermined{"timeout"}) : report, sentAt, m_now);
        });
    }

    using Command = std::variant<StartCommand, StopCommand, PollCommand>;

    TimePoint m_now{1000s};
    Dispatcher m_dispatcher{DispatchLimits()};
    std::map<std::string, std::unique_ptr<SimulatedWorker>> m_workers;
    std::deque<std::pair<Command, TimePoint>> m_commands;
    std::multimap<TimePoint, std::function<void()>> m_responses;
};

} // namespace

Test(narrowLink, aBurstOfStartsDoesNotMakeWorkersUnreachable)
{
    NarrowLink link;
    link.run(2s);
    link.run(38s);
    cr_assert_eq(link.unreachableWorkers, 0, "%d times a worker counted as unreachable", link.unreachableWorkers);
    cr_assert_eq(link.expiredLeases, 0);
    cr_assert_eq(link.startedRuns, Tasks, "%d runs were started", link.startedRuns);
}
