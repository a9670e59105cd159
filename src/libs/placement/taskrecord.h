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

/// What is known about a task only while it runs.
struct RunningTask
{
    std::uint32_t worker = NoId;
    std::uint32_t position = 0; // in the worker's list of tasks
    Resources committed;
    Resources charged; // committed, raised to the measured use
    std::int64_t loadMilliCores = 0; // measured, or expected before the first measurement
    TimePoint startedAt{};
    TimePoint evictedAt{}; // when its eviction was last decided
    float progress = 0;
    std::uint8_t speedPercent = 100; // percent of full speed
    bool measured = false;
    bool hasCheckpoint = false;
    bool adopted = false; // started before a change of owner, at an unknown time
};

/// A task that waits or runs.
struct TaskRecord
{
    std::string jobId;
    Resources declared;
    std::uint32_t team = 0;
    std::uint32_t customer = 0;
    std::uint32_t kind = 0;
    std::uint32_t service = NoId; // None for batch
    std::uint32_t declaredRunTimeMs = 0;
    QueueClass queueClass = QueueClass::Batch;
    bool urgentRequested = false;
    std::int64_t queueKey = 0; // order in the queue
    std::unique_ptr<RunningTask> running;

    bool batch() const { return service == NoId; }
};

} // namespace Hyssop::Internal
