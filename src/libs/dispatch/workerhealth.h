#pragma once

#include <utils/clock.h>

#include <string>

namespace Hyssop {

/// Quarantines a worker whose runs fail or stall. Holds the state of one worker.
///
/// Load pattern: some workers report themselves healthy but fail or stall everything that they start, and a job fails after
/// a few failed runs of one task. A worker that fails tasks of several jobs in a row is therefore quarantined for a delay
/// that doubles, and is then probed with a single task. Repeated failures of one job say nothing about the worker.
class WorkerHealth
{
public:
    /// Records a failed run of a task of @p jobId.
    void reportFailure(const std::string &jobId, TimePoint now);

    /// Records a run that made no progress, which quarantines the worker at once.
    void reportStall(TimePoint now);

    /// Records a start command that the worker rejected or that could not be sent; nothing is started for a short time.
    void reportRejection(TimePoint now);

    /// Records a completed run: the worker is no longer probed, and the next quarantine is short again.
    void reportSuccess();

    /// Returns true if another task may be started beside @p openRuns open runs.
    bool acceptsTask(TimePoint now, std::size_t openRuns) const;

    /// Returns how often the worker was quarantined without having proved sound meanwhile.
    int consecutiveQuarantines() const { return m_quarantineCount; }

    /// Returns until when no task is started.
    TimePoint blockedUntil() const { return m_blockedUntil; }

private:
    void quarantine(TimePoint now);

    std::string m_lastFailedJob;
    int m_consecutiveFailures = 0;
    int m_quarantineCount = 0; // consecutive
    bool m_probing = false;
    TimePoint m_blockedUntil{};
};

} // namespace Hyssop
