#include "support/capturedoutput.h"

#include <node/dispatchlog.h>
#include <observability/logging.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace Hyssop;
using Hyssop::Testing::CapturedOutput;
using namespace std::chrono_literals;

namespace {

constexpr int LineLimit = 400; // in a second
constexpr std::ptrdiff_t ByteLimit = 256 * 1024; // in a second
constexpr int TicksPerSecond = 50;
constexpr std::chrono::milliseconds TickInterval{20};
constexpr int Workers = 1100;
constexpr int UnreachableWorkers = 517;
constexpr int ServingJobs = 250; // that start when the ownership begins
constexpr int TasksPerServingJob = 24;
constexpr int JobsPerSecond = 50;
constexpr int StepsPerJob = 2;
constexpr int TasksPerStep = 29;
constexpr const char *WorkerUnreachableMessage = "worker unreachable";
constexpr const char *WorkerReachableMessage = "worker reachable again";

std::string workerName(int number)
{
    return "east-worker-" + std::to_string(number % Workers);
}

/// Returns the value of the field @p key of @p line, without quotes.
std::string field(const std::string &line, const std::string &key)
{
    const auto at = line.find(" " + key + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + key.size() + 2;
    if (line[begin] == '"') {
        return line.substr(begin + 1, line.find('"', begin + 1) - begin - 1);
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

/// The task indices of "0-3,7,9/2".
std::vector<int> indicesOf(const std::string &runs)
{
    std::vector<int> indices;
    for (const std::string &range : split(runs, ',')) {
        const auto ends = split(range.substr(0, range.find('/')), '-');
        for (int index = std::stoi(ends.front()); index <= std::stoi(ends.back()); ++index) {
            indices.push_back(index);
        }
    }
    return indices;
}

/// The facts that an on-call engineer finds in the log, each with the number of times that it occurs.
struct Findings
{
    explicit Findings(const std::string &text)
    {
        for (const std::string &line : split(text, '\n')) {
            read(line);
        }
    }

    void read(const std::string &line)
    {
        droppedLines += field(line, "dropped_lines").empty() ? 0 : std::stol(field(line, "dropped_lines"));
        const std::string message = field(line, "message");
        if (message == "run results") {
            readRuns(line);
        } else if (message == "start command result" && field(line, "outcome") == "done") {
            ++started[field(line, "task")];
        } else if (message == "run ended") {
            ++lapsed[field(line, "task") + " " + field(line, "evidence")];
        } else if (message == "job ended") {
            ++endedJobs[field(line, "job_id")];
        } else if (message.starts_with("worker ") || message.starts_with("leases ")) {
            readWorkers(message, line);
        }
    }

    void readRuns(const std::string &line)
    {
        const std::string step = field(line, "job_id") + "." + field(line, "step") + ".";
        for (const std::string &worker : split(field(line, "started"), ';')) {
            for (const int index : indicesOf(worker.substr(worker.find(':') + 1))) {
                ++started[step + std::to_string(index)];
            }
        }
        for (const int index : indicesOf(field(line, "completed"))) {
            ++completed[step + std::to_string(index)];
        }
        const std::string lapse = "run-lapsed-lease-expired(";
        const std::string other = field(line, "other");
        if (const auto at = other.find(lapse); at != std::string::npos) {
            const auto begin = at + lapse.size();
            for (const std::string &worker : split(other.substr(begin, other.find(')', begin) - begin), ';')) {
                for (const int index : indicesOf(worker.substr(worker.find(':') + 1))) {
                    ++lapsed[step + std::to_string(index) + " lease expired"];
                }
            }
        }
    }

    void readWorkers(const std::string &message, const std::string &line)
    {
        if (const std::string worker = field(line, "worker"); !worker.empty()) {
            ++changes[message][worker];
        }
        for (const std::string &change : split(field(line, "changes"), ';')) {
            ++changes[message][change.substr(0, change.find(':'))];
        }
    }

    std::map<std::string, int> started; // by task
    std::map<std::string, int> completed; // by task
    std::map<std::string, int> lapsed; // by task and evidence
    std::map<std::string, int> endedJobs;
    std::map<std::string, std::map<std::string, int>> changes; // by message and worker
    long droppedLines = 0;
};

/// Feeds the log of an owner of a large fleet under a paused clock, and checks the bounds in each second.
class Load
{
public:
    Load()
    {
        m_clock.pause();
        initializeLogging(LogLevel::Info, LogFormat::KeyValue, "front");
        setLogLineLimit(LineLimit);
        setLogClock(m_clock);
    }

    /// Calls @p feed with the number of each tick of a second.
    template<typename Feed>
    void second(Feed feed)
    {
        const std::string before = m_output.text();
        for (int tick = 0; tick < TicksPerSecond; ++tick) {
            feed(tick);
            m_clock.advance(TickInterval);
            log.writeDue(m_clock.now());
        }
        measure(m_output.text().substr(before.size()));
    }

    /// A second after the end of the ownership, in which the log is asked each @p interval ticks to write what remains.
    void standbySecond(int interval)
    {
        const std::string before = m_output.text();
        for (int tick = 0; tick < TicksPerSecond; ++tick) {
            if (tick % interval == 0) {
                log.writeRemaining(now());
            }
            m_clock.advance(TickInterval);
        }
        measure(m_output.text().substr(before.size()));
    }

    void idle(int seconds)
    {
        for (int number = 0; number < seconds; ++number) {
            second([](int) {});
        }
    }

    Findings findings()
    {
        log.writeAll(now());
        return Findings(m_output.text());
    }

    TimePoint now() const { return m_clock.now(); }

    void expectBounds() const
    {
        cr_assert_leq(m_mostLines, LineLimit);
        cr_assert_leq(m_mostBytes, ByteLimit, "%td bytes", m_mostBytes);
    }

    void startServingTasks(int tick)
    {
        for (int number = tick; number < ServingJobs * TasksPerServingJob; number += TicksPerSecond) {
            StartCommand command;
            command.worker.id = workerName(number);
            command.task = servingTask(number);
            command.run = 1;
            command.isServing = true;
            log.write(command, CommandExecuted{}, now(), now());
        }
    }

    static TaskId servingTask(int number) { return {"serving-" + std::to_string(number / TasksPerServingJob), 0, 0, number % TasksPerServingJob}; }

    void loseWorkers(int tick)
    {
        for (int number = tick; number < UnreachableWorkers; number += TicksPerSecond / 2) {
            const WorkerEvent event = WorkerUnreachable{workerName(number), "timeout", 3, 6, 250ms, 5100ms};
            log.write(event, now());
        }
    }

    void reachWorkers(int tick)
    {
        for (int number = tick; number < UnreachableWorkers; number += TicksPerSecond / 2) {
            const WorkerEvent event = WorkerReachableAgain{workerName(number), 1, 6, 700ms};
            log.write(event, now());
        }
    }

    /// Starts and ends the tasks of some jobs, with an interval of half a second.
    void runJobs(int second, int tick)
    {
        for (int index = 0; index < StepsPerJob * TasksPerStep; ++index) {
            const TaskId task{ordinaryJob(second, tick), 0, index / TasksPerStep, index % TasksPerStep};
            StartCommand command;
            command.worker.id = workerName(tick * StepsPerJob * TasksPerStep + index);
            command.task = task;
            command.run = 1;
            log.write(command, CommandExecuted{}, now(), now());
            m_running.push_back(task);
        }
        constexpr std::size_t RunningJobs = TicksPerSecond / 2;
        if (m_running.size() > RunningJobs * StepsPerJob * TasksPerStep) {
            endOldestJob();
        }
    }

    static std::string ordinaryJob(int second, int tick) { return "job-" + std::to_string(second) + "-" + std::to_string(tick); }

    void endOldestJob()
    {
        const std::string job = m_running.front().job;
        while (!m_running.empty() && m_running.front().job == job) {
            log.write(RunEnded{m_running.front(), 1, "w", RunEndReason::Completed, 0, false, RunEndEvidence::Report, 1}, now());
            m_running.erase(m_running.begin());
        }
        log.write(JobEnded{job, "completed", 700ms, true, 0ms, {}, {}}, now());
    }

    void endAllJobs()
    {
        while (!m_running.empty()) {
            endOldestJob();
        }
    }

    DispatchLog log;

private:
    void measure(const std::string &text)
    {
        m_mostLines = std::max(m_mostLines, std::ranges::count(text, '\n'));
        m_mostBytes = std::max(m_mostBytes, static_cast<std::ptrdiff_t>(text.size()));
    }

    Clock m_clock;
    CapturedOutput m_output;
    std::vector<TaskId> m_running;
    std::ptrdiff_t m_mostLines = 0;
    std::ptrdiff_t m_mostBytes = 0;
};

void expectServingStarts(const Findings &findings)
{
    int missing = 0;
    for (int number = 0; number < ServingJobs * TasksPerServingJob; ++number) {
        const auto found = findings.started.find(Load::servingTask(number).toString());
        missing += found != findings.started.end() && found->second == 1 ? 0 : 1;
    }
    cr_assert_eq(missing, 0, "%d serving tasks are not in exactly one line with their start", missing);
}

void expectWorkerChanges(const Findings &findings)
{
    for (const char *message : {WorkerUnreachableMessage, WorkerReachableMessage}) {
        const auto found = findings.changes.find(message);
        cr_assert(found != findings.changes.end());
        cr_assert_eq(found->second.size(), UnreachableWorkers, "%s: %zu workers", message, found->second.size());
        cr_assert(std::ranges::all_of(found->second, [](const auto &worker) { return worker.second == 1; }));
    }
}

void expectJobs(const Findings &findings, int seconds)
{
    int missingRuns = 0;
    int missingEnds = 0;
    for (int job = 0; job < seconds * JobsPerSecond; ++job) {
        const std::string id = Load::ordinaryJob(job / JobsPerSecond, job % JobsPerSecond);
        missingEnds += findings.endedJobs.contains(id) ? 0 : 1;
        for (int index = 0; index < StepsPerJob * TasksPerStep; ++index) {
            const std::string task = TaskId{id, 0, index / TasksPerStep, index % TasksPerStep}.toString();
            missingRuns += findings.started.contains(task) && findings.completed.contains(task) ? 0 : 1;
        }
    }
    cr_assert_eq(missingEnds, 0, "%d ends of jobs are missing", missingEnds);
    cr_assert_eq(missingRuns, 0, "%d runs are missing", missingRuns);
}

} // namespace

Test(logLoad, startsOfManyServingTasksAreNotDropped)
{
    Load load;
    load.second([&](int tick) { load.startServingTasks(tick); });
    load.idle(4);
    const Findings findings = load.findings();
    expectServingStarts(findings);
    cr_assert_eq(findings.droppedLines, 0);
    load.expectBounds();
}

Test(logLoad, changesOfManyWorkersAreNotDropped)
{
    Load load;
    load.second([&](int tick) {
        if (tick < TicksPerSecond / 2) {
            load.loseWorkers(tick);
        } else {
            load.reachWorkers(tick - TicksPerSecond / 2);
        }
    });
    load.idle(1);
    const Findings findings = load.findings();
    expectWorkerChanges(findings);
    cr_assert_eq(findings.droppedLines, 0);
    load.expectBounds();
}

Test(logLoad, ordinarySecondsOfALargeFleetDropNoLines)
{
    constexpr int Seconds = 4;
    Load load;
    for (int number = 0; number < Seconds; ++number) {
        load.second([&](int tick) { load.runJobs(number, tick); });
    }
    load.endAllJobs();
    const Findings findings = load.findings();
    expectJobs(findings, Seconds);
    cr_assert_eq(findings.droppedLines, 0);
    load.expectBounds();
}

Test(logLoad, burstsBesideAnOrdinaryLoadDropNoLines)
{
    constexpr int Seconds = 6;
    Load load;
    for (int number = 0; number < Seconds; ++number) {
        load.second([&](int tick) {
            load.runJobs(number, tick);
            if (number == 0) {
                load.startServingTasks(tick);
            } else if (number == 1 && tick < TicksPerSecond / 2) {
                load.loseWorkers(tick);
            } else if (number == 1) {
                load.reachWorkers(tick - TicksPerSecond / 2);
            }
        });
    }
    load.idle(2);
    load.endAllJobs();
    const Findings findings = load.findings();
    expectServingStarts(findings);
    expectWorkerChanges(findings);
    expectJobs(findings, Seconds);
    cr_assert_eq(findings.droppedLines, 0);
    load.expectBounds();
}

Test(logLoad, theEvidenceOfManyLapsedServingRunsIsNotDropped)
{
    constexpr int LapsedRuns = 600;
    Load load;
    load.second([&](int tick) {
        for (int number = tick; number < LapsedRuns; number += TicksPerSecond) {
            load.log.write(RunEnded{Load::servingTask(number), 1, workerName(number), RunEndReason::LeaseExpired, 0, true, RunEndEvidence::LeaseExpired, 1},
                           load.now());
        }
    });
    load.idle(2);
    const Findings findings = load.findings();
    cr_assert_eq(findings.lapsed.size(), LapsedRuns, "%zu of %d", findings.lapsed.size(), LapsedRuns);
    cr_assert(findings.lapsed.contains(Load::servingTask(LapsedRuns - 1).toString() + " lease expired"));
    cr_assert_eq(findings.droppedLines, 0);
    load.expectBounds();
}

// Guards against a burst beyond the limit of lines when an owner steps down under load.
Test(logLoad, resultsLeftAtTheEndOfTheOwnershipAreNotDropped)
{
    constexpr int StandbyInterval = 10; // in ticks
    Load load;
    load.second([&](int tick) { load.runJobs(0, tick); });
    load.second([&](int tick) {
        load.runJobs(1, tick);
        load.startServingTasks(tick);
    });
    for (int number = 0; number < 4; ++number) {
        load.standbySecond(StandbyInterval);
    }
    load.endAllJobs();
    const Findings findings = load.findings();
    expectServingStarts(findings);
    expectJobs(findings, 2);
    cr_assert_eq(findings.droppedLines, 0);
    load.expectBounds();
}
