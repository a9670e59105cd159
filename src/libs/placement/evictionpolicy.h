#pragma once

#include <contract/contract.h>
#include <utils/clock.h>

#include <cstdint>
#include <unordered_map>

namespace Hyssop::Internal {

/// Decides when the batch tasks of a worker are throttled, evicted or returned to full speed.
///
/// The latency ratio of a worker is the highest ratio of a service's measured latency to its objective. A high ratio in two
/// consecutive measurements lowers the speed of the batch tasks by one step. A ratio of at least 1 for 5 s at minimum speed
/// evicts one task. A low ratio for 10 s raises the speed by one step. To prevent oscillation, this delay doubles whenever a
/// raised speed soon had to be lowered again. Measurements taken before the last action are ignored.
class EvictionPolicy
{
public:
    enum class Action : std::uint8_t {
        None,
        Throttle,
        Evict,
        Unthrottle,
    };

    /// Processes a measurement of @p latencyRatio and returns the action that is due. @p atMinimumSpeed and @p atFullSpeed
    /// apply to all batch tasks of the worker.
    Action observe(std::uint32_t worker, double latencyRatio, Favor favor, bool atMinimumSpeed, bool atFullSpeed, TimePoint measuredAt, TimePoint now);

    void forgetWorker(std::uint32_t worker) { m_records.erase(worker); }

    /// Returns the latency ratio above which no further batch tasks are placed on a worker.
    static double placementLimit(Favor favor);

private:
    struct Record
    {
        int consecutiveHighMeasurements = 0;
        TimePoint overObjectiveSince{};
        TimePoint lowSince{};
        TimePoint actedAt{};
        TimePoint unthrottledAt{};
        Duration unthrottleDelay{};
        bool overObjective = false;
        bool low = false;
    };

    static Action recordAction(Record &record, Action action, TimePoint now);

    std::unordered_map<std::uint32_t, Record> m_records;
};

} // namespace Hyssop::Internal
