#pragma once

namespace Hyssop {

/// Why a worker can't take a task.
enum class PlacementObstacle {
    Unavailable, // not registered, unreachable, draining, evacuated, or its last report is too old
    Quarantine, // it has failed tasks
    WorkerPool,
    ProcessorCapacity,
    Memory,
    Accelerators,
    RackOrLabel,
    TasksPerWorker, // it runs as many tasks of the step as the step allows
    Advice,
    Reserved, // its room is reserved for a task that comes before
    ShortTaskReserve, // a serving task would take places that are reserved for short tasks
    OverTarget, // a serving task exceeds its target, so no best-effort task starts
    IdleProcessorTime,
    Headroom, // a best-effort task would bring a serving task over its target
};

} // namespace Hyssop
