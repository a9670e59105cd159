#pragma once

#include <contract/contract.h>
#include <utils/clock.h>

#include <cstdint>
#include <unordered_map>

namespace Hyssop::Internal {

/// Decides for each worker when its batch tasks are throttled, evicted or restored.
///
/// The pressure of a worker is the highest ratio of a service's measured latency to its objective. High pressure in two
/// measurements in a row lowers the level of batch by one step. Pressure over the objective for 5 s at the lowest level
/// evicts one task. Low pressure for 10 s raises the level by one step; this delay doubles when a raised level had to be
/// lowered again, so that throttling does not oscillate. Measurements from before the last action are ignored.
class EvictionPolicy
{
public:
    enum class Action : std::uint8_t {
        None,
        Throttle,
        Evict,
        Unthrottle,
    };

    /// Takes a measurement of @p pressure and returns what is due. @p lowest: all batch tasks are at the lowest level;
    /// @p restored: all are at full speed.
    Action observe(std::uint32_t worker, double latencyRatio, Favor favor, bool atMinimumSpeed, bool atFullSpeed, TimePoint measuredAt, TimePoint now);

    void forgetWorker(std::uint32_t worker) { m_records.erase(worker); }

    /// Returns the pressure from which on a worker gets no further batch.
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
