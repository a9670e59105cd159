#include "placementengine.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Hyssop {

namespace Internal {

struct PlacementState
{
    struct Worker
    {
        WorkerOffer offer;
        Resources committed;
    };
    struct Placed
    {
        PendingTask task;
        std::string worker;
    };

    std::map<std::string, Worker> workers;
    std::vector<PendingTask> pending;
    std::map<std::string, Placed> placed;

    const std::string *firstFit(const PendingTask &task) const
    {
        const auto avoids = [&](const std::string &name) {
            return std::find(task.avoidedWorkers.begin(), task.avoidedWorkers.end(), name) != task.avoidedWorkers.end();
        };
        for (const auto &[name, worker] : workers) {
            if (worker.offer.accepting && !avoids(name) && task.declared.fitsIn(worker.offer.capacity - worker.committed)) {
                return &name;
            }
        }
        return nullptr;
    }
};

} // namespace Internal

PlacementEngine::PlacementEngine()
    : m_state(std::make_unique<Internal::PlacementState>())
{
}

PlacementEngine::~PlacementEngine() = default;

void PlacementEngine::setContracts(const std::vector<Contract> &) { }

void PlacementEngine::updateWorker(const WorkerOffer &offer, TimePoint)
{
    m_state->workers[offer.worker].offer = offer;
}

void PlacementEngine::removeWorker(const std::string &worker)
{
    m_state->workers.erase(worker);
}

void PlacementEngine::addPending(const PendingTask &task, TimePoint)
{
    m_state->pending.push_back(task);
}

void PlacementEngine::removePending(const std::string &jobId)
{
    std::erase_if(m_state->pending, [&](const PendingTask &task) { return task.jobId == jobId; });
}

void PlacementEngine::adoptRunning(const PendingTask &task, const std::string &worker, TimePoint)
{
    m_state->placed[task.jobId] = {task, worker};
    m_state->workers[worker].committed += task.declared;
}

void PlacementEngine::release(const std::string &jobId)
{
    const auto found = m_state->placed.find(jobId);
    if (found == m_state->placed.end()) {
        return;
    }
    m_state->workers[found->second.worker].committed -= found->second.task.declared;
    m_state->placed.erase(found);
}

void PlacementEngine::reportUsage(const UsageSample &, TimePoint) { }

void PlacementEngine::reportFailure(const std::string &, const std::string &, TimePoint) { }

void PlacementEngine::reportSuccess(const std::string &, const std::string &, TimePoint) { }

std::vector<PlacementDecision> PlacementEngine::decide(TimePoint now, std::size_t maximumPlacements)
{
    std::vector<PlacementDecision> decisions;
    std::vector<PendingTask> waiting;
    for (PendingTask &task : std::exchange(m_state->pending, {})) {
        const std::string *worker = decisions.size() < maximumPlacements ? m_state->firstFit(task) : nullptr;
        if (!worker) {
            waiting.push_back(std::move(task));
            continue;
        }
        decisions.emplace_back(PlaceTask{task.jobId, *worker});
        adoptRunning(task, *worker, now);
    }
    m_state->pending = std::move(waiting);
    return decisions;
}

std::size_t PlacementEngine::pendingCount() const
{
    return m_state->pending.size();
}

std::size_t PlacementEngine::runningCount() const
{
    return m_state->placed.size();
}

Resources PlacementEngine::committed(const std::string &worker) const
{
    const auto found = m_state->workers.find(worker);
    return found == m_state->workers.end() ? Resources() : found->second.committed;
}

} // namespace Hyssop
