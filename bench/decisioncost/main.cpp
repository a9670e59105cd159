#include <placement/placementengine.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <malloc.h>

using namespace Hyssop;

namespace {

constexpr int ServiceTasks = 7700;
constexpr int BatchTasks = 29000;
constexpr int QueuedTasks = 100000;
constexpr int Teams = 160;
constexpr int ServiceKinds = 40;
constexpr int BatchKinds = 80;
constexpr int TotalCores = 102400; // for every number of workers; 64 cores per worker with 1,600 workers
constexpr std::int64_t TotalGigabytes = 400000;
constexpr int TotalSlots = 40000; // 3,300 are free at the start, so that tasks of all sizes can be placed
constexpr double MeasuredSeconds = 4;
constexpr int EndedTasksPerRound = 100; // tasks that end before each decision round

using WallClock = std::chrono::steady_clock;

double secondsSince(WallClock::time_point begin)
{
    return std::chrono::duration<double>(WallClock::now() - begin).count();
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

PendingTask taskOf(const std::string &prefix, int number, std::mt19937 &random)
{
    PendingTask task;
    task.jobId = "bench-2026-12-04-" + prefix + "-" + std::to_string(number); // like real job ids, too long for the small-string optimization
    task.customer = "bench";
    if (prefix == "service") {
        task.service = "service-" + std::to_string(number % ServiceKinds);
        task.taskName = task.service;
    } else {
        task.team = "team-" + std::to_string(number % Teams);
        task.taskName = "kind-" + std::to_string(random() % BatchKinds);
        task.declaredRunTime = std::chrono::minutes(5 + random() % 20);
    }
    task.declared = Resources{static_cast<std::int64_t>(1000 + random() % 2500), static_cast<std::int64_t>(2 + random() % 12) * 1'000'000'000, 0, 1};
    return task;
}

Contract benchContract()
{
    Contract contract;
    contract.customer = "bench";
    contract.evictionBudget = 0.02;
    for (int i = 0; i < Teams; ++i) {
        TeamContract team;
        team.name = "team-" + std::to_string(i);
        team.share = 1 + i % 4;
        contract.teams.push_back(team);
    }
    for (int i = 0; i < ServiceKinds; ++i) {
        ServiceContract service;
        service.name = "service-" + std::to_string(i);
        service.latencyObjective = std::chrono::milliseconds(50);
        contract.services.push_back(service);
    }
    return contract;
}

struct CostResult
{
    int workers = 0;
    double placementsPerSecond = 0;
    double microsecondsPerPlacement = 0;
    double reportMicroseconds = 0; // per usage sample
    double rebuildSeconds = 0; // time to adopt all running tasks
    double idleRoundMs = 0; // duration of a round in which no task can be placed
    double bytes = 0;
};

void addWorkers(PlacementEngine &engine, int workers, TimePoint now)
{
    const Resources capacity{static_cast<std::int64_t>(TotalCores) * 1000 / workers, TotalGigabytes * 1'000'000'000 / workers, 0, TotalSlots / workers};
    for (int i = 0; i < workers; ++i) {
        engine.updateWorker(WorkerOffer{"worker-" + std::to_string(i), "rack-" + std::to_string(i / 8), capacity, true}, now);
    }
}

void reportAll(PlacementEngine &engine, const std::deque<PendingTask> &running, std::mt19937 &random, TimePoint now)
{
    for (const PendingTask &task : running) {
        UsageSample sample;
        sample.jobId = task.jobId;
        sample.usage = task.declared;
        sample.usage.milliCores = task.declared.milliCores * static_cast<std::int64_t>(50 + random() % 50) / 100;
        sample.age = std::chrono::seconds(2);
        sample.progress = 0.3;
        sample.hasCheckpoint = true;
        sample.serviceLatencyP99Us = task.service.empty() ? 0 : 15000 + static_cast<double>(random() % 5000);
        engine.reportUsage(sample, now);
    }
}

CostResult measure(int workers, std::uint64_t seed)
{
    CostResult result;
    result.workers = workers;
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    PlacementOptions options;
    options.seed = seed;
    TimePoint now = TimePoint() + std::chrono::hours(1);
    std::deque<PendingTask> running;
    std::vector<std::string> hosts;
    for (int i = 0; i < ServiceTasks + BatchTasks; ++i) {
        running.push_back(taskOf(i < ServiceTasks ? "service" : "batch", i, random));
        hosts.push_back("worker-" + std::to_string(i % workers));
    }
    std::map<std::string, PendingTask> pending;
    std::vector<PendingTask> queued;
    queued.reserve(QueuedTasks);
    for (int i = 0; i < QueuedTasks; ++i) {
        queued.push_back(taskOf("queued", i, random));
    }

    const std::size_t before = allocatedBytes();
    PlacementEngine engine(options);
    engine.setContracts({benchContract()});
    addWorkers(engine, workers, now);
    auto begin = WallClock::now();
    for (std::size_t i = 0; i < running.size(); ++i) {
        engine.adoptRunning(running[i], hosts[i], now);
    }
    result.rebuildSeconds = secondsSince(begin);
    for (const PendingTask &task : queued) {
        engine.addPending(task, now);
    }
    now += std::chrono::seconds(10);
    begin = WallClock::now();
    reportAll(engine, running, random, now);
    result.reportMicroseconds = secondsSince(begin) * 1e6 / static_cast<double>(running.size());
    result.bytes = static_cast<double>(allocatedBytes() - before);

    for (const PendingTask &task : queued) {
        pending.emplace(task.jobId, task);
    }
    // The first round fills the free slots. Every later round places tasks on the resources that ended tasks have released.
    std::deque<std::string> ending;
    for (std::size_t i = ServiceTasks; i < running.size(); ++i) {
        ending.push_back(running[i].jobId);
    }
    int next = QueuedTasks;
    std::size_t placements = 0;
    double decisionSeconds = 0;
    std::size_t idleRounds = 0;
    double idleSeconds = 0;
    for (int round = 0; decisionSeconds < MeasuredSeconds; ++round) {
        now += std::chrono::milliseconds(100);
        for (int i = 0; round > 0 && i < EndedTasksPerRound; ++i) {
            engine.release(ending.front());
            ending.pop_front();
        }
        std::size_t placed = 1;
        while (placed > 0) {
            begin = WallClock::now();
            const auto decisions = engine.decide(now, 256);
            const double took = secondsSince(begin);
            placed = 0;
            for (const PlacementDecision &decision : decisions) {
                if (const auto *place = std::get_if<PlaceTask>(&decision)) {
                    ++placed;
                    pending.erase(place->jobId);
                    ending.push_back(place->jobId);
                }
            }
            decisionSeconds += took;
            if (placed == 0) {
                idleSeconds += took;
                ++idleRounds;
            }
            placements += placed;
        }
        while (pending.size() < QueuedTasks) {
            PendingTask task = taskOf("queued", next++, random);
            engine.addPending(task, now);
            pending.emplace(task.jobId, std::move(task));
        }
    }
    result.placementsPerSecond = static_cast<double>(placements) / decisionSeconds;
    result.microsecondsPerPlacement = decisionSeconds * 1e6 / static_cast<double>(placements);
    result.idleRoundMs = idleSeconds * 1e3 / static_cast<double>(idleRounds);
    return result;
}

int runBench(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("Measures the cost of placement decisions on one core");
    int seeds = 3;
    std::string output;
    description.add_options()("help",
                              "print this help")("seeds", po::value(&seeds)->default_value(seeds), "runs per number of workers; the median is reported")(
        "output", po::value(&output), "CSV file; default is standard output");
    po::variables_map options;
    po::store(po::parse_command_line(argc, argv, description), options);
    po::notify(options);
    if (options.count("help") > 0 || seeds < 1) {
        std::cout << description;
        return options.count("help") > 0 ? 0 : 2;
    }
    std::ofstream file;
    if (!output.empty()) {
        file.open(output);
    }
    std::ostream &out = output.empty() ? std::cout : file;
    out << "workers,placements_per_s,us_per_placement,us_per_usage_sample,rebuild_s,idle_round_ms,memory_mb,slope\n";
    double smallest = 0;
    for (const int workers : {100, 400, 1600}) {
        std::vector<CostResult> results;
        for (int seed = 1; seed <= seeds; ++seed) {
            results.push_back(measure(workers, static_cast<std::uint64_t>(seed)));
        }
        std::sort(results.begin(), results.end(), [](const CostResult &left, const CostResult &right) {
            return left.microsecondsPerPlacement < right.microsecondsPerPlacement;
        });
        const CostResult &median = results[results.size() / 2];
        smallest = smallest == 0 ? median.microsecondsPerPlacement : smallest;
        // Exponent with which the cost grows with the number of workers, relative to the smallest number; 1 is linear.
        const double slope = workers == 100 ? 0 : std::log(median.microsecondsPerPlacement / smallest) / std::log(workers / 100.0);
        char line[256];
        std::snprintf(line,
                      sizeof line,
                      "%d,%.0f,%.2f,%.2f,%.4f,%.3f,%.2f,%.3f\n",
                      workers,
                      median.placementsPerSecond,
                      median.microsecondsPerPlacement,
                      median.reportMicroseconds,
                      median.rebuildSeconds,
                      median.idleRoundMs,
                      median.bytes / 1e6,
                      slope);
        out << line;
        out.flush();
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runBench(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "bench-decisioncost: %s\n", error.what());
        return 2;
    }
}
