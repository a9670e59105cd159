#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

/// Parameters of the advice service of a queue. Only workers that the service names may run a step of that queue.
struct AdviceParameters
{
    std::chrono::milliseconds decisionTime{0};
    std::chrono::milliseconds decisionTimePerWorker{0}; // in addition to decisionTime, for each worker of a request
    std::chrono::milliseconds validity{0};
};

/// A job queue as defined by the operators' configuration.
struct QueueInfo
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string workerPool;
    int priority = 0; // 0 is the highest
    int maximumFailures = 1; // number of failed runs of a task after which its job fails
    double deadlineFactor = 1.0; // deadline: release time plus critical path length times this factor, plus deadlineMargin
    std::chrono::milliseconds deadlineMargin{0};
    std::chrono::milliseconds timeout{0};
    std::optional<AdviceParameters> advice;
};

/// A pool of workers.
struct WorkerPool
{
    std::string name;
    bool enforcesCapacity = false; // its workers reject runs that exceed their capacity
    bool spare = false; // its machines are powered off
};

/// Limits of HTTP requests from callers.
struct RequestLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// One version of the operators' configuration.
struct ClusterConfig
{
    std::int64_t version = 0;
    std::map<std::string, QueueInfo> queues; // by name
    std::map<std::string, WorkerPool> workerPools; // by name
    RequestLimits limits;
};

} // namespace Hyssop
