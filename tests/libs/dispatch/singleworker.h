#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

namespace Hyssop {

class Dispatcher;

namespace Testing {

/// Starts a term of @p dispatcher after a handover, with the job "j" in the queue "batch" and the worker "w". No leases of
/// previous owners exist.
void beginWithSingleWorker(Dispatcher &dispatcher, Wire::StepJob job, std::int64_t milliCores, TimePoint now);

} // namespace Testing
} // namespace Hyssop
