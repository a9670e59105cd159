#pragma once

#include <dispatch/dispatchactions.h>

#include <variant>

namespace Hyssop {

/// A change of what the owner believes about a worker.
using WorkerEvent = std::variant<WorkerRegistered,
                                 WorkerDraining,
                                 WorkerUnregistered,
                                 WorkerUnreachable,
                                 WorkerReachableAgain,
                                 WorkerQuarantined,
                                 WorkerSoundAgain,
                                 WorkerRestarted,
                                 WorkerLeaseExpired,
                                 WorkerProcessEnded>;

} // namespace Hyssop
