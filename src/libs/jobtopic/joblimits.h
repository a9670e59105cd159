#pragma once

#include "hyssop_types.h"

#include <utils/result.h>

namespace Hyssop {

/// Check values from callers and from records of the job topic, which another version may have written. Within the limits, the
/// arithmetic of the core doesn't overflow, and the size of a job in memory is bounded.
Result<void> checkLimits(const Wire::StepJob &job);
Result<void> checkLimits(const Wire::JobProgress &progress);
Result<void> checkLimits(const Wire::TopicClaim &claim);
Result<void> checkLimits(const Wire::LearnedTails &tails);

} // namespace Hyssop
