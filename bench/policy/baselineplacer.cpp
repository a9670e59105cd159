#include "baselineplacer.h"

#include <algorithm>
#include <iterator>

namespace Hyssop::Bench {

namespace {

constexpr int MaximumFailures = 10;
constexpr std::size_t LookaheadTasks = 32; // tasks without a suitable worker that are skipped in one pass

} // namespace

void BaselinePlacer::updateWorker(const WorkerOffer &offer, TimePoint /*now*/)
{
    const auto found = std::find_if(m_workers.begin(), m_workers.end(), [&](const Worker &worker) { return worker.offer.worker == offer.worker; });
    if (found != m_workers.end()) {
        found->offer = offer;
        return;
    }
    // Spreads the service workers evenly over the racks and failure domains.
    m_workers.push_back(Worker{offer, Resources(), false});
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        m_workers[i].forServices = i * m_serviceWorkers / m_workers.size() != (i + 1) * m_serviceWorkers / m_workers.size();
    }
}

void BaselinePlacer::addPending(const PendingTask &task, TimePoint /*now*/)
{
    m_cancelled.erase(task.jobId);
    (task.service.empty() ? m_batch : m_services).push_back(task);
}

void BaselinePlacer::removePending(const std::string &jobId)
{
    m_cancelled.insert(jobId);
}

void BaselinePlacer::release(const std::string &jobId)
{
    const auto found = m_running.find(jobId);
    if (found != m_running.end()) {
        m_workers[found->second.worker].committed -= found->second.committed;
        m_running.erase(found);
    }
}

void BaselinePlacer::reportFailure(const std::string &jobId, const std::string & /*worker*/, TimePoint /*now*/)
{
    ++m_failures[jobId];
}

void BaselinePlacer::reportSuccess(const std::string &jobId, const std::string & /*worker*/, TimePoint /*now*/)
{
    m_failures.erase(jobId);
}

std::vector<PlacementDecision> BaselinePlacer::decide(TimePoint /*now*/, std::size_t maximumPlacements)
{
    std::vector<PlacementDecision> decisions;
    decideQueue(m_services, maximumPlacements, decisions);
    decideQueue(m_batch, maximumPlacements, decisions);
    return decisions;
}

void BaselinePlacer::decideQueue(std::deque<PendingTask> &queue, std::size_t maximum, std::vector<PlacementDecision> &decisions)
{
    std::deque<PendingTask> skipped;
    while (!queue.empty() && decisions.size() < maximum && skipped.size() < LookaheadTasks) {
        PendingTask task = std::move(queue.front());
        queue.pop_front();
        if (m_cancelled.erase(task.jobId) > 0) {
            continue;
        }
        const bool fitsSomewhere =
            std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker &worker) { return task.declared.fitsIn(worker.offer.capacity); });
        if (!fitsSomewhere || m_failures[task.jobId] >= MaximumFailures) {
            decisions.emplace_back(RejectJob{task.jobId, "fits no worker or failed too often"});
            continue;
        }
        const int worker = choose(task);
        if (worker < 0) {
            skipped.push_back(std::move(task));
            continue;
        }
        const auto index = static_cast<std::size_t>(worker);
        m_workers[index].committed += task.declared;
        m_running[task.jobId] = Running{index, task.declared};
        decisions.emplace_back(PlaceTask{task.jobId, m_workers[index].offer.worker});
    }
    queue.insert(queue.begin(), std::make_move_iterator(skipped.begin()), std::make_move_iterator(skipped.end()));
}

int BaselinePlacer::choose(const PendingTask &task) const
{
    int best = -1;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const Worker &worker = m_workers[i];
        if (!worker.offer.accepting || !(worker.committed + task.declared).fitsIn(worker.offer.capacity)) {
            continue;
        }
        if (m_baseline == Baseline::DedicatedWorkers && worker.forServices == task.service.empty()) {
            continue;
        }
        if (m_baseline == Baseline::FirstFit) {
            return static_cast<int>(i);
        }
        if (best < 0 || worker.committed.milliCores < m_workers[static_cast<std::size_t>(best)].committed.milliCores) {
            best = static_cast<int>(i);
        }
    }
    return best;
}

} // namespace Hyssop::Bench
