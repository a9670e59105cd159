#pragma once

#include "workerstatus.h"

#include <cstdint>

namespace Hyssop {

/// Answer of a worker to a request for its lease.
struct LeaseResult
{
    bool granted = false;
    std::int64_t holderEpoch = -1; // highest epoch that the worker has seen, also when it refuses
    WorkerStatus status; // valid if granted
};

} // namespace Hyssop
