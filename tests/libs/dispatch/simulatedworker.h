#pragma once

#include <ports/commandresults.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// A worker that follows the platform's contract: it rejects commands with an old fencing token, keeps runs only while its
/// lease is valid, numbers their ends, and reports an end until it is acknowledged.
class SimulatedWorker
{
public:
    struct Run
    {
        int run = 0;
        TimePoint endsAt{}; // unless stopped
        RunEndReason endReason = RunEndReason::Completed;
        double tailMs = 0; // reported tail latency of a serving task; 0: not a serving task
    };

    /// Observers of starts and ends, set by the simulation.
    std::function<void(const TaskId &, int run, const std::string &worker)> started;
    std::function<void(const TaskId &, int run, const std::string &worker, RunEndReason)> ended;
    std::function<void(const TaskId &, int run, const std::string &worker, RunEndReason)> endAcknowledged;
    std::function<Run(const TaskId &)> plan; // determines when and how a run ends

    SimulatedWorker(WorkerInfo info, TimePoint startedAt, WorkerTime maximumLease);

    CommandResult start(const StartCommand &command, TimePoint now);
    CommandResult stop(const StopCommand &command, TimePoint now);
    PollResult poll(const PollCommand &command, TimePoint now);

    /// Ends the runs that are due, or all runs if the lease has expired.
    void advance(TimePoint now);

    /// Simulates a crash and a restart under the same id.
    void restart(TimePoint now);

    const WorkerInfo &info() const { return m_info; }
    int incarnation() const { return m_incarnation; }
    std::size_t runCount() const { return m_runs.size(); }
    std::map<TaskId, Run> &runs() { return m_runs; }
    const std::map<TaskId, Run> &runs() const { return m_runs; }

    bool unreachable = false; // no message reaches the worker
    bool refusesConnections = false; // connections to its address are refused
    bool hasEnded = false; // the process has ended, and no other one has begun

private:
    struct End
    {
        ReportedRunEnd report;
        bool acknowledged = false;
        bool expired = false; // the lease expired before the end was acknowledged, so the end does not count
    };

    WorkerTime clock(TimePoint now) const;
    void extendLease(WorkerTime end);
    void finish(const TaskId &task, RunEndReason endReason);
    std::optional<CommandRejected> fence(std::int64_t token);

    WorkerInfo m_info;
    TimePoint m_startedAt;
    WorkerTime m_maximumLease; // longer leases are truncated
    int m_incarnation = 0;
    std::int64_t m_token = 0;
    WorkerTime m_leaseEnd{0};
    std::map<TaskId, Run> m_runs;
    std::map<TaskId, int> m_newestEndedRun;
    std::vector<End> m_ends;
    std::int64_t m_lastEndSequence = 0;
};

} // namespace Hyssop::Testing
