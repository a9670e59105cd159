#pragma once

#include "fairqueue.h"

#include <utils/clock.h>
#include <utils/resources.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Hyssop::Internal {

constexpr std::uint32_t NoId = UINT32_MAX;
constexpr int MinimumSpeedPercent = 25; // of full speed

/// Data of a task that exists only while it runs.
struct RunningTask
{
    std::uint32_t worker = NoId;
    std::uint32_t position = 0; // index in the worker's list of tasks
    Resources committed;
    Resources charged; // the larger of committed and measured use
    std::int64_t loadMilliCores = 0; // measured, or expected before the first measurement
    TimePoint startedAt{};
    TimePoint evictedAt{}; // time of the last decision to evict it
    float progress = 0;
    std::uint8_t speedPercent = 100; // of full speed
    bool measured = false;
    bool hasCheckpoint = false;
    bool adopted = false; // started by a previous owner, at an unknown time
};

/// A pending or running task.
struct TaskRecord
{
    std::string jobId;
    Resources declared;
    std::uint32_t team = 0;
    std::uint32_t customer = 0;
    std::uint32_t kind = 0;
    std::uint32_t service = NoId; // NoId for batch
    std::uint32_t declaredRunTimeMs = 0;
    QueueClass queueClass = QueueClass::Batch;
    bool urgentRequested = false;
    std::int64_t queueKey = 0; // see FairQueue::queueKey()
    std::unique_ptr<RunningTask> running;

    bool batch() const { return service == NoId; }
};

} // namespace Hyssop::Internal
