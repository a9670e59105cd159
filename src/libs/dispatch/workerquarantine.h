#pragma once

#include <utils/clock.h>

#include <string>

namespace Hyssop {

/// Quarantines a worker whose runs fail or stall.
///
/// Load pattern: some workers report themselves healthy but fail or stall everything that they start. Each failure costs a
/// task one of its few attempts. A worker that fails tasks of several jobs in a row is therefore quarantined for a delay
/// that doubles, and is then probed with a single task. Repeated failures of one job say nothing about the worker.
class WorkerQuarantine
{
public:
    /// Records a failed run of a task of @p jobId.
    void recordFailure(const std::string &jobId, TimePoint now);

    /// Records a run that made no progress, which quarantines the worker at once.
    void recordStall(TimePoint now);

    /// Records a start command that the worker rejected or that could not be sent; nothing is started for a short time.
    void recordRejection(TimePoint now);

    /// Records a completed run: the worker is no longer probed, and the next quarantine is short again.
    void recordSuccess();

    /// Returns true if another task may be started beside @p openRuns open runs.
    bool acceptsTask(TimePoint now, std::size_t openRuns) const;

    bool isProbing() const { return m_probing; }

private:
    void quarantine(TimePoint now);

    std::string m_lastFailedJob;
    int m_consecutiveFailedJobs = 0;
    int m_quarantines = 0; // consecutive
    bool m_probing = false;
    TimePoint m_blockedUntil{};
};

} // namespace Hyssop
