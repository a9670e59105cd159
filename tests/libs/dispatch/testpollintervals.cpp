#include "simulatedworker.h"
#include "singleworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <dispatch/ownerlateness.h>
#include <utils/overloaded.h>

#include <criterion/criterion.h>

#include <array>
#include <optional>
#include <variant>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};

/// A worker with two runs of which the first one ends after 500 ms. The store does not respond after the runs have started.
class WorkerWithPendingEnd
{
public:
    explicit WorkerWithPendingEnd(Duration secondEnd)
        : m_secondEnd(secondEnd)
        , m_worker(workerInfo(), Begin - 10s, DispatchLimits().maximumLease)
    {
        m_worker.plan = [this](const TaskId &task) {
            const TimePoint endsAt = task.index == 0 ? TimePoint(500ms) : TimePoint(500ms + m_secondEnd);
            return SimulatedWorker::Run{0, endsAt, RunEndReason::Completed, 0};
        };
        m_worker.started = [](const TaskId &, int, const std::string &) {};
        m_worker.endAcknowledged = [](const TaskId &, int, const std::string &, RunEndReason) {};
        m_worker.ended = [this](const TaskId &task, int, const std::string &, RunEndReason) { endedAt.at(static_cast<std::size_t>(task.index)) = m_now; };
        beginWithSingleWorker(m_dispatcher, job(), 64000, {m_now, m_now});
    }

    void run(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += tickInterval) {
            m_worker.advance(m_now);
            m_dispatcher.confirmRead(m_now);
            m_dispatcher.confirmWorkersRead(m_now);
            const WallTime wall(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
            for (const DispatchAction &action : m_dispatcher.advance(m_now, wall)) {
                perform(action);
            }
        }
    }

    std::chrono::milliseconds tickInterval{20};
    int pollsWithPendingEnd = 0; // after the end of the first run was reported, and before that of the second one was
    std::array<std::optional<TimePoint>, 2> endedAt; // by index of the task
    std::array<std::optional<TimePoint>, 2> knownAt;

private:
    static WorkerInfo workerInfo()
    {
        WorkerInfo info;
        info.id = "w";
        return info;
    }

    Wire::StepJob job() const
    {
        Wire::StepJob job;
        job.queue = "batch";
        job.steps.resize(1);
        job.steps[0].taskCount = 2;
        job.steps[0].milliCores = 1000;
        job.steps[0].estimateMs = 10000;
        return job;
    }

    void perform(const DispatchAction &action)
    {
        std::visit(Overloaded{[this](const PollCommand &poll) { answer(poll); },
                              [this](const StartCommand &start) { m_dispatcher.startAnswered(start, m_worker.start(start, m_now), m_now); },
                              [this](const AppendRecords &) {
                                  if (m_worker.runCount() == 0 && !endedAt[0]) {
                                      m_dispatcher.recordsStored(m_now);
                                  }
                              },
                              [this](const RunEnded &end) { knownAt.at(static_cast<std::size_t>(end.task.index)) = m_now; },
                              [](const auto &) {}},
                   action);
    }

    void answer(const PollCommand &poll)
    {
        pollsWithPendingEnd += knownAt[0] && !knownAt[1] ? 1 : 0;
        m_dispatcher.pollAnswered(poll, m_worker.poll(poll, m_now), m_now, m_now);
    }

    TimePoint m_now = Begin;
    Duration m_secondEnd;
    Dispatcher m_dispatcher{DispatchLimits()};
    SimulatedWorker m_worker;
};

constexpr Duration LateEnd = 60s;

} // namespace

// Guards against polls that can tell nothing: while an end is not durable, each of them is answered at once.
Test(pollIntervals, pollsRarelyWhileNoRunIsExpectedToEnd)
{
    WorkerWithPendingEnd worker(LateEnd);
    worker.run(1500ms);
    cr_assert(worker.knownAt[0].has_value());
    cr_assert_leq(worker.pollsWithPendingEnd, 8); // in the second after the end
    cr_assert_geq(worker.pollsWithPendingEnd, 3);
}

// Guards against ends that are known late: a run may fail long before it is expected to end.
Test(pollIntervals, learnsOfAnUnexpectedEndSoon)
{
    for (Duration secondEnd = 100ms; secondEnd < 500ms; secondEnd += 40ms) {
        WorkerWithPendingEnd worker(secondEnd);
        worker.run(1500ms);
        cr_assert(worker.endedAt[1] && worker.knownAt[1]);
        cr_assert_leq(*worker.knownAt[1] - *worker.endedAt[1], 220ms);
    }
}

// Guards against an overloaded owner that learns of ends more often than it can act on them, and has even less processor time for that.
Test(pollIntervals, anOwnerWhoseTicksAreLatePollsLessOften)
{
    WorkerWithPendingEnd worker(LateEnd);
    worker.tickInterval = 125ms;
    worker.run(2s);
    cr_assert(worker.knownAt[0].has_value());
    const int polls = worker.pollsWithPendingEnd;
    worker.run(6s);
    cr_assert_leq(worker.pollsWithPendingEnd - polls, 6s / OwnerLateness::MaximumPollInterval, "%d polls in 6 s", worker.pollsWithPendingEnd - polls);
    cr_assert_geq(worker.pollsWithPendingEnd - polls, 6);
}
