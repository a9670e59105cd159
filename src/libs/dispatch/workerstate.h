#pragma once

#include "roomreservation.h"
#include "servingforecast.h"
#include "workerclock.h"
#include "workerhealth.h"
#include "workerpolls.h"

#include <ports/commandresults.h>
#include <ports/taskid.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

/// Resources and interference properties of a run.
struct RunProfile
{
    int run = 0;
    Resources reserved; // counted against the worker's capacity
    std::int64_t bestEffortMilliCores = 0; // processor time used of what other tasks leave idle
    std::int64_t servingMilliCores = 0; // part of reserved that a serving task rarely uses in full
    std::uint32_t image = 0; // id of the image in ColocationPolicy
    std::int64_t tailTargetMs = 0; // tail latency target of a serving task; 0: none
    double residualUtilization = 0; // part of a serving task's utilization that the model does not explain
    bool isBestEffort = false; // fillsIdle of the step
    bool isUrgent = false; // reserves capacity until its task has completed
    TimePoint expectedEnd{}; // of a best-effort or urgent run; default: unknown
    std::uint64_t listedIn = 0; // number of the newest report of the worker that lists the task
};

/// What the owner knows about a worker.
struct WorkerState
{
    WorkerInfo info;
    bool registered = false; // currently registered with the platform
    std::optional<WorkerClock> clock;
    std::chrono::milliseconds processStartedAt{0}; // 0: unknown
    std::chrono::milliseconds endedProcessStartedAt{0}; // start of the newest process that is known to have ended; 0: none
    TimePoint processEndKnownAt{}; // since when it is known
    int endedProcesses = 0; // processes of this worker that are known to have ended in this term
    std::int64_t tokenRises = 0; // how often the fencing token for this worker has risen in this term
    WorkerHealth health;

    WorkerPolls polls;
    TimePoint nextPoll{}; // when the next regular poll is due
    TimePoint lastReportAt{}; // when the last report was received
    TimePoint previousReportAt{}; // the same of the one before
    bool hasAnswered = false; // a poll of this owner was answered
    std::string reportedAddress; // where the last report came from; empty: no report
    int failedPolls = 0; // consecutive
    bool toldRegistered = false; // as in the last log event
    bool toldDraining = false;
    int toldQuarantines = 0;
    bool refusesConnections = false; // a poll since the last report was refused; its process may have ended
    std::optional<TimePoint> missingSince; // since then not responding, and not registered or refusing connections
    bool isLeaseWithheld = false; // the next owner may assume that this one has granted no lease
    TimePoint leaseEnd{}; // unless the lease is renewed, all runs have ended by then
    std::optional<TimePoint> polledLeaseEnd; // of the lease that the unanswered poll grants, if it grants one

    std::int64_t processedEndSequence = 0; // sequence number of the newest run end that was processed
    std::int64_t durableEndSequence = 0; // all run ends up to this sequence number are durable
    std::int64_t acknowledgedEndSequence = 0; // the process has answered a poll that acknowledged the ends up to this one
    int pendingStarts = 0; // start commands that are not answered, also of runs that have ended meanwhile
    bool acknowledgementPending = false; // a poll that acknowledges ends was sent after the last start command, and may yet be executed
    bool hasConfirmedStops = false; // some open runs may have a confirmed stop
    std::size_t listedEnds = 0; // in the last report
    std::uint64_t reports = 0; // processed reports

    std::map<TaskId, RunProfile> runs; // open runs
    Resources committed; // reserved resources of the open runs
    std::int64_t bestEffortCommitted = 0;
    std::int64_t servingCommitted = 0;
    int urgentRuns = 0; // open runs that are neither best-effort nor serving
    std::int64_t servingMemoryBytes = 0; // part of committed
    std::optional<RoomReservation> reservation; // for tasks that found no room
    std::map<std::uint32_t, int> servingRunsByImage; // number of open runs with a tail latency target
    std::uint64_t roomVersion = 0; // rises when the worker may have gained room
    std::uint64_t examinedRoomVersion = 0; // as of the last placement pass in which the worker was selectable
    std::uint64_t selectableInPass = 0; // number of that pass
    std::map<TaskId, TimePoint> orphanStops; // when an orphaned run was last told to stop

    struct EndedBestEffortRun
    {
        RunProfile profile;
        double load = 0; // last reported use in thousandths of a core
        int speedPercent = 100;
        TimePoint endedAt{};
    };
    std::vector<EndedBestEffortRun> endedBestEffortRuns; // that ended within the time that reported tail latencies cover

    std::optional<TimePoint> overTargetSince; // in each report since then a serving task exceeded its target
    TimePoint speedChangedAt{}; // when a best-effort run was last throttled or unthrottled
    ServingForecast forecast;

    /// Adds or removes an open run with the resources that it commits.
    void addRun(const TaskId &task, const RunProfile &profile, TimePoint now);
    void removeRun(const TaskId &task);

    /// Returns true if the worker has reported to this owner, and no regular poll has failed since.
    bool isResponding() const { return hasAnswered && failedPolls == 0; }

    /// Returns true if the worker is registered, answers, can list more ends, may get a lease, is not draining, and its failure domain is not evacuated.
    bool isSchedulable(const std::set<std::string> &evacuatedDomains) const;

    /// Returns true if a regular poll has failed since the last report.
    bool isUnreachable() const { return failedPolls > 0; }

    /// Returns true if the process may still list ends that are durable.
    bool hasEndsToAcknowledge() const { return durableEndSequence > acknowledgedEndSequence; }

    /// Returns true if the last report contained all ends that are not acknowledged.
    bool listsAllEnds() const;

    /// Returns true if a report on a poll sent at @p sentAt may come from a process that has ended, and not from the current one.
    bool isLateReport(std::chrono::milliseconds reportedProcessStart, TimePoint sentAt) const;

    /// Returns true if @p report on a poll sent at @p sentAt may have been overtaken by the last one. The order is certain only if the poll
    /// was sent after the last report was received, or if the clock of the same process has advanced.
    bool isOvertakenReport(const WorkerReport &report, TimePoint sentAt) const;

    /// Returns the time since the last report, if there was one in this term.
    std::optional<std::chrono::milliseconds> sinceReport(TimePoint now) const;

    /// Returns true if an open run has reserved capacity until its task has completed.
    bool hasUrgentRuns() const { return urgentRuns > 0; }

    /// Returns the capacity that no open run has reserved.
    Resources freeCapacity() const { return info.capacity - committed; }

    /// Returns the thousandths of a core that all tasks are expected to leave idle under @p next; may be negative.
    std::int64_t expectedIdleMilliCores(const ServingForecast &next) const;
};

} // namespace Hyssop
