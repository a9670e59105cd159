#pragma once

#include "hyssop_types.h"

#include <dispatch/dispatcher.h>
#include <ports/commandresults.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop::Testing {

class SimulatedAdviceService;

/// What the owner's processor takes for its work.
struct ProcessorCosts
{
    Duration tick{0};
    Duration response{0}; // to a start or a poll
    Duration listedRun{0}; // in a report
    Duration examinedWorker{0}; // for a step
};

/// A dispatcher with many workers that execute each command at once, without network, store and faults.
class DispatchFleet
{
public:
    static constexpr std::chrono::milliseconds TickInterval{20};

    DispatchFleet(int workers, std::int64_t milliCores);

    /// Adds an empty worker, or changes the entry of the one with number @p index.
    void addWorker(std::int64_t milliCores);
    void setCapacity(std::size_t index, std::int64_t milliCores);
    void setDraining(std::size_t index, bool isDraining);

    /// Submits a job that consists of @p step and, unless @p blockedTasks is 0, of a step with as many such tasks after it. It was accepted
    /// @p age ago.
    void submit(const Wire::TaskStep &step, int blockedTasks = 0, Duration age = Duration(0));

    void advance(Duration time);

    /// Lets the next tick begin only after the work of the last one, and responses to starts arrive at the next tick. Runs of tasks that do
    /// not serve complete after @p runTime.
    void limitProcessor(const ProcessorCosts &costs, Duration runTime);

    /// Lets a policy decide on which workers the jobs may run. @p service must outlive the fleet.
    void setAdviceService(SimulatedAdviceService &service);

    /// Returns the number of starts that workers have rejected because their ticket was not valid.
    std::size_t rejectedTickets() const { return m_rejectedTickets; }

    /// Returns the number of jobs of which no task has started.
    std::size_t jobsWithoutStart() const { return m_milliCores.size() - m_startedJobs.size(); }

    /// Lets ticks decide about @p scope only from now on.
    void setScope(TickScope scope) { m_scope = scope; }

    /// Returns the number of runs that have completed.
    std::size_t completedRuns() const { return m_completedRuns; }

    TimePoint now() const { return m_now; }

    /// Lets @p count runs of tasks that do not serve complete, in turn on all workers. Larger runs than @p maximumMilliCores go on.
    void completeRuns(int count, std::int64_t maximumMilliCores = std::numeric_limits<std::int64_t>::max());

    std::size_t openRuns() const { return m_dispatcher.openRuns(); }
    std::size_t starts() const { return m_starts; }
    std::size_t workersWithRuns() const;

    /// Returns the number of started tasks that need @p milliCores.
    std::size_t startsOf(std::int64_t milliCores) const;
    const PlacementWork &placementWork() const { return m_dispatcher.placementWork(); }

    /// Returns the processor time of Dispatcher::advance() so far.
    std::chrono::nanoseconds advanceTime() const { return m_advanceTime; }

private:
    struct Worker
    {
        WorkerInfo info;
        std::map<TaskId, ReportedRun> runs;
        std::set<TaskId> completableRuns;
        std::map<TaskId, TimePoint> startedAt;
        std::vector<ReportedRunEnd> ends; // not acknowledged
        std::int64_t lastEndSequence = 0;
        std::vector<std::pair<PollCommand, TimePoint>> polls; // not answered, and when they were sent
    };

    void tick();
    void receiveStartResponses();
    void completeDueRuns();

    /// Returns the time that the owner's processor took since the last call.
    Duration takeProcessorTime();
    void perform(DispatchAction &action);
    void startRun(const StartCommand &command);
    void receiveAdvice();
    bool completeRun(Worker &worker, std::int64_t maximumMilliCores);
    bool completeRun(Worker &worker, const TaskId &task);
    void answerPoll(Worker &worker, const PollCommand &poll, TimePoint sentAt);
    Worker &workerOf(const std::string &id) { return m_workers[m_indexes.at(id)]; }
    std::int64_t milliCoresOf(const TaskId &task) const { return m_milliCores.at(task.job); }
    WorkerTime clock() const;
    WallTime wall() const;

    ClusterConfig m_config;
    Dispatcher m_dispatcher{DispatchLimits()};
    TimePoint m_now{std::chrono::seconds(1000)};
    std::vector<Worker> m_workers;
    std::map<std::string, std::size_t> m_indexes; // by id
    std::map<std::string, std::int64_t> m_milliCores; // of the tasks, by job
    std::map<std::int64_t, std::size_t> m_startsBySize;
    std::size_t m_nextCompletion = 0; // index of the worker
    std::size_t m_starts = 0;
    std::set<std::string> m_startedJobs;
    SimulatedAdviceService *m_adviceService = nullptr;
    std::size_t m_rejectedTickets = 0;
    TickScope m_scope = TickScope::All;
    std::optional<ProcessorCosts> m_costs;
    Duration m_runTime{0};
    std::vector<StartCommand> m_startResponses; // that arrive at the next tick
    std::multimap<TimePoint, std::pair<std::size_t, TaskId>> m_runEnds; // index of the worker
    std::size_t m_completedRuns = 0;
    std::int64_t m_responses = 0; // since the last call of takeProcessorTime()
    std::int64_t m_listedRuns = 0;
    std::uint64_t m_chargedExaminations = 0;
    std::chrono::nanoseconds m_advanceTime{0};
};

} // namespace Hyssop::Testing
