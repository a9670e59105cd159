#pragma once

#include <ports/commandresults.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// A worker as the platform describes it: it fences by token, holds runs under a lease, numbers their ends, and repeats them
/// until they are acknowledged.
class SimulatedWorker
{
public:
    struct Run
    {
        int run = 0;
        TimePoint endsAt{}; // unless stopped
        RunEndReason endReason = RunEndReason::Completed;
        double tailMs = 0; // of a serving task; 0: not serving
    };

    /// Observes each start and each end; set by the world.
    std::function<void(const TaskId &, int run, const std::string &worker)> started;
    std::function<void(const TaskId &, int run, const std::string &worker, RunEndReason)> ended;
    std::function<void(const TaskId &, int run, const std::string &worker, RunEndReason)> endNoted;
    std::function<Run(const TaskId &)> plan; // how a run will end

    SimulatedWorker(WorkerInfo info, TimePoint born);

    CommandResult start(const StartCommand &order, TimePoint now);
    CommandResult stop(const StopCommand &order, TimePoint now);
    PollResult poll(const PollCommand &order, TimePoint now);

    /// Ends runs that are done and runs whose lease has lapsed.
    void advance(TimePoint now);

    /// Crashes and begins a new life under the same id.
    void restart(TimePoint now);

    const WorkerInfo &info() const { return m_info; }
    int life() const { return m_life; }
    std::size_t runCount() const { return m_runs.size(); }
    std::map<TaskId, Run> &runs() { return m_runs; }

    bool cutOff = false; // reachable by nobody

private:
    struct End
    {
        ReportedRunEnd row;
        bool noted = false;
        bool lapsed = false; // the lease lapsed before the end was acknowledged, so the end does not count
    };

    WorkerTime clock(TimePoint now) const;
    void extendLease(WorkerTime end);
    void finish(const TaskId &task, RunEndReason endReason);
    std::optional<CommandRejected> fence(std::int64_t token);

    WorkerInfo m_info;
    TimePoint m_born;
    int m_life = 0;
    std::int64_t m_token = 0;
    WorkerTime m_leaseEnd{0};
    std::map<TaskId, Run> m_runs;
    std::map<TaskId, int> m_highestEnded;
    std::vector<End> m_ends;
    std::int64_t m_lastEnd = 0;
};

} // namespace Hyssop::Testing
