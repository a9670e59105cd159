#pragma once

#include "advicecandidate.h"
#include "freecapacityindex.h"
#include "idlecapacitypolicy.h"
#include "placementobstacle.h"
#include "workerstate.h"

#include "hyssop_types.h"

#include <utils/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

class ColocationPolicy;
class RoomReservations;
class ShortTaskPlaces;
struct SchedulingKey;

/// Requirements of a task on its worker.
struct PlacementRequest
{
    const Wire::TaskStep *step = nullptr;
    std::string workerPool;
    std::string rack; // required rack; empty: any
    const std::map<std::string, std::string> *tickets = nullptr; // by id of the allowed workers; null: all are allowed
    const RunProfile *profile = nullptr; // resources that the task needs
    const std::map<std::string, int> *stepTasksByWorker = nullptr; // number of open tasks of the same step
    const ShortTaskPlaces *shortTaskPlaces = nullptr; // that a serving task has to spare where possible; null: unknown
    const TaskId *stepId = nullptr; // of the task; null: unknown
    const SchedulingKey *key = nullptr; // order in which the step is scheduled; null: unknown
    const RoomReservations *reservations = nullptr; // that hold now; null: none
    const std::string *failedOn = nullptr; // worker that failed the last run of a serving task; null: unknown
    bool isOverdue = false; // best-effort task of an overdue step; see IdleCapacityPolicy
    bool mustLeavePlaces = false; // the task waits rather than take a reserved place
    bool isProbe = false; // quarantined workers may take the task; see WorkerRanking
};

/// Returns the resources that a run of a task of @p step uses.
RunProfile profileOf(const Wire::TaskStep &step, int run);

/// Filters and scores the workers for a task, for one scheduling pass.
///
/// Load pattern: serving tasks reserve most of the capacity, and best-effort tasks use what these leave idle. Tasks with
/// reserved capacity go where the least free capacity is left that suffices, because many small tasks would otherwise take the
/// places that few large ones need; a worker whose last runs failed, or that has lately rejected starts or not responded to one, comes
/// last. Serving tasks prefer workers with serving tasks of the same image, which leaves other workers to the best-effort tasks that
/// interfere with them.
/// Where best-effort tasks go is up to IdleCapacityPolicy.
///
/// Quarantined workers get no task while others with more than half of the capacity accept tasks. If fewer do, the failures may be due to
/// the jobs or to something that the workers share, so that a job without failures must not wait for the end of a quarantine: its
/// tasks may be started on quarantined workers as probes.
class WorkerRanking
{
public:
    /// Selects the workers on which tasks can be started at @p now. The arguments must outlive this object.
    WorkerRanking(std::vector<WorkerState *> workers, const std::set<std::string> &evacuatedDomains, const ColocationPolicy &colocationPolicy, TimePoint now);

    /// Returns the best worker, or a null pointer if none is suitable.
    WorkerState *choose(const PlacementRequest &request) const;

    /// Returns true if the workers that accept no task have at least half of the capacity in the worker pool and with the label of
    /// @p request, so that a job without failures may be started on them.
    bool isMostlyUnavailable(const PlacementRequest &request) const;

    /// Returns the best of these workers for a probe of @p request, or a null pointer if none is suitable.
    WorkerState *chooseForProbe(PlacementRequest request) const;

    /// Takes into account that a run was added to @p worker or removed from it. Other changes count from the next pass on.
    void capacityChanged(WorkerState &worker);

    /// A suitable worker with its score.
    using Candidate = std::pair<std::int64_t, WorkerState *>;

    /// Suitable workers for a best-effort task as a heap.
    struct Candidates
    {
        std::vector<Candidate> heap;
        bool isComplete = false; // no other worker is suitable
    };

    /// Returns suitable workers for the next tasks of @p request: enough of them for a good choice for @p tasks tasks, or all. The search goes
    /// on where the last one has ended, because most steps get few runs in a pass and examining all workers costs more than a start.
    Candidates rankCandidates(const PlacementRequest &request, std::size_t tasks) const;

    /// Returns true if a worker could take a task of @p request, but for its rack, tickets and limit per worker.
    bool hasRoom(PlacementRequest request) const;

    /// Returns the best of @p candidates after updating outdated scores, or a null pointer. The worker stays in the heap. Candidates that turn
    /// out to be too few are replaced by all suitable workers.
    WorkerState *bestCandidate(Candidates &candidates, const PlacementRequest &request) const;

    /// Returns the racks by decreasing free processor capacity.
    std::vector<std::string> racksByFreeCapacity(const std::string &workerPool) const;

    /// Returns the ids of the workers that could run a task of @p request if the advice service allows it: those that have room for
    /// it now, and then the others, each by decreasing free processor capacity.
    std::vector<AdviceCandidate> adviceCandidates(PlacementRequest request) const;

    /// Returns true if @p worker can take tasks, unless it is quarantined.
    bool isAvailable(const WorkerState &worker) const;

    /// Returns why @p worker can't take a task of @p request, or nothing if it can.
    std::optional<PlacementObstacle> obstacle(WorkerState &worker, const PlacementRequest &request) const;
    bool fits(WorkerState &worker, const PlacementRequest &request) const { return !obstacle(worker, request); }

    /// Returns true if @p worker could take a task of @p request if fewer others ran there.
    bool lacksOnlyRoom(const WorkerState &worker, const PlacementRequest &request) const;

    /// Returns the workers on which tasks can be started.
    const std::vector<WorkerState *> &workers() const { return m_workers; }

    /// Sets and returns the index of the worker at which the next search for candidates begins. It goes on from pass to pass, or the same
    /// workers would get most best-effort tasks.
    void setNextExamined(std::size_t index) { m_nextExamined = index; }
    std::size_t nextExamined() const { return m_nextExamined; }

    /// Returns how often a worker was examined for a request.
    std::size_t examinedWorkers() const { return m_examinedWorkers; }

private:
    /// Returns why @p worker can't take a task of @p request however much room it has.
    std::optional<PlacementObstacle> conditionObstacle(const WorkerState &worker, const PlacementRequest &request) const;

    /// Returns which resource @p worker lacks.
    static std::optional<PlacementObstacle> roomObstacle(const WorkerState &worker, const PlacementRequest &request);

    /// Returns the best worker for a task with reserved capacity, or a null pointer.
    WorkerState *chooseForReserved(const PlacementRequest &request) const;

    /// Returns the best worker for a best-effort task, or a null pointer.
    WorkerState *chooseForBestEffort(const PlacementRequest &request) const;

    /// Returns the best worker of @p candidates after updating outdated scores, or a null pointer.
    WorkerState *bestOf(std::vector<Candidate> &candidates, const PlacementRequest &request) const;

    std::int64_t bestEffortScore(WorkerState &worker, const PlacementRequest &request) const;

    /// Returns the forecast for the worker's serving runs, recomputed if it is out of date.
    const ServingForecast &forecastOf(WorkerState &worker) const;

    std::vector<WorkerState *> m_workers;
    std::vector<WorkerState *> m_refusingWorkers; // available, but accepted no task when the pass began
    mutable std::map<std::pair<std::string, std::string>, bool> m_mostlyUnavailable; // known results, by worker pool and label
    mutable std::optional<FreeCapacityIndex> m_index; // of m_workers, built when it is first needed
    const std::set<std::string> &m_evacuatedDomains;
    const ColocationPolicy &m_colocation;
    IdleCapacityPolicy m_idleCapacity;
    TimePoint m_now;
    mutable std::size_t m_nextExamined = 0; // modulo the number of workers
    mutable std::size_t m_examinedWorkers = 0;
};

} // namespace Hyssop
