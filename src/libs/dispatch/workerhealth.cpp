#include "workerhealth.h"

#include <algorithm>
#include <chrono>

namespace Hyssop {

constexpr int FailuresUntilQuarantine = 2;
constexpr std::chrono::milliseconds InitialQuarantine{3000}; // doubles with each consecutive quarantine
constexpr std::chrono::milliseconds InitialRejectionBackoff{500}; // doubles with each consecutive rejection
// Jobs may wait for 3 s on an idle pool, also if all its workers have rejected starts for some time.
constexpr std::chrono::milliseconds MaximumRejectionBackoff{2000};
// A worker without a further rejection for this long after its backoff is as good as others. The same after a start without a response.
constexpr std::chrono::milliseconds RejectionMemory{5000};
constexpr int MaximumDoublings = 1;
// A probe that takes longer than this does not delay the next one.
constexpr std::chrono::milliseconds ProbeInterval{300};

void WorkerHealth::handleRunAdded(const TaskId &task, TimePoint now)
{
    if (m_quarantineCount > 0) {
        m_probes.insert(task);
        m_probedAt = now;
    }
}

void WorkerHealth::handleRunRemoved(const TaskId &task)
{
    m_probes.erase(task);
}

void WorkerHealth::reportFailure(const TaskId &task, TimePoint now)
{
    if (!isSignificant(task)) {
        return;
    }
    if (task.job != m_lastFailedJob) {
        ++m_consecutiveFailures;
        m_lastFailedJob = task.job;
    }
    const bool isDoubtful = m_quarantineCount > 0 || m_consecutiveFailures >= FailuresUntilQuarantine;
    if (isDoubtful && !isQuarantined(now)) {
        quarantine(now);
    }
}

void WorkerHealth::reportStall(const TaskId &task, TimePoint now)
{
    if (isSignificant(task)) {
        quarantine(now);
    }
}

void WorkerHealth::reportRejection(TimePoint now)
{
    if (now < m_rejectsUntil) {
        return; // the commands were sent together
    }
    if (!hasRejectedLately(now)) {
        m_consecutiveRejections = 0;
    }
    Duration backoff = InitialRejectionBackoff;
    for (int rejection = 0; rejection < m_consecutiveRejections && backoff < MaximumRejectionBackoff; ++rejection) {
        backoff *= 2;
    }
    ++m_consecutiveRejections;
    m_rejectsUntil = now + std::min(backoff, Duration(MaximumRejectionBackoff));
}

void WorkerHealth::reportUnansweredStart(TimePoint now)
{
    m_unresponsiveUntil = now + RejectionMemory;
}

void WorkerHealth::reportAcceptedStart()
{
    m_consecutiveRejections = 0;
    m_unresponsiveUntil = TimePoint();
}

bool WorkerHealth::hasMissedStartsLately(TimePoint now) const
{
    return hasRejectedLately(now) || now < m_unresponsiveUntil;
}

bool WorkerHealth::hasRejectedLately(TimePoint now) const
{
    return m_consecutiveRejections > 0 && now < m_rejectsUntil + RejectionMemory;
}

void WorkerHealth::reportSuccess(const TaskId &task)
{
    if (!isSignificant(task)) {
        return;
    }
    m_consecutiveFailures = 0;
    m_quarantineCount = 0;
    m_quarantinedUntil = TimePoint();
    m_probes.clear();
    m_lastFailedJob.clear();
}

bool WorkerHealth::acceptsProbe(TimePoint now) const
{
    return now >= m_rejectsUntil && (m_probes.empty() || now - m_probedAt >= ProbeInterval);
}

void WorkerHealth::quarantine(TimePoint now)
{
    m_quarantinedUntil = now + InitialQuarantine * (1 << std::min(m_quarantineCount, MaximumDoublings));
    ++m_quarantineCount;
    m_probes.clear();
}

} // namespace Hyssop
