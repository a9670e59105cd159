#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Hyssop::Bench {

namespace {

constexpr double RunSeconds = 7200;
constexpr double ServiceShare = 0.21; // as at the design scale: 7,700 of 36,700 running tasks
constexpr int SlotsPerWorker = 8;
constexpr int ServiceKinds = 6;
constexpr int BatchKinds = 10;
constexpr int Teams = 12;
constexpr double OfferedLoad = 1.6; // arriving batch work relative to the capacity that services leave
constexpr double InterferingPairShare = 0.25;
constexpr double ObjectiveToMedian = 4; // without colocated tasks, the 99th percentile is 2.3 times the median
constexpr std::int64_t Gigabyte = 1'000'000'000;

using Random = std::mt19937_64;

double uniform(Random &random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

bool chance(Random &random, double share)
{
    return uniform(random, 0, 1) < share;
}

std::vector<std::vector<double>> randomEffects(Random &random, int columns, double low, double high)
{
    std::vector<std::vector<double>> matrix(ServiceKinds, std::vector<double>(static_cast<std::size_t>(columns)));
    for (auto &row : matrix) {
        for (double &effect : row) {
            effect = chance(random, InterferingPairShare) ? uniform(random, low, high) : uniform(random, 0, 0.02);
        }
    }
    return matrix;
}

void addServices(Workload &workload, Random &random)
{
    const int replicas = static_cast<int>(ServiceShare * SlotsPerWorker * workload.workers) / ServiceKinds;
    for (int i = 0; i < ServiceKinds; ++i) {
        ServiceModel service;
        service.name = "service-" + std::to_string(i);
        service.declared = Resources{workload.capacity.milliCores / SlotsPerWorker, workload.capacity.memoryBytes / 10, 0, 1};
        service.replicas = replicas;
        service.medianMs = uniform(random, 5, 20);
        service.objectiveMs = service.medianMs * ObjectiveToMedian;
        service.coreRatio = uniform(random, 0.6, 1.0);
        workload.services.push_back(service);
        ServiceContract contract;
        contract.name = service.name;
        contract.latencyObjective = std::chrono::microseconds(std::llround(service.objectiveMs * 1000));
        contract.replicas = replicas;
        contract.task = service.declared;
        workload.contract.services.push_back(contract);
    }
    // Sufficient for all replicas while one rack is unavailable.
    workload.serviceWorkers = (replicas * ServiceKinds + SlotsPerWorker - 1) / SlotsPerWorker + workload.workersPerRack;
}

void addKinds(Workload &workload, Random &random)
{
    for (int i = 0; i < BatchKinds; ++i) {
        BatchKindModel kind;
        kind.name = "kind-" + std::to_string(i);
        const double part = uniform(random, 0.5, 1.2) / SlotsPerWorker;
        kind.declared.milliCores = std::llround(static_cast<double>(workload.capacity.milliCores) * part);
        kind.declared.memoryBytes = std::llround(static_cast<double>(workload.capacity.memoryBytes) * uniform(random, 0.4, 1.1) / SlotsPerWorker);
        kind.declared.slots = 1;
        kind.declaredSeconds = uniform(random, 120, 600);
        kind.coreRatio = uniform(random, 0.4, 1.3);
        kind.memoryRatio = uniform(random, 0.4, 1.3);
        kind.runTimeRatio = uniform(random, 0.5, 2);
        kind.checkpoints = i % 5 != 0;
        workload.kinds.push_back(kind);
    }
}

void addJobs(Workload &workload, Random &random)
{
    double secondsPerJob = 0;
    for (const BatchKindModel &kind : workload.kinds) {
        secondsPerJob += kind.declaredSeconds * kind.runTimeRatio / BatchKinds;
    }
    const double slots = (1 - ServiceShare) * SlotsPerWorker * workload.workers;
    const double rate = OfferedLoad * slots / secondsPerJob;
    std::lognormal_distribution<double> runTimeSpread(-0.125, 0.5); // mean 1
    for (int second = 0; second < static_cast<int>(workload.seconds); ++second) {
        const double rateFactor = 1 + 0.8 * std::sin(second / 900.0 * 2 * M_PI);
        std::poisson_distribution<int> arrivals(rate * rateFactor);
        const int count = arrivals(random);
        for (int i = 0; i < count; ++i) {
            JobModel job;
            job.arrival = second;
            job.kind = random() % BatchKinds;
            job.team = "team-" + std::to_string(std::min(random() % Teams, random() % Teams)); // the minimum makes the teams differ in size
            job.workSeconds = std::max(5.0, workload.kinds[job.kind].declaredSeconds * workload.kinds[job.kind].runTimeRatio * runTimeSpread(random));
            job.tooLarge = chance(random, 0.003);
            job.broken = chance(random, 0.005);
            job.urgent = job.team == "team-0" && chance(random, 0.03);
            // Every 20 min, a third of the pending jobs is cancelled at the same time.
            if (chance(random, 0.33)) {
                job.cancelledAt = (std::floor(second / 1200.0) + 1) * 1200;
            }
            workload.jobs.push_back(job);
        }
    }
}

Workload workload(std::string name, int workers, std::int64_t cores, std::int64_t gigabytes, Favor favor, double budget, std::uint64_t seed)
{
    Random random(seed);
    Workload result;
    result.name = std::move(name);
    result.workers = workers;
    result.capacity = Resources{cores * 1000, gigabytes * Gigabyte, 0, SlotsPerWorker};
    result.seconds = RunSeconds;
    result.contract.customer = result.name;
    result.contract.favor = favor;
    result.contract.evictionBudget = budget;
    for (int i = 0; i < Teams; ++i) {
        TeamContract team;
        team.name = "team-" + std::to_string(i);
        team.share = 1 + i % 3;
        team.urgent = i == 0;
        result.contract.teams.push_back(team);
    }
    addServices(result, random);
    addKinds(result, random);
    result.batchEffect[0] = randomEffects(random, BatchKinds, 0.2, 0.5);
    result.batchEffect[1] = randomEffects(random, BatchKinds, 0.2, 0.5);
    result.serviceEffect = randomEffects(random, ServiceKinds, 0.05, 0.15);
    result.failingWorkers = {static_cast<int>(random() % static_cast<unsigned>(workers)), static_cast<int>(random() % static_cast<unsigned>(workers))};
    result.failurePeriod = Period{1800, 3000};
    result.domainOutage = Period{4500, 5400};
    addJobs(result, random);
    return result;
}

} // namespace

Workload cascadia(std::uint64_t seed)
{
    return workload("cascadia", 50, 64, 250, Favor::Throughput, 0.02, seed);
}

Workload mtkvari(std::uint64_t seed)
{
    return workload("mtkvari", 65, 32, 125, Favor::Latency, 0.05, seed);
}

} // namespace Hyssop::Bench
