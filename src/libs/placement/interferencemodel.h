#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace Hyssop::Internal {

/// Task kinds colocated with a service, each with its number of tasks times the load of the worker.
using KindLoads = std::vector<std::pair<std::uint32_t, double>>;

/// Learns how much each task kind increases the latency of each service kind on the same worker.
///
/// A linear model of the logarithm of a service's latency: a baseline plus, for each colocated kind, its effect times the
/// number of its tasks and the load of the worker. The effects are fitted by normalized least mean squares and decay with a
/// half-life of 30 min, because interference changes with load. Measurements arrive late, so the caller passes the tasks that
/// ran at the time of the measurement.
class InterferenceModel
{
public:
    static constexpr std::uint32_t MaximumKinds = 256;

    void observe(std::uint32_t service, double latencyUs, const KindLoads &colocatedLoads);

    /// Returns by how much one task of @p kind at full load increases the logarithm of @p service's latency; never negative.
    double effect(std::uint32_t service, std::uint32_t kind) const;

    /// Returns true if there are too few measurements of the pair for an estimate.
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
        double baseline = 0; // logarithm of the latency without colocated tasks
        bool initialized = false;
        std::vector<Pair> pairs;
    };

    Row &rowOf(std::uint32_t service);

    std::vector<Row> m_rows;
    TimePoint m_decayedAt{};
};

} // namespace Hyssop::Internal
