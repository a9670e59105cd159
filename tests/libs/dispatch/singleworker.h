#pragma once

#include "hyssop_types.h"

#include <cstdint>

namespace Hyssop {

class Dispatcher;
struct ClaimTimes;

namespace Testing {

/// Starts a term of @p dispatcher after a handover, with the job "j" in the queue "batch" and the worker "w". No leases of
/// previous owners exist.
void beginWithSingleWorker(Dispatcher &dispatcher, Wire::StepJob job, std::int64_t milliCores, const ClaimTimes &claim);

} // namespace Testing
} // namespace Hyssop
