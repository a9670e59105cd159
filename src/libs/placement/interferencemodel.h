#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace Hyssop::Internal {

/// Number of tasks of each kind beside a service, each scaled by the load of the worker.
using KindLoads = std::vector<std::pair<std::uint32_t, double>>;

/// Learns how strongly each task kind slows each service kind on the same worker.
///
/// The logarithm of a service's latency is modelled as a constant of the service plus one effect for each kind beside
/// it, times the number of its tasks and the load of the worker. Effects are fitted by normalized least mean squares
/// and decay with a half-life of 30 min, because interference shifts with load. The caller compensates for the lag of
/// measurements: it passes the tasks that ran when the measurement was taken.
class InterferenceModel
{
public:
    static constexpr std::uint32_t MaximumKinds = 256;

    void observe(std::uint32_t service, double latencyUs, const KindLoads &colocatedLoads);

    /// Returns the increase of the logarithm of @p service's latency by one task of @p kind at full load; never negative.
    double effect(std::uint32_t service, std::uint32_t kind) const;

    /// Returns true while too few measurements of the pair exist.
    bool unexplored(std::uint32_t service, std::uint32_t kind) const;

    void decayTo(TimePoint now);

private:
    struct Pair
    {
        float effect = 0;
        float samples = 0;
    };

    struct Row
    {
        double baseline = 0; // logarithm of the latency without neighbours
        bool initialized = false;
        std::vector<Pair> pairs;
    };

    Row &rowOf(std::uint32_t service);

    std::vector<Row> m_rows;
    TimePoint m_decayedAt{};
};

} // namespace Hyssop::Internal
