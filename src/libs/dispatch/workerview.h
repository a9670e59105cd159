#pragma once

#include "servingoutlook.h"
#include "workerclock.h"
#include "workertrust.h"

#include <ports/taskid.h>
#include <ports/workerinfo.h>
#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssop {

/// What a run on a worker uses.
struct RunUse
{
    int run = 0;
    Resources counted; // against the worker's capacity
    std::int64_t idleMilliCores = 0; // of what other tasks leave idle
    std::int64_t servingMilliCores = 0; // part of counted that a serving task rarely uses in full
    std::uint32_t image = 0; // number of the image in the sharing rule
    std::int64_t tailTargetMs = 0; // target of a serving task's tail; 0: none
    double unexplained = 0; // part of a serving task's utilization that its load and neighbours do not explain
    bool fillsIdle = false;
    TimePoint expectedEnd{}; // of a filling run; none: not known
};

/// The owner's view of one worker.
struct WorkerView
{
    WorkerInfo info;
    bool listed = false; // registered with the platform at present
    std::optional<WorkerClock> clock;
    std::chrono::milliseconds processStartedAt{0}; // 0: not known
    int suspectedLives = 0; // lives in this term after the first one, known or suspected
    WorkerTrust trust;

    bool pollOpen = false;
    TimePoint nextPoll{};
    TimePoint lastContact{}; // when the newest answered call was sent
    bool reached = false; // has answered a poll of this owner
    int failedPolls = 0; // in a row
    TimePoint leaseEnd{}; // all runs have ended by then unless the lease is renewed

    std::int64_t seenEnd = 0; // number of the newest end that was processed
    std::int64_t durableEnd = 0; // all ends up to this number are durable

    std::map<TaskId, RunUse> runs; // open runs
    Resources committed; // counted resources of the open runs
    std::int64_t idleCommitted = 0;
    std::int64_t servingCommitted = 0;
    std::map<TaskId, TimePoint> strayStops; // when a run that is not ours was last told to stop

    struct EndedFiller
    {
        RunUse use;
        double load = 0; // as listed, thousandths of a core
        int pacePercent = 100;
        TimePoint endedAt{};
    };
    std::vector<EndedFiller> endedFillers; // that ended within the time of reported tails

    std::optional<TimePoint> overTargetSince; // a serving task has been over its target in each listing since then
    TimePoint paceChangedAt{}; // when the pace of a filling run here was last changed
    ServingOutlook outlook;

    /// Commits and releases what a run uses.
    void addRun(const TaskId &task, const RunUse &use);
    void removeRun(const TaskId &task);

    /// Returns true if the worker is registered, answers, stays, and lies in no evacuated failure domain.
    bool takesWork(const std::set<std::string> &evacuatedDomains) const;

    /// Capacity that no open run counts against.
    Resources freeCapacity() const { return info.capacity - committed; }

    /// Thousandths of a core that all tasks are expected to leave idle with what @p next tells; may be negative.
    std::int64_t expectedIdle(const ServingOutlook &next) const;
};

} // namespace Hyssop
