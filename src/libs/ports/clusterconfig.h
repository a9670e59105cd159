#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

/// Advice service of a queue: only the workers that it names may run a step.
struct AdviceParameters
{
    std::chrono::milliseconds decisionTime{0};
    std::chrono::milliseconds perWorker{0};
    std::chrono::milliseconds validity{0};
};

/// A queue of jobs, as the operators' configuration defines it.
struct QueueInfo
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    int priority = 0; // 0 comes first
    int maximumFailures = 1; // failed runs of a task after which its job has failed
    double stretch = 1.0; // objective: this many times the longest chain of work, plus the margin
    std::chrono::milliseconds objectiveMargin{0};
    std::chrono::milliseconds timeout{0};
    std::optional<AdviceParameters> advice;
};

/// A pool of workers.
struct ServiceInfo
{
    std::string name;
    bool enforcesCapacity = false; // its workers refuse what does not fit
    bool spare = false; // its machines are off
};

/// Limits for requests of callers.
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
    std::map<std::string, ServiceInfo> services; // by name
    RequestLimits limits;
};

} // namespace Hyssop
