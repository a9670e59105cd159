#pragma once

#include <utils/clock.h>

#include <optional>

namespace Hyssop {

struct WorkerView;

/// Decides at which pace filling tasks work beside serving tasks.
///
/// Load pattern: filling tasks slow serving tasks on the same worker by amounts that differ between images and change
/// within seconds. While the tail of a serving task is over its target the pace is lowered step by step, down to a halt;
/// it rises again step by step once the tail is well below the target.
///
/// @p worstRatio is the highest ratio of tail and target on the worker. Returns the new pace in percent, if it changes.
std::optional<int> nextFillPace(const WorkerView &worker, double worstRatio, TimePoint now);

} // namespace Hyssop
