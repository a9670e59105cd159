#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <vector>

namespace Hyssop {

class WorkerRanking;
struct PlacementRequest;
struct WorkerState;

namespace Testing {

/// Returns the score of @p worker for a request of reserved capacity, computed from its runs.
std::int64_t plainScore(const WorkerState &worker, const PlacementRequest &request, TimePoint now);

/// Reference implementation of WorkerRanking::choose() for requests of reserved capacity: scores each of @p workers. Returns a null
/// pointer if none is suitable.
WorkerState *plainChoice(const std::vector<WorkerState *> &workers, const WorkerRanking &ranking, const PlacementRequest &request, TimePoint now);

} // namespace Testing
} // namespace Hyssop
