#pragma once

#include "ownerstalls.h"
#include "waitinginvariant.h"

#include "hyssop_types.h"

#include <dispatch/dispatcher.h>
#include <ports/commandresults.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// A dispatcher with workers on which best-effort tasks interfere with serving tasks, without network, store and faults.
///
/// The load of a serving job is a sine with a phase of its own. A best-effort run adds its job's effect, times its share of the worker's
/// capacity and its speed, to the utilization of each serving run, and progresses with its speed.
///
/// Unless messages are delayed, commands are executed and their responses handled at once.
class ColocatedFleet
{
public:
    static constexpr std::chrono::milliseconds TickInterval{20};
    static constexpr double BaseTailMs = 4;
    static constexpr std::int64_t TailTargetMs = 18;

    ColocatedFleet(int workers, std::int64_t milliCores);

    /// Submits a serving job with one task on a worker at most, whose load peaks at @p peak after the beginning and then every LoadPeriod.
    void submitServing(const std::string &jobId, int tasks, std::int64_t milliCores, Duration peak);

    /// Submits a best-effort job with tasks of @p image that take @p duration at full speed. A whole worker of them would add
    /// @p effect to the utilization of a serving run.
    void submitBestEffort(const std::string &jobId, int tasks, std::int64_t milliCores, const std::string &image, double effect, Duration duration);

    /// Submits a best-effort job as above whose stopped runs store a checkpoint, so the next run of the task continues there.
    void submitCheckpointable(const std::string &jobId, int tasks, std::int64_t milliCores, const std::string &image, double effect, Duration duration);

    /// Lets the worker with this number reject all start commands from now on.
    void rejectStarts(int worker) { m_workers[static_cast<std::size_t>(worker)].rejectsStarts = true; }

    /// Delays each command and each response by a random time between @p minimum and @p maximum from now on.
    void delayMessages(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum, std::uint32_t seed);

    /// Lets the next @p commands that raise the speed of a run get no response, and executes them @p delay after they were sent.
    void executeRaisesLate(int commands, std::chrono::milliseconds delay);

    /// Returns how many of these commands have not been sent.
    int remainingLateRaises() const { return m_lateRaises; }

    /// Stalls the dispatcher from now on: it handles no response and decides nothing meanwhile.
    void stallOwner(const OwnerStalls &stalls) { m_ownerStalls = stalls; }

    /// Changes the effect of the runs of a best-effort job.
    void changeEffect(const std::string &jobId, double effect) { m_jobs.at(jobId).effect = effect; }

    /// Changes the entry of the worker with this number.
    void changeWorker(int worker, const std::string &rack, bool isDraining);

    /// Submits a job with tasks of reserved capacity that run for @p duration; @p sameRack is that of the step.
    void submitCounted(const std::string &jobId, int tasks, std::int64_t milliCores, Duration duration, bool sameRack);

    void advance(Duration time);

    /// Returns the time from the submission of the job until its first run began, or until now.
    Duration waitingTime(const std::string &jobId) const;
    bool isComplete(const std::string &jobId) const;

    /// Returns the longest time on end during which no worker had a run of the best-effort job, whatever the speed of its runs, although it
    /// was not complete. It counts from the submission or the last call of forgetTimesWithoutRun().
    Duration longestTimeWithoutRun(const std::string &jobId) const { return m_jobs.at(jobId).longestTimeWithoutRun; }
    void forgetTimesWithoutRun();

    /// Returns true if in this time the platform might have found the job lost: at three looks, LookInterval apart, no worker had a run of it.
    bool mightBeFoundLost(const std::string &jobId) const;

    /// Returns the share of the fleet's capacity that serving runs have reserved.
    double reservedShare() const;

    /// Returns the number of runs that were stopped before they had completed.
    int stoppedRuns() const { return m_stoppedRuns; }

    /// Returns the longest time on end during which a serving run exceeded its target.
    Duration longestTimeOverTarget() const { return m_longestTimeOverTarget; }

    /// Describes the steps and serving tasks that had no run for longer than the platform permits. Serving tasks are checked at any time,
    /// others from FinishTime after the last submission on.
    const std::vector<std::string> &lostWaits() const { return m_waitingInvariant.violations(); }

    static constexpr Duration LoadPeriod = std::chrono::seconds(10);
    static constexpr std::chrono::milliseconds LookInterval{1500}; // of the platform
    static constexpr Duration FinishTime = std::chrono::seconds(14); // after the end of the traffic the platform asks for all jobs

private:
    struct Job
    {
        bool isServing = false;
        Duration peak{0}; // of a serving job
        double effect = 0; // of a best-effort job
        Duration duration{0}; // of a best-effort job
        Wire::TaskStep step;
        int completed = 0;
        TimePoint submittedAt{};
        std::optional<TimePoint> startedAt;
        TimePoint lastRunAt{}; // when a worker last had a run, or the submission
        Duration longestTimeWithoutRun{0};
        std::vector<bool> waited; // in each tick: it was not complete and had no run
    };

    struct Run
    {
        int run = 0;
        int speedPercent = 100;
        Duration worked{0}; // at full speed
        Duration overTarget{0}; // of a serving run, on end
    };

    struct Poll
    {
        PollCommand command;
        TimePoint sentAt{};
        TimePoint arrivedAt{};
    };

    struct Worker
    {
        WorkerInfo info;
        std::map<TaskId, Run> runs;
        std::map<TaskId, int> newestEndedRun;
        std::vector<ReportedRunEnd> ends; // not acknowledged
        std::int64_t lastEndSequence = 0;
        bool rejectsStarts = false;
        std::vector<Poll> polls; // not answered
    };

    void submitBestEffort(const std::string &jobId, const Wire::TaskStep &step, double effect, Duration duration);
    void submit(const std::string &jobId, const Wire::TaskStep &step, const Job &job);
    void tick();
    void advanceDispatcher();
    void observeWaits();
    void send(std::function<void()> message);
    void respond(std::function<void()> handle);
    void perform(DispatchAction &action);
    CommandResult start(const StartCommand &command);
    CommandResult stop(const StopCommand &command);
    CommandResult setSpeed(const ThrottleCommand &command);
    bool isRaise(const ThrottleCommand &command);
    void setSpeedLate(const ThrottleCommand &command);
    CommandExecuted executed() const;
    void work(Worker &worker);
    void answerPoll(Worker &worker, const Poll &poll);
    void updateTimesWithoutRun();
    double tailOf(const Worker &worker, const TaskId &serving) const;
    Worker &workerOf(const std::string &id) { return m_workers[m_indexes.at(id)]; }
    WallTime wall() const;

    Dispatcher m_dispatcher{DispatchLimits()};
    TimePoint m_now{std::chrono::seconds(1000)};
    std::vector<Worker> m_workers;
    std::map<std::string, std::size_t> m_indexes; // by id
    std::map<std::string, Job> m_jobs;
    std::map<TaskId, TimePoint> m_stoppedAt;
    std::multimap<TimePoint, std::function<void()>> m_messages; // in transit, by when they arrive
    std::chrono::milliseconds m_minimumDelay{0};
    std::chrono::milliseconds m_maximumDelay{0};
    std::mt19937 m_random;
    int m_lateRaises = 0; // so many of the next commands that raise a speed are executed late
    std::chrono::milliseconds m_raiseDelay{0};
    OwnerStalls m_ownerStalls;
    Duration m_longestTimeOverTarget{0};
    int m_stoppedRuns = 0;
    TimePoint m_lastSubmission{};
    WaitingInvariant m_waitingInvariant;
};

} // namespace Hyssop::Testing
