#pragma once

#include <string>

namespace Hyssop::Bench {

/// Cost of a stage under a load.
struct StageCost
{
    std::string stage;
    double eventsPerSecond = 0;
    double microseconds = 0; // processor time of an event
    double allocations = 0; // of memory, for an event

    /// Returns the processor time as a share of a core.
    double coreShare() const { return eventsPerSecond * microseconds / 1e6; }
};

} // namespace Hyssop::Bench
