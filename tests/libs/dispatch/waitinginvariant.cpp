#include "waitinginvariant.h"

#include <algorithm>

namespace Hyssop::Testing {

namespace {

constexpr std::int64_t RoomFactor = 2; // the rule asks for capacity twice over
constexpr std::int64_t MaximumPlaces = 1000; // on a worker, for tasks that need nothing

std::int64_t placesFor(std::int64_t needed, std::int64_t available)
{
    return needed > 0 ? std::max<std::int64_t>(available, 0) / needed : MaximumPlaces;
}

/// Returns the number of tasks of the step that fit into @p free on @p worker.
std::int64_t placesOn(const WaitingInvariant::Worker &worker, const Resources &free, const WaitingInvariant::Waiting &waiting)
{
    const Wire::TaskStep &step = *waiting.step;
    const std::vector<std::string> &labels = worker.info.labels;
    if (!step.label.empty() && std::ranges::find(labels, step.label) == labels.end()) {
        return 0;
    }
    std::int64_t places = std::min({placesFor(step.milliCores, free.milliCores),
                                    placesFor(step.memoryMb * BytesPerMegabyte, free.memoryBytes),
                                    placesFor(step.accelerators, free.accelerators)});
    if (step.perWorker > 0) {
        const auto present = waiting.runsByWorker.find(worker.info.id);
        places = std::min<std::int64_t>(places, std::max(0, step.perWorker - (present != waiting.runsByWorker.end() ? present->second : 0)));
    }
    return places;
}

std::int64_t inMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string describe(const WaitingInvariant::Waiting &waiting, Duration besideRoom, std::int64_t places, std::int64_t unusedPlaces)
{
    const char *kind = waiting.step->longRunning ? "serving task: " : waiting.step->fillsIdle ? "best-effort step: " : "step: ";
    return kind + waiting.task.toString() + " without a run for " + std::to_string(inMilliseconds(besideRoom)) + " ms beside room for " + std::to_string(places)
        + " tasks, " + std::to_string(unusedPlaces) + " without use of the processor";
}

} // namespace

void WaitingInvariant::Worker::addRun(const Wire::TaskStep &step)
{
    reserved.memoryBytes += step.memoryMb * BytesPerMegabyte;
    reserved.accelerators += step.accelerators;
    (step.fillsIdle ? bestEffortMilliCores : reserved.milliCores) += step.milliCores;
}

void WaitingInvariant::noteDisturbance(TimePoint now)
{
    m_calmSince = now;
    m_waits.clear();
}

void WaitingInvariant::observe(const std::vector<Worker> &workers, const std::vector<Waiting> &waiting, TimePoint now)
{
    m_nextObservation = now + ObservationInterval;
    if (now < m_calmSince + CalmTime) {
        return;
    }
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    for (const Worker &worker : workers) {
        capacity += worker.info.capacity.milliCores;
        reserved += worker.reserved.milliCores;
    }
    for (const Waiting &item : waiting) {
        const bool isServing = item.step->longRunning;
        if (isServing && now < item.lastRunEndedAt + ServingGraceTime) {
            continue;
        }
        // By the protocol the processor time of best-effort runs is not counted against a worker's capacity.
        std::int64_t places = 0;
        std::int64_t unusedPlaces = 0; // which best-effort runs don't use either
        for (const Worker &worker : workers) {
            Resources free = worker.info.capacity - worker.reserved;
            places += placesOn(worker, free, item);
            free.milliCores -= worker.bestEffortMilliCores;
            unusedPlaces += placesOn(worker, free, item);
        }
        const bool hasRoom = places >= RoomFactor * (item.step->gang ? item.step->taskCount : 1);
        if (!hasRoom || (!isServing && 2 * reserved >= capacity)) {
            continue;
        }
        TaskId key = item.task;
        key.index = isServing ? key.index : 0;
        Wait &wait = m_waits.try_emplace(key, Wait{now, now}).first->second;
        wait.observedAt = now;
        if (now - wait.since > MaximumWait && !wait.isReported) {
            wait.isReported = true;
            m_violations.push_back(describe(item, now - wait.since, places, unusedPlaces) + ", " + std::to_string(100 * reserved / capacity)
                                   + " % of the capacity reserved, " + std::to_string(inMilliseconds(now - m_calmSince)) + " ms after the last disturbance, at "
                                   + std::to_string(inMilliseconds(now.time_since_epoch())) + " ms");
        }
    }
    std::erase_if(m_waits, [now](const auto &item) { return item.second.observedAt != now; });
}

} // namespace Hyssop::Testing
