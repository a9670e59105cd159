#pragma once

#include "modelworker.h"
#include "stagetimes.h"

#include <dispatch/dispatcher.h>
#include <jobtopic/jobtable.h>
#include <node/dispatchlog.h>
#include <observability/metricsregistry.h>
#include <utils/clock.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Hyssop::Bench {

/// Size and load of a ModelFleet.
struct FleetOptions
{
    int workers = 1100;
    int jobsPerSecond = 50;
    int burstJobsPerSecond = 0; // instead, during the burst
    std::chrono::seconds burstBegin{0}; // after the begin of the load
    std::chrono::seconds burstEnd{0};
    std::chrono::nanoseconds exchangeTime{0}; // processor time of an HTTP exchange with a worker
    double coreShare = 0; // of the owner, whose processor time then delays what it does; 0: it takes no virtual time
    std::uint32_t seed = 1;
};

/// A Dispatcher with workers and the store in virtual time. Serving jobs reserve 80 % of the capacity; best-effort and other jobs
/// arrive at a constant rate.
class ModelFleet
{
public:
    explicit ModelFleet(const FleetOptions &options);
    ~ModelFleet();

    ModelFleet(const ModelFleet &) = delete;
    ModelFleet &operator=(const ModelFleet &) = delete;

    /// Advances the virtual time and measures the calls of the dispatcher.
    void run(std::chrono::milliseconds time);

    void clearCounts();

    /// Returns the costs of the stages of the owner, which were measured for @p simulated.
    std::vector<StageCost> costs(std::chrono::milliseconds simulated) const { return m_times.costs(simulated); }

    /// Returns how many events of a kind, for example "starts", occurred in a second.
    double eventsPerSecond(const std::string &event, std::chrono::milliseconds simulated) const;

    void printCounts(std::chrono::milliseconds simulated) const;

    /// Prints the load, the delays of ticks and the progress since the last call.
    void printProgress();

private:
    using Event = std::function<void()>;

    void at(TimePoint time, Event event) { m_events.emplace(time, std::move(event)); }
    /// Adds an event of the owner, which happens later if the owner is busy at @p time.
    void atOwner(TimePoint time, Event event);
    void serveOwner();
    void runNextEvent();
    void submitDueJob();
    int jobsPerSecond() const;

    /// Adds the processor time of an HTTP exchange, which the model does not make.
    void chargeExchange();
    void submit(const Wire::StepJob &job);
    void submitServingJobs();
    Wire::StepJob servingJob() const;
    Wire::StepJob shortJob();
    void tick();
    void perform(DispatchAction action);
    void perform(StartCommand command);
    void perform(StopCommand command);
    void perform(ThrottleCommand command);
    void perform(PollCommand command);
    void perform(const AppendRecords &append);
    void perform(const RunEnded &end);
    void logStart(const StartCommand &command, const CommandResult &result, TimePoint sentAt);
    void logStop(const StopCommand &command, const CommandResult &result);
    void logThrottle(const ThrottleCommand &command, const CommandResult &result);
    /// Writes the log line of an event, as the owner does.
    template<typename DispatchEvent>
    void log(const DispatchEvent &event);
    ModelWorker &workerOf(const WorkerAddress &address) { return m_workers.at(address.id); }
    int random(int minimum, int maximum) { return std::uniform_int_distribution<int>(minimum, maximum)(m_random); }
    WallTime wall() const;

    FleetOptions m_options;
    std::mt19937 m_random;
    TimePoint m_now{std::chrono::seconds(1000)};
    Clock m_logClock; // stands at m_now
    Dispatcher m_dispatcher;
    JobTable m_table;
    std::map<std::string, ModelWorker> m_workers; // by id
    std::multimap<TimePoint, Event> m_events;
    std::deque<Event> m_ownerEvents; // that are due
    TimePoint m_ownerFreeAt{};
    bool m_isOwnerWaking = false;
    std::chrono::nanoseconds m_charged{0}; // of m_times and m_exchanges
    std::chrono::nanoseconds m_exchanges{0};
    TimePoint m_begin{};
    TimePoint m_progressAt{}; // of the last call of printProgress()
    std::map<std::string, std::int64_t> m_printedCounts;
    std::int64_t m_jobs = 0;
    std::map<TaskId, TimePoint> m_runEnds; // when the run of a task ends
    std::int64_t m_knownEnds = 0;
    Duration m_endDelay{0}; // sum of the times from the ends until the dispatcher reports them
    Duration m_longestEndDelay{0};
    std::map<std::string, std::int64_t> m_counts; // by event
    StageTimes m_times;
    DispatchLog m_log;
    MetricsRegistry m_metrics;
};

} // namespace Hyssop::Bench
