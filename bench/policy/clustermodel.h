#pragma once

#include "placer.h"
#include "workload.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop::Bench {

/// Results of a simulation run.
struct RunResult
{
    double p50 = 0; // latency relative to the objective, over all services
    double p99 = 0;
    double p999 = 0;
    double completedTasks = 0; // batch tasks
    double keptCoreHours = 0; // core hours of batch work that was not lost
    double lostToEvictionsShare = 0; // share of batch work
    double wastedShare = 0; // share of batch work lost for any reason, evictions included
    double evictions = 0;
    double utilization = 0; // cores in use
    double coreHoursDuringOutage = 0; // core hours from the start of the outage to 10 min after its end
    double worstUrgentDelay = 0; // longest time until an urgent task started, in seconds
    double wrongRejections = 0; // rejected jobs that could have run
    double missingReplicas = 0; // mean share of the service replicas that were not running
};

/// Simulates a workload on a cluster under a placement policy, in steps of one second of virtual time.
class ClusterModel
{
public:
    ClusterModel(const Workload &workload, Placer &placer, std::uint64_t seed);

    RunResult run();

private:
    struct Task
    {
        std::string id;
        bool service = false;
        std::size_t kind = 0; // index of the service or of the batch kind
        std::size_t job = 0;
        std::size_t worker = 0;
        double startedAt = 0;
        double workDone = 0; // in seconds at full speed
        double checkpointedWork = 0; // part of it that is in a checkpoint
        double speed = 1;
        double failsAt = -1;
        double evictedAt = -1;
        double latencyP99Us = 0;
    };

    struct Worker
    {
        std::string name;
        std::string rack;
        bool accepting = true;
        std::vector<std::string> tasks;
        double usedCores = 0;
        double usedMemory = 0;
    };

    void addServiceReplicas();
    void submitArrivedJobs();
    void applyDomainOutage();
    void decide();
    void start(const std::string &jobId, const std::string &worker);
    void advanceTasks();
    void advanceWorker(std::size_t worker);
    void serveRequests(std::size_t worker);
    void killOnMemoryOveruse(std::size_t worker);
    void endDueTasks();
    void report();
    void end(const std::string &taskId, bool failed, bool finished, bool requeue);
    PendingTask pendingOf(const std::string &taskId, bool service, std::size_t kind, std::size_t job) const;
    double serviceDemand(std::size_t service) const;
    Resources usageOf(const Task &task) const;
    double coresOf(std::size_t job) const;
    double quantile(double share) const;

    const Workload &m_workload;
    Placer &m_placer;
    std::mt19937_64 m_random;
    double m_second = 0;
    TimePoint m_start{};
    TimePoint m_now{};
    std::vector<Worker> m_workers;
    std::map<std::string, std::size_t> m_workerIndex;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, std::size_t> m_jobIndex; // by id; pending and running batch jobs
    std::map<std::string, std::pair<std::size_t, bool>> m_pendingServices;
    std::vector<double> m_checkpointedWork; // by job, seconds
    std::vector<double> m_urgentDelay;
    std::vector<std::vector<std::string>> m_failedWorkers;
    std::size_t m_nextJob = 0;
    std::deque<std::vector<UsageSample>> m_delayedSamples;
    std::vector<std::uint64_t> m_latencies; // histogram of the logarithm of the ratio of latency to objective
    std::uint64_t m_requests = 0;
    double m_workDone = 0;
    double m_workLost = 0;
    double m_workLostToEvictions = 0;
    double m_workDuringOutage = 0;
    double m_usedCoreSeconds = 0;
    double m_missingReplicaShares = 0;
    RunResult m_result;
};

} // namespace Hyssop::Bench
