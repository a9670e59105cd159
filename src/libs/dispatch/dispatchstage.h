#pragma once

namespace Hyssop {

/// Stage of Dispatcher::advance(), for measurements of its processor time.
enum class DispatchStage {
    Workers, // registrations, leases, stops and departures of workers
    Placement,
    Watchdog, // search for steps that wait too long
    Batch, // changes composed for the topics
    Polls,
};

} // namespace Hyssop
