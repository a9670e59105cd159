#include "workertrust.h"

#include <algorithm>
#include <chrono>

namespace Hyssop {

constexpr int FailedJobsForQuarantine = 2;
constexpr std::chrono::milliseconds FirstQuarantine{3000};
constexpr std::chrono::milliseconds RefusalPause{500};
constexpr int LongestDoubling = 2;

void WorkerTrust::noteFailure(const std::string &jobId, TimePoint now)
{
    if (jobId != m_lastFailedJob) {
        ++m_failedJobsInRow;
        m_lastFailedJob = jobId;
    }
    if (m_probation || m_failedJobsInRow >= FailedJobsForQuarantine) {
        quarantine(now);
    }
}

void WorkerTrust::noteStall(TimePoint now)
{
    quarantine(now);
}

void WorkerTrust::noteRefusal(TimePoint now)
{
    m_closedUntil = std::max(m_closedUntil, now + RefusalPause);
}

void WorkerTrust::noteSuccess()
{
    m_failedJobsInRow = 0;
    m_quarantines = 0;
    m_probation = false;
    m_lastFailedJob.clear();
}

bool WorkerTrust::accepts(TimePoint now, std::size_t openRuns) const
{
    if (now < m_closedUntil) {
        return false;
    }
    return !m_probation || openRuns == 0;
}

void WorkerTrust::quarantine(TimePoint now)
{
    if (now < m_closedUntil && m_probation) {
        return; // ends of runs that began before the quarantine
    }
    m_closedUntil = now + FirstQuarantine * (1 << std::min(m_quarantines, LongestDoubling));
    ++m_quarantines;
    m_probation = true;
}

} // namespace Hyssop
