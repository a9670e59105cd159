#pragma once

#include <dispatch/dispatchactions.h>
#include <utils/clock.h>

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Hyssop {

/// Combines the results of runs into few log lines. Each result is in exactly one line. The lines that are due are written at a
/// bounded rate, the oldest first, and at a lower one while many others are written; a line that has reached its size limit is
/// written immediately, and the oldest one when the number of steps reaches its limit.
class RunLog
{
public:
    /// Takes the result of a start command that was sent at @p sentAt and that a worker has executed. Its line tells how long the
    /// response took if that was long, and for how long the task had no run if it had one before.
    void started(const StartCommand &command, TimePoint sentAt, TimePoint now);

    /// Takes a start that was decided and not sent.
    void withdrawn(const StartWithdrawn &start, TimePoint now);

    /// Takes the end of a run that has completed its task.
    void completed(const RunEnded &end, TimePoint now);

    /// Returns true if an exceptional result may have a line of its own. Its caller combines the others: they are too many.
    bool takesOwnLine(TimePoint now);

    /// Takes another routine result, for example "stop-done".
    void other(const std::string &result, const TaskId &task, int run, const std::string &worker, TimePoint now);

    /// Takes an exceptional result, for example "start-unsent". Its line has the priority of lines with a single exceptional result.
    void exceptional(const std::string &result, const TaskId &task, int run, const std::string &worker, TimePoint now);

    /// Writes the oldest lines that are due.
    void writeDue(TimePoint now);

    /// Writes the lines about @p jobId.
    void writeJob(const std::string &jobId, TimePoint now);

    /// Writes the oldest lines, due or not, at a bounded rate. For the time after the ownership, when few results follow that could
    /// be combined.
    void writeRemaining(TimePoint now);

    /// Writes all lines.
    void writeAll(TimePoint now);

private:
    using StepKey = std::tuple<std::string, int, int>; // job, occurrence, step

    struct RunOfTask
    {
        int index = 0;
        int run = 0;
    };

    using RunsByWorker = std::map<std::string, std::vector<RunOfTask>>;

    struct StepResults
    {
        TimePoint since{}; // first result
        RunsByWorker started;
        RunsByWorker withdrawn;
        std::vector<RunOfTask> completed;
        std::map<std::string, RunsByWorker> others; // by result
        Duration slowestStart{0}; // from sending a start command to its response
        std::string withoutRun; // time without a run of started tasks: INDEX/RUN:MILLISECONDS
        std::size_t count = 0;
        bool hasExceptional = false;
    };

    using Steps = std::map<StepKey, StepResults>;

    static std::string toString(const std::vector<RunOfTask> &runs);
    static std::string toString(const RunsByWorker &runsByWorker);
    static std::string toString(const std::map<std::string, RunsByWorker> &others);

    /// Writes the oldest of the lines in @p items, at most @p most.
    void writeOldestOf(std::vector<Steps::iterator> items, std::size_t most, TimePoint now);
    void write(const StepKey &step, const StepResults &results, TimePoint now);
    void writeOldest(std::size_t most, TimePoint now);
    void beginSecond(TimePoint now);
    StepResults &resultsOf(const TaskId &task, TimePoint now);
    void writeIfFull(const TaskId &task, StepResults &results, TimePoint now);

    Steps m_steps;
    TimePoint m_secondStartedAt{};
    int m_ownLines = 0; // in this second
    int m_lines = 0; // with combined results, in this second
};

} // namespace Hyssop
