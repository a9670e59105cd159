#pragma once

#include "hyssop_types.h"

#include <utils/result.h>

#include <cstdint>

namespace Hyssop {

/// The store limits the size of a record, and the progress of a job is one: started tasks have an entry in it until they are done.
constexpr std::int64_t MaximumStartedTasks = 3000; // of a job

/// Checks a job from a caller beyond its limits: all its serving tasks must be able to run at the same time.
Result<void> checkServingTasks(const Wire::StepJob &job);

/// Check values from callers and from records of the job topic, which another version may have written. Within the limits, the
/// arithmetic of the core doesn't overflow, and the size of a job in memory is bounded.
Result<void> checkLimits(const Wire::StepJob &job);
Result<void> checkLimits(const Wire::JobProgress &progress);
Result<void> checkLimits(const Wire::TopicClaim &claim);
Result<void> checkLimits(const Wire::LearnedTails &tails);
Result<void> checkLimits(const Wire::ServingRoom &room);
Result<void> checkLimits(const Wire::SilentWorkers &silent);
Result<void> checkLimits(const Wire::TakeoverOffer &offer);

} // namespace Hyssop
