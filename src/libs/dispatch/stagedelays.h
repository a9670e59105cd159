#pragma once

#include <utils/delaysummary.h>

namespace Hyssop {

/// Delays of the tasks of one kind, by the stage in which they wait for the owner.
struct StageDelays
{
    DelaySummary reads; // from the acceptance of a job until this owner has read it; the kind is that of its first step
    DelaySummary placements; // from when a task may start until it has a worker
    DelaySummary intents; // from then until the intent is durable and the start command is sent
    DelaySummary responses; // from then until the response to it
    DelaySummary ends; // from the previous report of the worker until the one with the end of the run, which is at most that old
};

} // namespace Hyssop
