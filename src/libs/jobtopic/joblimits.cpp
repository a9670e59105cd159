#include "joblimits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop {

namespace Internal {

constexpr std::int64_t MaximumTasks = 100'000; // of all steps
constexpr std::int64_t MaximumMilliCores = 1'000'000'000; // a million cores
constexpr std::int64_t MaximumMemoryMb = 1'000'000'000; // a petabyte
constexpr std::int64_t MaximumAccelerators = 1'000'000;
// Sums of three of these durations after the latest time are representable in nanoseconds, also if multiplied by 100.
constexpr std::int64_t MaximumDurationMs = 8'640'000'000; // 100 days
constexpr std::int64_t MaximumRepetitionMs = 315'360'000'000; // 10 years
constexpr std::int64_t LatestTimeMs = 4'102'444'800'000; // 2100
constexpr std::int64_t MaximumNumber = 1'000'000'000; // of a run, an occurrence or failures; the next one is representable
constexpr std::int64_t MaximumTerm = 1'000'000'000'000; // tokens are multiples of the term
constexpr double MaximumModelValue = 1e9;
constexpr std::size_t MaximumPools = 1000; // with published room
constexpr std::size_t MaximumSilentWorkers = 1000; // in a record
constexpr std::int64_t MaximumRoom = 1'000'000'000'000'000; // thousandths of a core

static bool isWithin(std::int64_t value, std::int64_t maximum)
{
    return value >= 0 && value <= maximum;
}

static bool isUsable(double value)
{
    return std::isfinite(value) && std::abs(value) <= MaximumModelValue;
}

static bool isWithinLimits(const Wire::TaskStep &step)
{
    const bool hasUsableAmounts =
        isWithin(step.milliCores, MaximumMilliCores) && isWithin(step.memoryMb, MaximumMemoryMb) && isWithin(step.accelerators, MaximumAccelerators);
    return step.taskCount >= 1 && hasUsableAmounts && isWithin(step.estimateMs, MaximumDurationMs) && isWithin(step.tailTargetMs, MaximumDurationMs)
        && isWithin(step.perWorker, MaximumNumber) && isWithin(step.mayMiss, MaximumNumber);
}

static bool isWithinLimits(const Wire::StepMarks &marks)
{
    const auto isUsableMark = [](const Wire::TaskMark &mark) {
        return isWithin(mark.index, MaximumTasks) && isWithin(mark.run, MaximumNumber) && isWithin(mark.failures, MaximumNumber);
    };
    return isWithin(marks.occurrence, MaximumNumber) && isWithin(marks.step, MaximumTasks) && std::ranges::all_of(marks.marks, isUsableMark);
}

static bool isUsableTail(const Wire::ServingTail &tail)
{
    const auto isUsableEffect = [](const Wire::NeighbourEffect &effect) { return isUsable(effect.coefficient) && isUsable(effect.variance); };
    return isUsable(tail.baseMs) && tail.baseMs >= 0 && isUsable(tail.ownUtilization) && std::ranges::all_of(tail.neighbours, isUsableEffect);
}

} // namespace Internal

Result<void> checkServingTasks(const Wire::StepJob &job)
{
    std::int64_t tasks = 0;
    for (const Wire::TaskStep &step : job.steps) {
        tasks += step.longRunning ? step.taskCount : 0;
    }
    if (tasks > MaximumStartedTasks) {
        return fail(ErrorCode::InvalidArgument, "the job has more than " + std::to_string(MaximumStartedTasks) + " tasks that run until it is cancelled");
    }
    return {};
}

