#pragma once

namespace Hyssop {

/// Stage of Dispatcher::advance(), for measurements of its processor time.
enum class DispatchStage {
    Workers, // registrations, leases, stops and departures of workers
    Placement,
    Batch, // changes composed for the topics
    Polls,
};

} // namespace Hyssop
