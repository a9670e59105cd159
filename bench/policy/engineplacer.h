#pragma once

#include "placer.h"

namespace Hyssop::Bench {

/// Runs the PlacementEngine under a contract.
class EnginePlacer : public Placer
{
public:
    EnginePlacer(const PlacementOptions &options, const Contract &contract)
        : m_engine(options)
    {
        m_engine.setContracts({contract});
    }

    void updateWorker(const WorkerOffer &offer, TimePoint now) override { m_engine.updateWorker(offer, now); }
    void addPending(const PendingTask &task, TimePoint now) override { m_engine.addPending(task, now); }
    void removePending(const std::string &jobId) override { m_engine.removePending(jobId); }
    void release(const std::string &jobId) override { m_engine.release(jobId); }
    void reportUsage(const UsageSample &sample, TimePoint now) override { m_engine.reportUsage(sample, now); }
    void reportFailure(const std::string &jobId, const std::string &worker, TimePoint now) override { m_engine.reportFailure(jobId, worker, now); }
    void reportSuccess(const std::string &jobId, const std::string &worker, TimePoint now) override { m_engine.reportSuccess(jobId, worker, now); }
    std::vector<PlacementDecision> decide(TimePoint now, std::size_t maximum) override { return m_engine.decide(now, maximum); }

private:
    PlacementEngine m_engine;
};

} // namespace Hyssop::Bench
