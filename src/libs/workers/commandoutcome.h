#pragma once

namespace Hyssop {

/// How a worker answered a command.
enum class CommandOutcome {
    Done, // took effect, or had taken effect before
    StaleEpoch, // the worker has seen a higher epoch, or the lease has expired
    Expired, // the not-after bound had passed; certainly not run
    NoCapacity, // certainly not run
    UnknownTask, // the worker does not have the task
    Unreachable, // certainly not received
    Undetermined, // no answer; the effect is unknown
};

} // namespace Hyssop
