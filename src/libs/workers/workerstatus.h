#pragma once

#include <utils/resources.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop {

enum class TaskState {
    Running,
    Throttled,
    Checkpointing,
    Checkpointed, // still running, checkpoint durable
    Stopped, // stopped on command or because the lease expired
    Finished,
    Failed,
};

/// State of one task as its worker reports it. A worker keeps ended tasks until a command allows it to forget them.
struct TaskStatus
{
    std::string jobId;
    int attempt = 0;
    bool service = false;
    TaskState state = TaskState::Running;
    std::string checkpoint; // last durable checkpoint; empty if there is none
    double progress = 0; // completed share of the work, 0 to 1
    Resources usage; // measured with a delay
    std::string serviceAddress; // "IP-ADDRESS:PORT" of a service task
    double serviceLatencyP99Us = 0; // measured by the worker with a delay; 0 if unknown
    std::string reason; // of a failure
};

/// State of one worker as it reports it.
struct WorkerStatus
{
    std::string worker;
    std::string rack;
    bool leaving = false;
    Resources capacity;
    std::string leaseHolder;
    std::int64_t leaseEpoch = -1;
    std::chrono::milliseconds clock{0}; // worker's monotonic clock when it built this status
    std::chrono::milliseconds usageAge{0};
    std::vector<TaskStatus> tasks;
};

} // namespace Hyssop
