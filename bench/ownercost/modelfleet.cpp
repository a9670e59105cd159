#include "modelfleet.h"

#include <dispatch/claimtimes.h>
#include <jobtopic/jobkeys.h>
#include <node/ownerlog.h>
#include <observability/logging.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace Hyssop::Bench {

constexpr std::chrono::milliseconds Tick{20};
constexpr std::chrono::milliseconds TransitTime{2};
constexpr std::chrono::milliseconds StoreTime{25};
constexpr std::int64_t WorkerMilliCores = 74'600;
constexpr std::int64_t ServingMilliCores = 13'000;
constexpr int ServingTasks = 24;
constexpr int ServingPercent = 80; // of the capacity
constexpr int BestEffortPercent = 60; // of the other jobs
constexpr int Images = 40;
constexpr int EstimateMs = 1500;
constexpr int RackSize = 20;
constexpr int LogLinesPerSecond = 400; // as in the settings of hyssop-node

// Ids have the length of real ones.
static std::string idOf(const char *prefix, std::int64_t number)
{
    std::array<char, 32> text{};
    const std::uint64_t spread = static_cast<std::uint64_t>(number) * 2654435761U;
    std::snprintf(text.data(), text.size(), "%s%014llx", prefix, static_cast<unsigned long long>(spread));
    return text.data();
}