Result<void> checkLimits(const Wire::StepJob &job)
{
    std::int64_t tasks = 0;
    std::vector<std::int64_t> endsMs; // of the steps, if each takes as long as estimated
    for (const Wire::TaskStep &step : job.steps) {
        const auto isEarlier = [&](std::int32_t predecessor) { return predecessor >= 0 && static_cast<std::size_t>(predecessor) < endsMs.size(); };
        if (!Internal::isWithinLimits(step)) {
            return fail(ErrorCode::InvalidArgument, "a value of step " + std::to_string(endsMs.size()) + " is out of range");
        }
        if (!std::ranges::all_of(step.after, isEarlier)) {
            return fail(ErrorCode::InvalidArgument, "a step may only follow earlier steps");
        }
        std::int64_t beginMs = 0;
        for (const std::int32_t predecessor : step.after) {
            beginMs = std::max(beginMs, endsMs[static_cast<std::size_t>(predecessor)]);
        }
        tasks += step.taskCount;
        endsMs.push_back(beginMs + step.estimateMs);
        if (tasks > Internal::MaximumTasks || endsMs.back() > Internal::MaximumDurationMs) {
            return fail(ErrorCode::InvalidArgument, "the job has too many tasks or takes too long");
        }
    }
    const bool hasUsableTimes = Internal::isWithin(job.acceptedAtMs, Internal::LatestTimeMs) && Internal::isWithin(job.startAtMs, Internal::LatestTimeMs)
        && Internal::isWithin(job.intervalMs, Internal::MaximumRepetitionMs) && Internal::isWithin(job.repeatCount, Internal::MaximumNumber);
    if (!hasUsableTimes || (job.repeatCount > 0 && job.intervalMs > Internal::MaximumRepetitionMs / job.repeatCount)) {
        return fail(ErrorCode::InvalidArgument, "the times of a job are out of range");
    }
    return {};
}

Result<void> checkLimits(const Wire::JobProgress &progress)
{
    const bool isKnownPhase = progress.phase >= Wire::JobPhase::Pending && progress.phase <= Wire::JobPhase::Cancelled;
    const bool hasUsableMarks = std::ranges::all_of(progress.steps, [](const Wire::StepMarks &marks) { return Internal::isWithinLimits(marks); });
    if (!isKnownPhase || !hasUsableMarks || !Internal::isWithin(progress.endedAtMs, Internal::LatestTimeMs)
        || !Internal::isWithin(progress.finishedOccurrences, Internal::MaximumNumber)) {
        return fail(ErrorCode::Malformed, "progress is out of range");
    }
    return {};
}

Result<void> checkLimits(const Wire::TopicClaim &claim)
{
    if (!Internal::isWithin(claim.term, Internal::MaximumTerm) || !Internal::isWithin(claim.sequence, Internal::MaximumTerm)
        || !Internal::isUsable(claim.processorShare)) {
        return fail(ErrorCode::Malformed, "claim is out of range");
    }
    return {};
}

Result<void> checkLimits(const Wire::LearnedTails &tails)
{
    if (!std::ranges::all_of(tails.tails, Internal::isUsableTail)) {
        return fail(ErrorCode::Malformed, "a learned value is out of range");
    }
    return {};
}

Result<void> checkLimits(const Wire::ServingRoom &room)
{
    const auto isUsableRoom = [](const Wire::PoolServingRoom &pool) {
        return pool.milliCores >= -Internal::MaximumRoom && pool.milliCores <= Internal::MaximumRoom;
    };
    const bool hasUsablePosition = Internal::isWithin(room.term, Internal::MaximumTerm) && room.readUpTo >= 0;
    if (!hasUsablePosition || room.pools.size() > Internal::MaximumPools || !std::ranges::all_of(room.pools, isUsableRoom)) {
        return fail(ErrorCode::Malformed, "room for serving tasks is out of range");
    }
    return {};
}

Result<void> checkLimits(const Wire::SilentWorkers &silent)
{
    const auto isUsableLease = [](const Wire::SilentWorker &worker) { return Internal::isWithin(worker.leaseMs, Internal::MaximumDurationMs); };
    if (!Internal::isWithin(silent.term, Internal::MaximumTerm) || silent.workers.size() > Internal::MaximumSilentWorkers
        || !std::ranges::all_of(silent.workers, isUsableLease)) {
        return fail(ErrorCode::Malformed, "silent workers are out of range");
    }
    return {};
}

Result<void> checkLimits(const Wire::TakeoverOffer &offer)
{
    if (!Internal::isWithin(offer.term, Internal::MaximumTerm) || !Internal::isUsable(offer.processorShare)) {
        return fail(ErrorCode::Malformed, "offer to take over is out of range");
    }
    return {};
}

} // namespace Hyssop
