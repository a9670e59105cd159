#pragma once

namespace Hyssop {

/// Result of a command to a worker.
enum class CommandOutcome {
    Executed, // now or by an earlier command
    StaleEpoch, // the worker has seen a higher epoch, or the lease has expired
    Expired, // the command's deadline had passed; certainly not executed
    NoCapacity, // certainly not executed
    UnknownTask, // the worker does not have the task
    Unreachable, // certainly not received
    Undetermined, // no answer; the effect is unknown
};

} // namespace Hyssop
