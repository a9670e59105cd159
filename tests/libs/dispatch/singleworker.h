#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

namespace Hyssop {

class Dispatcher;

namespace Testing {

/// Begins a term of @p dispatcher with the job "j" in the queue "batch" and the worker "w", on which no lease of an earlier
/// owner is left after a hand-over.
void beginWithSingleWorker(Dispatcher &dispatcher, Wire::StepJob job, std::int64_t milliCores, TimePoint now);

} // namespace Testing
} // namespace Hyssop
