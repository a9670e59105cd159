#pragma once

#include "workerstatus.h"

#include <cstdint>

namespace Hyssop {

/// Result of a request for the lease on a worker.
struct LeaseResult
{
    bool granted = false;
    std::int64_t holderEpoch = -1; // highest epoch that the worker has seen, also set if the lease is refused
    WorkerStatus status; // valid if granted
};

} // namespace Hyssop
