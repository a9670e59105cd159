#include "workerhealth.h"

#include <algorithm>
#include <chrono>

namespace Hyssop {

constexpr int FailuresUntilQuarantine = 2;
constexpr std::chrono::milliseconds InitialQuarantine{3000}; // doubles with each consecutive quarantine
constexpr std::chrono::milliseconds RejectionBackoff{500};
constexpr int MaximumDoublings = 2;

void WorkerHealth::reportFailure(const std::string &jobId, TimePoint now)
{
    if (jobId != m_lastFailedJob) {
        ++m_consecutiveFailures;
        m_lastFailedJob = jobId;
    }
    if (m_probing || m_consecutiveFailures >= FailuresUntilQuarantine) {
        quarantine(now);
    }
}

void WorkerHealth::reportStall(TimePoint now)
{
    quarantine(now);
}

void WorkerHealth::reportRejection(TimePoint now)
{
    m_blockedUntil = std::max(m_blockedUntil, now + RejectionBackoff);
}

void WorkerHealth::reportSuccess()
{
    m_consecutiveFailures = 0;
    m_quarantineCount = 0;
    m_probing = false;
    m_lastFailedJob.clear();
}

bool WorkerHealth::acceptsTask(TimePoint now, std::size_t openRuns) const
{
    if (now < m_blockedUntil) {
        return false;
    }
    return !m_probing || openRuns == 0;
}

void WorkerHealth::quarantine(TimePoint now)
{
    if (now < m_blockedUntil && m_probing) {
        return; // these runs were started before the quarantine
    }
    m_blockedUntil = now + InitialQuarantine * (1 << std::min(m_quarantineCount, MaximumDoublings));
    ++m_quarantineCount;
    m_probing = true;
}

} // namespace Hyssop
