#pragma once

#include <utils/clock.h>

#include <string>

namespace Hyssop {

/// Decides whether a worker may be given work, from how its runs end.
///
/// Load pattern: some workers report themselves healthy and fail or stall everything that they start. Each failure costs
/// a task one of its few attempts, so a worker that fails tasks of several jobs in a row gets none for a while, and then a
/// single one as a test.
class WorkerQuarantine
{
public:
    /// A run of a task of @p jobId failed.
    void recordFailure(const std::string &jobId, TimePoint now);

    /// A run made no progress.
    void recordStall(TimePoint now);

    /// The worker refused an order, or didn't answer one.
    void recordRejection(TimePoint now);

    /// A run ended well.
    void recordSuccess();

    /// Returns true if the worker may get another task while @p openRuns are there.
    bool acceptsTask(TimePoint now, std::size_t openRuns) const;

    bool isProbing() const { return m_probing; }

private:
    void quarantine(TimePoint now);

    std::string m_lastFailedJob;
    int m_consecutiveFailedJobs = 0;
    int m_quarantines = 0; // in a row
    bool m_probing = false;
    TimePoint m_blockedUntil{};
};

} // namespace Hyssop
