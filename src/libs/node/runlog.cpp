#include "runlog.h"

#include <observability/logging.h>

#include <algorithm>
#include <limits>

namespace Hyssop {

namespace Internal {

constexpr std::chrono::milliseconds MinimumDelay{1000};
constexpr std::chrono::milliseconds SlowResponse{100}; // lines tell longer times
constexpr std::size_t MaximumDueLines = 2; // in a call
constexpr std::size_t MinimumDueLines = 1; // in a call, while many other lines are written
// While fewer lines were written in a second, those that are due take what is left. Leaves a part of the limit for routine lines to
// requests of callers.
constexpr int MaximumLines = 180;
constexpr std::size_t MaximumRemainingLines = 20; // in a call after the ownership
constexpr int MaximumOwnLines = 60; // in a second
// Bounds the length of a line.
constexpr std::size_t MaximumResults = 100;
// Bounds the memory while more steps have results than lines are due.
constexpr std::size_t MaximumSteps = 1000;

/// Appends "FIRST-LAST" or "FIRST", with "/RUN" unless it is the first run.
static void appendRange(std::string &text, int first, int last, int run)
{
    text += text.empty() ? "" : ",";
    text += std::to_string(first);
    if (last > first) {
        text += "-" + std::to_string(last);
    }
    if (run != 1) {
        text += "/" + std::to_string(run);
    }
}

} // namespace Internal

void RunLog::started(const StartCommand &command, TimePoint sentAt, TimePoint now)
{
    StepResults &results = resultsOf(command.task, now);
    results.started[command.worker.id].push_back({command.task.index, command.run});
    results.slowestStart = std::max(results.slowestStart, now - sentAt);
    if (command.withoutRun) {
        Internal::appendRange(results.withoutRun, command.task.index, command.task.index, command.run);
        results.withoutRun += ":" + std::to_string(command.withoutRun->count());
        results.hasExceptional = true;
    }
    writeIfFull(command.task, results, now);
}

void RunLog::withdrawn(const StartWithdrawn &start, TimePoint now)
{
    StepResults &results = resultsOf(start.task, now);
    results.withdrawn[start.worker].push_back({start.task.index, start.run});
    writeIfFull(start.task, results, now);
}

void RunLog::completed(const RunEnded &end, TimePoint now)
{
    StepResults &results = resultsOf(end.task, now);
    results.completed.push_back({end.task.index, end.run});
    writeIfFull(end.task, results, now);
}

void RunLog::beginSecond(TimePoint now)
{
    if (now - m_secondStartedAt >= std::chrono::seconds(1)) {
        m_secondStartedAt = now;
        m_ownLines = 0;
        m_lines = 0;
    }
}

bool RunLog::takesOwnLine(TimePoint now)
{
    beginSecond(now);
    return m_ownLines++ < Internal::MaximumOwnLines;
}

void RunLog::other(const std::string &result, const TaskId &task, int run, const std::string &worker, TimePoint now)
{
    StepResults &results = resultsOf(task, now);
    results.others[result][worker].push_back({task.index, run});
    writeIfFull(task, results, now);
}

void RunLog::exceptional(const std::string &result, const TaskId &task, int run, const std::string &worker, TimePoint now)
{
    StepResults &results = resultsOf(task, now);
    results.hasExceptional = true;
    results.others[result][worker].push_back({task.index, run});
    writeIfFull(task, results, now);
}

void RunLog::writeDue(TimePoint now)
{
    std::vector<Steps::iterator> due;
    for (auto item = m_steps.begin(); item != m_steps.end(); ++item) {
        if (now - item->second.since >= Internal::MinimumDelay) {
            due.push_back(item);
        }
    }
    beginSecond(now);
    writeOldestOf(std::move(due), m_lines < Internal::MaximumLines ? Internal::MaximumDueLines : Internal::MinimumDueLines, now);
}

void RunLog::writeRemaining(TimePoint now)
{
    beginSecond(now);
    if (m_lines < Internal::MaximumLines) {
        writeOldest(Internal::MaximumRemainingLines, now);
    }
}

void RunLog::writeOldest(std::size_t most, TimePoint now)
{
    std::vector<Steps::iterator> all;
    for (auto item = m_steps.begin(); item != m_steps.end(); ++item) {
        all.push_back(item);
    }
    writeOldestOf(std::move(all), most, now);
}

void RunLog::writeOldestOf(std::vector<Steps::iterator> items, std::size_t most, TimePoint now)
{
    const std::size_t count = std::min(items.size(), most);
    std::ranges::partial_sort(items, items.begin() + static_cast<std::ptrdiff_t>(count), {}, [](const auto &item) { return item->second.since; });
    items.resize(count);
    for (const auto &item : items) {
        write(item->first, item->second, now);
        m_steps.erase(item);
    }
}

void RunLog::writeJob(const std::string &jobId, TimePoint now)
{
    constexpr int Lowest = std::numeric_limits<int>::min();
    auto step = m_steps.lower_bound(StepKey(jobId, Lowest, Lowest));
    while (step != m_steps.end() && std::get<0>(step->first) == jobId) {
        write(step->first, step->second, now);
        step = m_steps.erase(step);
    }
}

void RunLog::writeAll(TimePoint now)
{
    for (auto &[step, results] : m_steps) {
        write(step, results, now);
    }
    m_steps.clear();
}

std::string RunLog::toString(const std::vector<RunOfTask> &runs)
{
    std::vector<RunOfTask> sorted = runs;
    std::ranges::sort(sorted, {}, [](const RunOfTask &run) { return std::pair(run.run, run.index); });
    std::string text;
    for (std::size_t first = 0; first < sorted.size();) {
        std::size_t last = first;
        while (last + 1 < sorted.size() && sorted[last + 1].run == sorted[first].run && sorted[last + 1].index == sorted[last].index + 1) {
            ++last;
        }
        Internal::appendRange(text, sorted[first].index, sorted[last].index, sorted[first].run);
        first = last + 1;
    }
    return text;
}

std::string RunLog::toString(const RunsByWorker &runsByWorker)
{
    std::string text;
    for (const auto &[worker, runs] : runsByWorker) {
        text += text.empty() ? "" : ";";
        text += worker + ":" + toString(runs);
    }
    return text;
}

std::string RunLog::toString(const std::map<std::string, RunsByWorker> &others)
{
    std::string text;
    for (const auto &[result, runs] : others) {
        text += text.empty() ? "" : ",";
        text += result + "(" + toString(runs) + ")";
    }
    return text;
}

void RunLog::write(const StepKey &step, const StepResults &results, TimePoint now)
{
    const auto &[jobId, occurrence, index] = step;
    std::vector<LogField> fields{{"job_id", jobId},
                                 {"step", std::to_string(occurrence) + "." + std::to_string(index)},
                                 {"started", toString(results.started)},
                                 {"withdrawn", toString(results.withdrawn)},
                                 {"completed", toString(results.completed)},
                                 {"other", toString(results.others)},
                                 {"span_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - results.since).count()}};
    if (results.slowestStart >= Internal::SlowResponse) {
        fields.emplace_back("start_response_ms", std::chrono::duration_cast<std::chrono::milliseconds>(results.slowestStart).count());
    }
    if (!results.withoutRun.empty()) {
        fields.emplace_back("without_run_ms", results.withoutRun);
    }
    logMessage(results.hasExceptional ? LogPriority::Outcome : LogPriority::Routine, LogLevel::Info, "owner", "run results", fields);
    beginSecond(now);
    ++m_lines;
}

RunLog::StepResults &RunLog::resultsOf(const TaskId &task, TimePoint now)
{
    const StepKey step(task.job, task.occurrence, task.step);
    if (m_steps.size() >= Internal::MaximumSteps && !m_steps.contains(step)) {
        writeOldest(1, now);
    }
    StepResults &results = m_steps[step];
    if (results.count == 0) {
        results.since = now;
    }
    ++results.count;
    return results;
}

void RunLog::writeIfFull(const TaskId &task, StepResults &results, TimePoint now)
{
    if (results.count < Internal::MaximumResults) {
        return;
    }
    const StepKey step(task.job, task.occurrence, task.step);
    write(step, results, now);
    m_steps.erase(step);
}

} // namespace Hyssop
