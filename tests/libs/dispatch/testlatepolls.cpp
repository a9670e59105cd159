#include "simulatedworker.h"
#include "singleworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <utils/overloaded.h>

#include <criterion/criterion.h>

#include <variant>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds MaximumLease = 10s;
constexpr auto Tick = 20ms;

Wire::StepJob servingJob()
{
    Wire::StepJob job;
    job.steps.resize(1);
    job.steps[0].taskCount = 1;
    job.steps[0].milliCores = 1000;
    job.steps[0].longRunning = true;
    return job;
}

WorkerInfo workerInfo()
{
    WorkerInfo info;
    info.id = "w";
    info.address = "127.0.0.1:1";
    return info;
}

DispatchLimits limits()
{
    DispatchLimits limits;
    limits.maximumLease = MaximumLease;
    return limits;
}

/// A worker with one serving task that restarts while a poll is in transit: the poll reaches the next process first. After the
/// task runs there, the worker is cut off.
class RestartedWorker
{
public:
    RestartedWorker()
        : m_worker(workerInfo(), m_now - 60s, MaximumLease)
    {
        m_worker.started = [](const TaskId &, int, const std::string &) {};
        m_worker.ended = [this](const TaskId &, int, const std::string &, RunEndReason) { endedAt = m_now; };
        m_worker.endAcknowledged = [](const TaskId &, int, const std::string &, RunEndReason) {};
        m_worker.plan = [](const TaskId &) { return SimulatedWorker::Run{1, TimePoint(10000s), RunEndReason::Completed, 0}; };
        beginWithSingleWorker(m_dispatcher, servingJob(), 64000, {m_now, m_now});
    }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += Tick) {
            m_worker.advance(m_now);
            m_dispatcher.confirmRead(m_now);
            m_dispatcher.confirmWorkersRead(m_now);
            const WallTime wall(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
            for (const DispatchAction &action : m_dispatcher.advance(m_now, wall)) {
                std::visit(Overloaded{[this](const PollCommand &poll) { answer(poll); },
                                      [this](const StartCommand &start) { m_dispatcher.startAnswered(start, m_worker.start(start, m_now), m_now); },
                                      [this](const AppendRecords &) { m_dispatcher.recordsStored(m_now); },
                                      [this](const RunEnded &) { assumedEndAt = m_now; },
                                      [](const auto &) {}},
                           action);
            }
        }
    }

    void restartWithNextPoll() { m_restarts = true; }
    void cut() { m_isCut = true; }
    bool isRunning() { return !m_worker.runs().empty(); }

    TimePoint endedAt{}; // end of the last run on the worker
    TimePoint assumedEndAt{}; // when the owner last considered a run as ended

private:
    void answer(const PollCommand &poll)
    {
        if (m_restarts && poll.leaseEnd) {
            m_restarts = false;
            m_worker.restart(m_now);
            m_worker.poll(poll, m_now); // its response is lost
            m_dispatcher.pollAnswered(poll, CommandUndetermined{"timeout"}, m_now, m_now);
        } else if (m_isCut) {
            m_dispatcher.pollAnswered(poll, CommandUndetermined{"timeout"}, m_now, m_now);
        } else {
            m_dispatcher.pollAnswered(poll, m_worker.poll(poll, m_now), m_now, m_now);
        }
    }

    TimePoint m_now{1000s};
    Dispatcher m_dispatcher{limits()};
    SimulatedWorker m_worker;
    bool m_restarts = false;
    bool m_isCut = false;
};

} // namespace

Test(latePolls, theLeaseThatALatePollGrantsToTheNextProcessIsWaitedFor)
{
    RestartedWorker worker;
    worker.run(2s);
    worker.restartWithNextPoll();
    worker.run(1s);
    cr_assert(worker.isRunning(), "the task was not started again after the restart");
    worker.cut();
    worker.run(20s);
    cr_assert_not(worker.isRunning());
    const auto overlap = std::chrono::duration_cast<std::chrono::milliseconds>(worker.endedAt - worker.assumedEndAt);
    cr_assert_leq(overlap.count(), 0, "the owner replaces the run %lld ms before it ends", static_cast<long long>(overlap.count()));
}
