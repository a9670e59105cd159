#pragma once

#include <ports/taskid.h>
#include <utils/clock.h>

#include <set>
#include <string>

namespace Hyssop {

/// Quarantines a worker whose runs fail or stall. Holds the state of one worker.
///
/// Load pattern: some workers report themselves healthy but fail or stall everything that they start, and a job fails after
/// a few failed runs of one task. A worker that fails tasks of several jobs in a row is therefore quarantined for a delay
/// that doubles. After it, single tasks are started as probes, whatever else runs on the worker, until one of them shows that
/// the worker is sound. The result of a run from before the quarantine says nothing about the worker after it. Repeated failures
/// of one job say nothing about the worker.
///
/// Jobs that fail wherever they run quarantine sound workers as well. Single tasks may therefore be started as probes during a
/// quarantine too; WorkerRanking tells when. A quarantine that is in force is not extended by a probe that fails.
///
/// A worker that rejects starts gets none for a time that doubles with each rejection in a row up to a bound, and comes after others for
/// some time after that: otherwise a task returns to the first of many such workers before the last has rejected it. One that does not
/// respond to a start comes after others as well: it may answer polls and leave all starts of a task unanswered.
class WorkerHealth
{
public:
    /// Notes that a run of @p task was added, which is a probe after a quarantine, or that it was removed with or without a result.
    void handleRunAdded(const TaskId &task, TimePoint now);
    void handleRunRemoved(const TaskId &task);

    /// Records a failed run of @p task.
    void reportFailure(const TaskId &task, TimePoint now);

    /// Records a run of @p task that made no progress, which quarantines the worker at once.
    void reportStall(const TaskId &task, TimePoint now);

    /// Records a start command that the worker rejected or that could not be sent.
    void reportRejection(TimePoint now);

    /// Records a start command without a response. It may be executed, so other workers are preferred, but this one is not refused.
    void reportUnansweredStart(TimePoint now);

    /// Records a start command that the worker has executed.
    void reportAcceptedStart();

    /// Records a run of @p task that has completed, or serves.
    void reportSuccess(const TaskId &task);

    /// Returns true if another task may be started.
    bool acceptsTask(TimePoint now) const { return !isQuarantined(now) && acceptsProbe(now); }

    /// Returns true if another task may be started as a probe, although the worker may be quarantined.
    bool acceptsProbe(TimePoint now) const;

    /// Returns true if @p task is a probe without a result.
    bool isProbe(const TaskId &task) const { return m_probes.contains(task); }

    /// Returns true if the last significant result was a failure, so that other workers are to be preferred.
    bool isSuspect() const { return m_consecutiveFailures > 0 || m_quarantineCount > 0; }

    /// Returns true if the worker has lately rejected a start, or has not responded to one, and has executed none since, so that other
    /// workers are to be preferred.
    bool hasMissedStartsLately(TimePoint now) const;

    /// Returns how often the worker was quarantined without having proved sound meanwhile.
    int consecutiveQuarantines() const { return m_quarantineCount; }

    /// Returns until when only probes are started, if at all.
    TimePoint quarantinedUntil() const { return m_quarantinedUntil; }

private:
    /// Returns true if the result of a run of @p task says something about the worker: it was started after the last quarantine.
    bool isSignificant(const TaskId &task) const { return m_quarantineCount == 0 || m_probes.contains(task); }

    bool isQuarantined(TimePoint now) const { return now < m_quarantinedUntil; }
    void quarantine(TimePoint now);
    bool hasRejectedLately(TimePoint now) const;

    std::string m_lastFailedJob;
    int m_consecutiveFailures = 0;
    int m_quarantineCount = 0; // consecutive
    std::set<TaskId> m_probes; // open runs that were started after the last quarantine
    TimePoint m_probedAt{}; // when the last probe was started
    TimePoint m_quarantinedUntil{};
    int m_consecutiveRejections = 0;
    TimePoint m_rejectsUntil{}; // no task is started before, after a rejection
    TimePoint m_unresponsiveUntil{}; // other workers are preferred until then, after a start without a response
};

} // namespace Hyssop
