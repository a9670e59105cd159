#pragma once

#include <utils/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hyssop::Internal {

/// Tells workers that fail everything from jobs that fail everywhere.
///
/// A worker is quarantined after the first failures of three distinct jobs in a row. A job that failed elsewhere
/// before says nothing about the worker and is not counted. The quarantine ends after a delay that doubles with each
/// failed probe; then one batch task at a time probes the worker. At most a fifth of the workers is quarantined.
class WorkerHealth
{
public:
    enum class State : std::uint8_t {
        Healthy,
        Quarantined,
        Probing,
    };

    void reportFailure(const std::string &jobId, std::uint32_t worker, const std::string &workerName, std::size_t workerCount, TimePoint now);
    void reportSuccess(const std::string &jobId, std::uint32_t worker);
    void forgetWorker(std::uint32_t worker);
    void forgetJob(const std::string &jobId);

    /// Adds failures from before a change of owner.
    void addFailedWorkers(const std::string &jobId, const std::vector<std::string> &workers);

    State state(std::uint32_t worker) const;

    /// Returns true if @p worker is being probed and no probe task runs.
    bool awaitsProbe(std::uint32_t worker) const;
    void startProbe(std::uint32_t worker, const std::string &jobId);
    /// Ends a probe without a verdict, for example because the task was cancelled.
    void cancelProbe(std::uint32_t worker, const std::string &jobId);

    /// Ends quarantines that are due; returns the workers that may be probed now.
    std::vector<std::uint32_t> endDueQuarantines(TimePoint now);

    /// Returns names of the workers on which the job failed, or a null pointer.
    const std::vector<std::string> *failedWorkers(const std::string &jobId) const;

    /// Returns how many distinct workers, without those under quarantine, failed the job.
    std::size_t distinctFailures(const std::string &jobId) const;

private:
    struct Record
    {
        State state = State::Healthy;
        int consecutiveFailures = 0;
        int quarantineCount = 0;
        TimePoint quarantinedUntil{};
        std::string lastFailedJob;
        std::string name;
        std::string probeJob;
    };

    void quarantine(std::uint32_t worker, Record &record, TimePoint now);

    std::unordered_map<std::uint32_t, Record> m_records; // workers with failures only
    std::unordered_map<std::string, std::vector<std::string>> m_failedWorkers; // by job
    std::multimap<TimePoint, std::uint32_t> m_quarantineEnds;
};

} // namespace Hyssop::Internal
