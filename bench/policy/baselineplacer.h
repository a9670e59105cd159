#pragma once

#include "placer.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace Hyssop::Bench {

enum class Baseline {
    FirstFit, // first worker on which the task fits
    LeastLoaded, // worker with the fewest committed cores
    DedicatedWorkers, // as LeastLoaded, but with separate workers for services and batch
};

/// Places tasks by their declared sizes in order of arrival, services first. Does not evict, throttle, quarantine or learn.
/// Rejects a job after ten failures, and at once if it fits on no worker, so that no job is retried indefinitely.
class BaselinePlacer : public Placer
{
public:
    /// @p serviceWorkers is the number of workers for services only. It is used by DedicatedWorkers.
    BaselinePlacer(Baseline baseline, int serviceWorkers)
        : m_baseline(baseline)
        , m_serviceWorkers(static_cast<std::size_t>(serviceWorkers))
    {
    }

    void updateWorker(const WorkerOffer &offer, TimePoint now) override;
    void addPending(const PendingTask &task, TimePoint now) override;
    void removePending(const std::string &jobId) override;
    void release(const std::string &jobId) override;
    void reportUsage(const UsageSample & /*sample*/, TimePoint /*now*/) override { }
    void reportFailure(const std::string &jobId, const std::string &worker, TimePoint now) override;
    void reportSuccess(const std::string &jobId, const std::string &worker, TimePoint now) override;
    std::vector<PlacementDecision> decide(TimePoint now, std::size_t maximumPlacements) override;

private:
    struct Worker
    {
        WorkerOffer offer;
        Resources committed;
        bool forServices = false;
    };

    struct Running
    {
        std::size_t worker = 0;
        Resources committed;
    };

    void decideQueue(std::deque<PendingTask> &queue, std::size_t maximum, std::vector<PlacementDecision> &decisions);
    int choose(const PendingTask &task) const;

    Baseline m_baseline;
    std::size_t m_serviceWorkers;
    std::vector<Worker> m_workers;
    std::deque<PendingTask> m_services;
    std::deque<PendingTask> m_batch;
    std::set<std::string> m_cancelled;
    std::unordered_map<std::string, Running> m_running;
    std::unordered_map<std::string, int> m_failures;
};

} // namespace Hyssop::Bench
