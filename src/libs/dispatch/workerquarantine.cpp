#include "workerquarantine.h"

#include <algorithm>
#include <chrono>

namespace Hyssop {

constexpr int FailedJobsForQuarantine = 2;
constexpr std::chrono::milliseconds InitialQuarantine{3000}; // doubles with each consecutive quarantine
constexpr std::chrono::milliseconds RejectionBackoff{500};
constexpr int MaximumDoublings = 2;

void WorkerQuarantine::recordFailure(const std::string &jobId, TimePoint now)
{
    if (jobId != m_lastFailedJob) {
        ++m_consecutiveFailedJobs;
        m_lastFailedJob = jobId;
    }
    if (m_probing || m_consecutiveFailedJobs >= FailedJobsForQuarantine) {
        quarantine(now);
    }
}

void WorkerQuarantine::recordStall(TimePoint now)
{
    quarantine(now);
}

void WorkerQuarantine::recordRejection(TimePoint now)
{
    m_blockedUntil = std::max(m_blockedUntil, now + RejectionBackoff);
}

void WorkerQuarantine::recordSuccess()
{
    m_consecutiveFailedJobs = 0;
    m_quarantines = 0;
    m_probing = false;
    m_lastFailedJob.clear();
}

bool WorkerQuarantine::acceptsTask(TimePoint now, std::size_t openRuns) const
{
    if (now < m_blockedUntil) {
        return false;
    }
    return !m_probing || openRuns == 0;
}

void WorkerQuarantine::quarantine(TimePoint now)
{
    if (now < m_blockedUntil && m_probing) {
        return; // these runs were started before the quarantine
    }
    m_blockedUntil = now + InitialQuarantine * (1 << std::min(m_quarantines, MaximumDoublings));
    ++m_quarantines;
    m_probing = true;
}

} // namespace Hyssop
