#pragma once

#include <cstdint>

namespace Hyssop {

/// Random seed and feature switches of the placement policy. All features are on in production; bench-policy turns them off
/// one at a time.
struct PlacementOptions
{
    std::uint64_t seed = 1;
    bool interference = true; // avoid colocating batch task kinds with the services that they slow down
    bool exploration = true; // try pairs of kinds without measurements while the services have headroom
    bool sizeCorrection = true; // raise declared sizes to the measured use
    bool throttling = true; // throttle batch tasks colocated with a service that is near its latency objective
    bool eviction = true; // evict batch tasks colocated with a service that exceeds its latency objective
    bool preemption = true; // evict batch tasks for urgent and service tasks that find no free capacity
    bool headReservation = true; // reserve a worker for the first batch task that finds no free capacity
    bool backfill = true; // place later tasks of a team while its first task waits
    bool quarantine = true; // place nothing on workers on which every task fails
    bool rackSpread = true; // spread the replicas of a service over racks and workers
};

} // namespace Hyssop
