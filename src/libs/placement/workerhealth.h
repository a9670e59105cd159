#pragma once

#include <utils/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hyssop::Internal {

/// Distinguishes workers on which every job fails from jobs that fail on every worker.
///
/// A worker is quarantined after three consecutive failures of distinct jobs. Failures of a job that failed on another worker
/// before are not counted, because the job may be the cause. After the quarantine, one batch task at a time probes the worker.
/// A failed probe starts another quarantine of twice the length. At most a fifth of the workers are quarantined at a time.
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

    /// Adds failures that were reported to previous owners.
    void addFailedWorkers(const std::string &jobId, const std::vector<std::string> &workers);

    State state(std::uint32_t worker) const;

    /// Returns true if @p worker is in state Probing and no probe task runs.
    bool awaitsProbe(std::uint32_t worker) const;
    void startProbe(std::uint32_t worker, const std::string &jobId);
    /// Ends a probe without a result, for example because the task was cancelled. The next task is the next probe.
    void cancelProbe(std::uint32_t worker, const std::string &jobId);

    /// Ends all quarantines that have expired and returns their workers, which may be probed now.
    std::vector<std::uint32_t> endDueQuarantines(TimePoint now);

    /// Returns the names of the workers on which the job failed, or a null pointer if there are none.
    const std::vector<std::string> *failedWorkers(const std::string &jobId) const;

    /// Returns on how many workers the job failed, not counting workers that are quarantined or probed.
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

    std::unordered_map<std::uint32_t, Record> m_records; // only of workers with failures
    std::unordered_map<std::string, std::vector<std::string>> m_failedWorkers; // by job
    std::multimap<TimePoint, std::uint32_t> m_quarantineEnds;
};

} // namespace Hyssop::Internal
