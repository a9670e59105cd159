#pragma once

#include <contract/contract.h>
#include <utils/resources.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop::Bench {

/// True properties of a service. The policy sees only the declared size and delayed measurements.
struct ServiceModel
{
    std::string name;
    Resources declared;
    int replicas = 0;
    double medianMs = 0; // without colocated tasks
    double objectiveMs = 0; // for the 99th percentile
    double coreRatio = 0; // ratio of used to declared cores at peak demand
};

/// True properties of a kind of batch task.
struct BatchKindModel
{
    std::string name;
    Resources declared;
    double declaredSeconds = 0;
    double coreRatio = 1; // ratio of used to declared cores
    double memoryRatio = 1;
    double runTimeRatio = 1; // ratio of actual to declared run time
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
    bool broken = false; // fails on every worker
    double cancelledAt = -1; // cancellation time in seconds, if it is still pending then
};

struct Period
{
    double begin = 0;
    double end = 0;
};

/// A generated workload. It depends only on the seed, so that all policies run the same one.
struct Workload
{
    std::string name;
    int workers = 0;
    int workersPerRack = 8;
    int serviceWorkers = 0; // number of workers for services only, see Baseline::DedicatedWorkers
    Resources capacity;
    double seconds = 0;
    std::vector<ServiceModel> services;
    std::vector<BatchKindModel> kinds;
    std::vector<JobModel> jobs; // in order of arrival
    std::vector<std::vector<double>> batchEffect[2]; // [half of the run][service][kind]: increase of the logarithm of latency at full load
    std::vector<std::vector<double>> serviceEffect; // [service][service]
    std::vector<int> failingWorkers;
    Period failurePeriod;
    Period domainOutage; // while the first third of the workers is unavailable
    Contract contract;
};

Workload cascadia(std::uint64_t seed);
Workload mtkvari(std::uint64_t seed);

} // namespace Hyssop::Bench
