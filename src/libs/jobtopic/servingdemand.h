#pragma once

#include <cstdint>

namespace Hyssop {

namespace Wire {
class StepJob;
class TaskStep;
} // namespace Wire

/// Returns true if the tasks of @p step reserve processor capacity until their job is cancelled.
bool isServingStep(const Wire::TaskStep &step);

/// Returns the processor capacity that the serving tasks of one occurrence of @p job reserve, in thousandths of a core.
std::int64_t servingDemand(const Wire::StepJob &job);

} // namespace Hyssop
