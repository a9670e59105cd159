#pragma once

#include "hyssop_types.h"

#include <dispatch/dispatcher.h>
#include <jobtopic/jobtable.h>
#include <ports/clusterconfig.h>
#include <ports/commandresults.h>
#include <ports/keyedrecord.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop::Testing {

/// A dispatcher with a store and workers whose behaviour the test scripts: tail latencies, pauses, orders without a response, takeovers.
class ScriptedFleet
{
public:
    static constexpr std::int64_t WorkerMilliCores = 64'000;

    struct Run
    {
        int run = 0;
        int speedPercent = 100;
        Duration worked{0}; // at full speed
    };

    struct Worker
    {
        WorkerInfo info;
        std::map<TaskId, Run> runs;
        double tailMs = 5; // of its serving tasks
        bool ignoresOrders = false; // answers polls, but neither executes nor answers other commands
        std::size_t unansweredStarts = 0; // so many of the next start commands are executed without a response
        std::function<bool()> losesPoll; // whether a poll is lost on its way; none: never
        std::vector<ReportedRunEnd> ends; // not acknowledged yet
        std::int64_t endCount = 0; // of its process
        std::vector<std::pair<PollCommand, TimePoint>> polls; // not answered, and when they were sent
    };

    explicit ScriptedFleet(int workers);

    /// Submits a job with one step through an instance whose time of day is ahead by @p clockLead.
    void submit(const std::string &jobId, const Wire::TaskStep &step, Duration clockLead = Duration(0));

    /// Removes the queue of all jobs from the configuration.
    void removeQueue();

    /// Pauses the first task of the job on its worker, as the present owner might.
    void pauseRun(const std::string &jobId);

    /// Lets another instance take over with what is stored.
    void takeOver();

    /// Lets @p count runs that no owner knows end on @p worker.
    static void addUnknownEnds(Worker &worker, std::size_t count);

    /// Ends the run of the first task of the job on its worker.
    void endRun(const std::string &jobId, RunEndReason endReason);

    void advance(Duration time);

    /// Advances until @p condition is met, for @p maximum at most. Returns how long that took.
    Duration advanceUntil(const std::function<bool()> &condition, Duration maximum);

    /// Returns the run of the first task of the job, or a null pointer.
    const Run *runOf(const std::string &jobId) const;

    Worker &worker(std::size_t index) { return m_workers[index]; }
    std::vector<StopCommand> stops;

private:
    void beginTerm();
    void tick();
    void perform(DispatchAction &action);
    void answerPoll(Worker &worker, const PollCommand &poll, TimePoint sentAt);
    void losePoll(const PollCommand &poll, TimePoint sentAt);
    static void addEnd(Worker &worker, const TaskId &task, int run, RunEndReason endReason);
    Worker &workerOf(const std::string &id);
    WallTime wall() const;

    std::unique_ptr<Dispatcher> m_dispatcher;
    std::int64_t m_term = 0;
    TimePoint m_now{std::chrono::seconds(1000)};
    ClusterConfig m_config;
    JobTable m_table;
    std::int64_t m_offset = 0;
    std::map<std::string, KeyedRecord> m_runs; // newest record of each key of the runs topic
    std::map<std::string, Wire::TaskStep> m_steps; // by job
    std::vector<Worker> m_workers;
    std::multimap<TimePoint, std::function<void()>> m_timeouts;
};

} // namespace Hyssop::Testing
