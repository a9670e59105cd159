#pragma once

#include <placement/placementengine.h>

#include <string>
#include <vector>

namespace Hyssop::Bench {

/// Interface of the policies that the benchmark compares: the placement engine and the baselines.
class Placer
{
public:
    virtual ~Placer() = default;
    virtual void updateWorker(const WorkerOffer &offer, TimePoint now) = 0;
    virtual void addPending(const PendingTask &task, TimePoint now) = 0;
    virtual void removePending(const std::string &jobId) = 0;
    virtual void release(const std::string &jobId) = 0;
    virtual void reportUsage(const UsageSample &sample, TimePoint now) = 0;
    virtual void reportFailure(const std::string &jobId, const std::string &worker, TimePoint now) = 0;
    virtual void reportSuccess(const std::string &jobId, const std::string &worker, TimePoint now) = 0;
    virtual std::vector<PlacementDecision> decide(TimePoint now, std::size_t maximumPlacements) = 0;
};

} // namespace Hyssop::Bench