ModelFleet::ModelFleet(const FleetOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_dispatcher(DispatchLimits())
    , m_begin(m_now)
    , m_progressAt(m_now)
{
    initializeLogging(LogLevel::Info, LogFormat::KeyValue, "owner");
    setLogLineLimit(LogLinesPerSecond);
    setLogMetrics(&m_metrics);
    m_logClock.pause();
    setLogClock(m_logClock);
    ClusterConfig config;
    QueueInfo queue;
    queue.name = "batch";
    queue.workerPool = "hall";
    queue.maximumFailures = 3;
    queue.deadlineFactor = 2;
    queue.deadlineMargin = std::chrono::seconds(30);
    config.queues[queue.name] = queue;
    m_dispatcher.applyConfiguration(config, {});
    m_dispatcher.beginTerm(1, m_table, {m_now, m_now}, true);
    for (int index = 0; index < options.workers; ++index) {
        WorkerInfo info;
        info.id = idOf("aa", index);
        info.workerPool = queue.workerPool;
        info.address = "127.0.0.1:" + std::to_string(1 + index);
        info.failureDomain = index % 2 == 0 ? "a" : "b";
        info.rack = "r" + std::to_string(index / RackSize);
        info.capacity.milliCores = WorkerMilliCores;
        info.capacity.memoryBytes = 1'000'000'000'000;
        m_workers.emplace(info.id, ModelWorker(info, m_now - std::chrono::seconds(100)));
        m_dispatcher.updateWorker(info);
    }
    m_dispatcher.setStageObserver([this](DispatchStage stage) {
        switch (stage) {
        case DispatchStage::Workers:
            return m_times.end("advance, workers");
        case DispatchStage::Placement:
            return m_times.end("advance, placement");
        case DispatchStage::Watchdog:
            return m_times.end("advance, watchdog");
        case DispatchStage::Batch:
            return m_times.end("advance, batch");
        case DispatchStage::Polls:
            return m_times.end("advance, polls");
        }
    });
    submitServingJobs();
    at(m_now, [this] { submitDueJob(); });
    atOwner(m_now + Tick, [this] { tick(); });
}

ModelFleet::~ModelFleet()
{
    static const Clock systemClock;
    setLogClock(systemClock);
    setLogMetrics(nullptr);
}

void ModelFleet::run(std::chrono::milliseconds time)
{
    const TimePoint until = m_now + time;
    while (!m_events.empty() && m_events.begin()->first < until) {
        runNextEvent();
    }
    m_logClock.advance(until - m_now);
    m_now = until;
}

void ModelFleet::runNextEvent()
{
    const auto next = m_events.begin();
    const TimePoint time = std::max(next->first, m_now);
    const Event event = std::move(next->second);
    m_events.erase(next);
    m_logClock.advance(time - m_now);
    m_now = time;
    event();
}

void ModelFleet::atOwner(TimePoint time, Event event)
{
    at(time, [this, event = std::move(event)] {
        m_ownerEvents.push_back(event);
        serveOwner();
    });
}

void ModelFleet::serveOwner()
{
    while (!m_ownerEvents.empty() && m_now >= m_ownerFreeAt) {
        const Event event = std::move(m_ownerEvents.front());
        m_ownerEvents.pop_front();
        event();
        if (m_options.coreShare > 0) {
            const std::chrono::nanoseconds total = m_times.total() + m_exchanges;
            const std::chrono::duration<double, std::nano> spent = total - std::exchange(m_charged, total);
            m_ownerFreeAt = m_now + std::chrono::duration_cast<Duration>(spent / m_options.coreShare);
        }
    }
    if (!m_ownerEvents.empty() && !m_isOwnerWaking) {
        m_isOwnerWaking = true;
        at(m_ownerFreeAt, [this] {
            m_isOwnerWaking = false;
            serveOwner();
        });
    }
}

void ModelFleet::chargeExchange()
{
    m_exchanges += m_options.exchangeTime;
}

int ModelFleet::jobsPerSecond() const
{
    const bool isBurst = m_now >= m_begin + m_options.burstBegin && m_now < m_begin + m_options.burstEnd;
    return isBurst ? m_options.burstJobsPerSecond : m_options.jobsPerSecond;
}

void ModelFleet::submitDueJob()
{
    submit(shortJob());
    at(m_now + std::chrono::microseconds(std::chrono::seconds(1)) / jobsPerSecond(), [this] { submitDueJob(); });
}

void ModelFleet::clearCounts()
{
    m_times.clear();
    m_counts.clear();
    m_printedCounts.clear();
    m_knownEnds = 0;
    m_endDelay = Duration(0);
    m_longestEndDelay = Duration(0);
}

double ModelFleet::eventsPerSecond(const std::string &event, std::chrono::milliseconds simulated) const
{
    const auto count = m_counts.find(event);
    return count != m_counts.end() ? static_cast<double>(count->second) * 1000 / static_cast<double>(simulated.count()) : 0;
}

void ModelFleet::printCounts(std::chrono::milliseconds simulated) const
{
    for (const auto &[event, count] : m_counts) {
        std::printf("%-30s %12.1f a second\n", event.c_str(), eventsPerSecond(event, simulated));
    }
    const auto milliseconds = [](Duration time) { return std::chrono::duration<double, std::milli>(time).count(); };
    const double meanDelay = m_knownEnds > 0 ? milliseconds(m_endDelay) / static_cast<double>(m_knownEnds) : 0;
    std::printf("ends known after: mean %.1f ms, longest %.1f ms\n", meanDelay, milliseconds(m_longestEndDelay));
    std::printf("open runs at the end: %zu\n", m_dispatcher.openRuns());
}

void ModelFleet::submit(const Wire::StepJob &job)
{
    const std::string id = idOf("bb", m_jobs++);
    const KeyedRecord record{m_jobs, submissionKey(id), encode(job)};
    ++m_counts["jobs"];
    m_times.begin();
    m_table.apply(record);
    m_times.end("read");
    const TopicJob *entry = m_table.find(id);
    m_dispatcher.jobChanged(id, entry, m_now, wall());
    m_times.end("accepted");
}

void ModelFleet::submitServingJobs()
{
    const std::int64_t capacity = m_options.workers * WorkerMilliCores;
    const std::int64_t jobs = capacity * ServingPercent / 100 / (ServingMilliCores * ServingTasks);
    for (std::int64_t job = 0; job < jobs; ++job) {
        submit(servingJob());
    }
}

Wire::StepJob ModelFleet::servingJob() const
{
    Wire::StepJob job;
    job.queue = "batch";
    job.payload = std::string(60, 'p');
    job.acceptedAtMs = sinceEpoch(wall()).count();
    Wire::TaskStep step;
    step.taskCount = ServingTasks;
    step.milliCores = ServingMilliCores;
    step.memoryMb = 1000;
    step.longRunning = true;
    step.tailTargetMs = 200;
    step.image = "serving-" + std::to_string(m_jobs % Images);
    job.steps.push_back(step);
    return job;
}

Wire::StepJob ModelFleet::shortJob()
{
    Wire::StepJob job;
    job.queue = "batch";
    job.payload = std::string(60, 'p');
    job.acceptedAtMs = sinceEpoch(wall()).count();
    const bool isBestEffort = random(1, 100) <= BestEffortPercent;
    const int steps = random(1, 4);
    for (int index = 0; index < steps; ++index) {
        Wire::TaskStep step;
        step.taskCount = random(13, 40);
        step.milliCores = isBestEffort ? 1500 : 2000;
        step.memoryMb = 500;
        step.estimateMs = EstimateMs;
        step.fillsIdle = isBestEffort;
        step.checkpointable = isBestEffort;
        step.image = isBestEffort ? "batch-" + std::to_string(m_jobs % Images) : "";
        if (index > 0) {
            step.after.push_back(index - 1);
        }
        job.steps.push_back(step);
    }
    return job;
}

void ModelFleet::tick()
{
    m_dispatcher.confirmRead(m_now);
    m_dispatcher.confirmWorkersRead(m_now);
    m_times.begin();
    std::vector<DispatchAction> actions = m_dispatcher.advance(m_now, wall());
    for (DispatchAction &action : actions) {
        perform(std::move(action));
    }
    m_times.begin();
    m_log.writeDue(m_now);
    m_times.end("log lines due");
    ++m_counts["ticks"];
    // The next tick is due after what this one takes.
    const std::chrono::duration<double, std::nano> spent = m_times.total() + m_exchanges - m_charged;
    const Duration busy = m_options.coreShare > 0 ? std::chrono::duration_cast<Duration>(spent / m_options.coreShare) : Duration(0);
    atOwner(m_now + busy + Tick, [this] { tick(); });
}

template<typename DispatchEvent>
void ModelFleet::log(const DispatchEvent &event)
{
    m_times.begin();
    m_log.write(event, m_now);
    m_times.end("event logged");
}

void ModelFleet::perform(DispatchAction action)
{
    std::visit(Overloaded{
                   [this](StartCommand &command) { perform(std::move(command)); },
                   [this](StopCommand &command) { perform(std::move(command)); },
                   [this](ThrottleCommand &command) { perform(std::move(command)); },
                   [this](PollCommand &command) { perform(std::move(command)); },
                   [this](const AppendRecords &append) { perform(append); },
                   [this](const JobEnded &end) {
                       ++m_counts["job ends"];
                       m_counts["ms until job ends"] += end.sinceAccepted.count();
                       log(end);
                   },
                   [this](const RunEnded &end) {
                       perform(end);
                       log(end);
                   },
                   [](const RequestAdvice &) {},
                   [](const ListLiveWorkers &) {},
                   [](const StepDown &) {},
                   [this](const auto &event) { log(event); },
               },
               action);
}

void ModelFleet::perform(StartCommand command)
{
    ++m_counts["starts"];
    at(m_now + TransitTime, [this, sentAt = m_now, command = std::move(command)] {
        const bool isServing = command.isServing;
        const auto endsAt = isServing ? std::nullopt : std::optional(m_now + std::chrono::milliseconds(random(1000, 2000)));
        if (endsAt) {
            m_runEnds[command.task] = *endsAt;
        }
        const CommandResult result = workerOf(command.worker).start(command, endsAt, m_now);
        atOwner(m_now, [this, sentAt, command, result] {
            chargeExchange();
            logStart(command, result, sentAt);
            m_times.begin();
            m_dispatcher.startAnswered(command, result, m_now);
            m_times.end("start answered");
        });
    });
}

void ModelFleet::perform(StopCommand command)
{
    ++m_counts["stops"];
    at(m_now + TransitTime, [this, command = std::move(command)] {
        const CommandResult result = workerOf(command.worker).stop(command, m_now);
        logStop(command, result);
        m_times.begin();
        m_dispatcher.stopAnswered(command, result, m_now);
        m_times.end("stop answered");
    });
}

void ModelFleet::perform(ThrottleCommand command)
{
    ++m_counts["throttles"];
    at(m_now + TransitTime, [this, command = std::move(command)] {
        const CommandResult result = CommandExecuted{WorkerTime(0)};
        logThrottle(command, result);
        m_times.begin();
        m_dispatcher.throttleAnswered(command, result, m_now);
        m_times.end("throttle answered");
    });
}

void ModelFleet::perform(PollCommand command)
{
    ++m_counts["polls"];
    m_counts["polls that wait"] += command.wait.count() > 0 ? 1 : 0;
    const TimePoint sentAt = m_now;
    at(m_now + TransitTime / 2, [this, sentAt, command = std::move(command)] {
        const TimePoint respondsAt = workerOf(command.worker).beginPoll(command, m_now);
        at(respondsAt, [this, sentAt, command] {
            const WorkerReport report = workerOf(command.worker).report(m_now);
            m_counts["reported runs"] += static_cast<std::int64_t>(report.runs.size());
            atOwner(m_now + TransitTime / 2, [this, sentAt, command, report] {
                chargeExchange();
                m_times.begin();
                m_metrics.add("hyssop_polls_total", {{"outcome", "listed"}});
                m_times.end("poll counted");
                m_dispatcher.pollAnswered(command, report, sentAt, m_now);
                m_times.end("poll answered");
            });
        });
    });
}

void ModelFleet::perform(const AppendRecords &append)
{
    m_counts["records of jobs"] += static_cast<std::int64_t>(append.records.size());
    m_counts["records of runs"] += static_cast<std::int64_t>(append.runs.size());
    for (const KeyedRecord &record : append.runs) {
        m_counts["bytes of runs"] += static_cast<std::int64_t>(record.value ? record.value->size() : 0);
    }
    atOwner(m_now + StoreTime, [this] {
        m_times.begin();
        m_dispatcher.recordsStored(m_now);
        m_times.end("batch stored");
    });
}

void ModelFleet::printProgress()
{
    const double seconds = std::chrono::duration<double>(m_now - std::exchange(m_progressAt, m_now)).count();
    const auto sinceLast = [&](const std::string &event) { return static_cast<double>(m_counts[event] - m_printedCounts[event]); };
    const DispatchSummary load = m_dispatcher.summary(m_now);
    const double jobEnds = sinceLast("job ends");
    std::printf("%5.1f s: %4d jobs/s accepted, %6zu and %6zu tasks wait, window %4zu, %6zu open runs, %5.1f ticks/s, %7.1f starts/s, %5.1f jobs/s ended, after "
                "%6.0f ms\n",
                std::chrono::duration<double>(m_now - m_begin).count(),
                jobsPerSecond(),
                static_cast<std::size_t>(load.pendingReserved),
                static_cast<std::size_t>(load.pendingBestEffort),
                static_cast<std::size_t>(load.startWindow),
                static_cast<std::size_t>(load.openRuns),
                sinceLast("ticks") / seconds,
                sinceLast("starts") / seconds,
                jobEnds / seconds,
                jobEnds > 0 ? sinceLast("ms until job ends") / jobEnds : 0);
    m_printedCounts = m_counts;
}

void ModelFleet::perform(const RunEnded &end)
{
    ++m_counts["run ends"];
    const auto run = m_runEnds.find(end.task);
    if (run != m_runEnds.end()) {
        const Duration delay = m_now - run->second;
        ++m_knownEnds;
        m_endDelay += delay;
        m_longestEndDelay = std::max(m_longestEndDelay, delay);
        m_runEnds.erase(run);
    }
}

// The same calls as those of TopicOwner.
void ModelFleet::logStart(const StartCommand &command, const CommandResult &result, TimePoint sentAt)
{
    m_times.begin();
    m_log.write(command, result, sentAt, m_now);
    m_times.end("start logged");
    m_metrics.observe("hyssop_start_seconds", m_now - sentAt);
    m_metrics.add("hyssop_starts_total", {{"outcome", resultName(result)}});
    m_times.end("start counted");
}

void ModelFleet::logStop(const StopCommand &command, const CommandResult &result)
{
    m_times.begin();
    m_log.write(command, result, m_now);
    m_metrics.add("hyssop_stops_total", {{"outcome", resultName(result)}});
    m_metrics.add("hyssop_stop_reasons_total", {{"reason", stopReasonName(command.reason)}});
    m_times.end("stop logged");
}

void ModelFleet::logThrottle(const ThrottleCommand &command, const CommandResult &result)
{
    m_times.begin();
    m_log.write(command, result, m_now);
    m_metrics.add("hyssop_paces_total", {{"outcome", resultName(result)}});
    m_times.end("throttle logged");
}

WallTime ModelFleet::wall() const
{
    return WallTime(std::chrono::seconds(1'700'000'000) + std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
}

} // namespace Hyssop::Bench
