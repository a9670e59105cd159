#pragma once

#include <cstdint>

namespace Hyssop {

/// Seed and switches of the placement policy. The switches exist for ablation runs; all are on in production.
struct PlacementOptions
{
    std::uint64_t seed = 1;
    bool interference = true; // score and refuse pairs of task kinds that slow services
    bool exploration = true; // try pairs without data while the services have headroom
    bool sizeCorrection = true; // raise declared sizes to the measured ones
    bool throttling = true; // slow batch beside a service near its objective
    bool eviction = true; // evict batch beside a service over its objective
    bool preemption = true; // evict batch for urgent and service tasks that find no room
    bool headReservation = true; // hold a worker for the first batch task that finds no room
    bool backfill = true; // place later tasks of a team whose first task waits
    bool quarantine = true; // place nothing on workers that fail everything
    bool rackSpread = true; // spread the replicas of a service over racks and workers
};

} // namespace Hyssop
