#pragma once

#include <contract/contract.h>
#include <utils/resources.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop::Bench {

/// A service as the model knows it; the policy sees only the declared size and lagging measurements.
struct ServiceModel
{
    std::string name;
    Resources declared;
    int replicas = 0;
    double medianMs = 0; // alone on a worker
    double objectiveMs = 0; // 99th percentile
    double coreRatio = 0; // used to declared at peak
};

/// A kind of batch task.
struct BatchKindModel
{
    std::string name;
    Resources declared;
    double declaredSeconds = 0;
    double coreRatio = 1; // used to declared
    double memoryRatio = 1;
    double runTimeRatio = 1; // actual to declared run time
    bool checkpoints = true;
};

struct JobModel
{
    double arrival = 0; // seconds
    std::size_t kind = 0;
    std::string team;
    double workSeconds = 0; // at full speed
    bool urgent = false;
    bool tooLarge = false; // fits no worker
    bool broken = false; // fails everywhere
    double cancelledAt = -1; // if it still waits then
};

struct Period
{
    double begin = 0;
    double end = 0;
};

/// A workload that depends on the seed only, so that every policy gets the same one.
struct Workload
{
    std::string name;
    int workers = 0;
    int workersPerRack = 8;
    int serviceWorkers = 0; // when services have their own workers
    Resources capacity;
    double seconds = 0;
    std::vector<ServiceModel> services;
    std::vector<BatchKindModel> kinds;
    std::vector<JobModel> jobs; // by arrival
    std::vector<std::vector<double>> batchEffect[2]; // [half of the run][service][kind]: rise of the logarithm of latency at full load
    std::vector<std::vector<double>> serviceEffect; // [service][service]
    std::vector<int> failingWorkers;
    Period failurePeriod;
    Period domainOutage; // the first third of the workers leaves and returns
    Contract contract;
};

Workload cascadia(std::uint64_t seed);
Workload mtkvari(std::uint64_t seed);

} // namespace Hyssop::Bench
