#pragma once

#include <utils/clock.h>

#include <string>

namespace Hyssop {

/// Decides whether a worker may be given work, from how its runs end.
///
/// Load pattern: some workers report themselves healthy and fail or stall everything that they start. Each failure costs
/// a task one of its few attempts, so a worker that fails tasks of several jobs in a row gets none for a while, and then a
/// single one as a test.
class WorkerTrust
{
public:
    /// A run of a task of @p jobId failed.
    void noteFailure(const std::string &jobId, TimePoint now);

    /// A run made no progress.
    void noteStall(TimePoint now);

    /// The worker refused an order, or didn't answer one.
    void noteRefusal(TimePoint now);

    /// A run ended well.
    void noteSuccess();

    /// Returns true if the worker may get another task while @p openRuns are there.
    bool accepts(TimePoint now, std::size_t openRuns) const;

    bool isOnProbation() const { return m_probation; }

private:
    void quarantine(TimePoint now);

    std::string m_lastFailedJob;
    int m_failedJobsInRow = 0;
    int m_quarantines = 0; // in a row
    bool m_probation = false;
    TimePoint m_closedUntil{};
};

} // namespace Hyssop
