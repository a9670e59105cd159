#include "workerstate.h"

namespace Hyssop {

// Mean share of its declared processor time that a best-effort task uses.
constexpr double BestEffortUse = 0.85;
// A worker lists at most this many ends. If it lists as many, it may have others.
constexpr std::size_t MaximumListedEnds = 500;
// With so many ends that are not acknowledged, a worker gets no more runs: it must be able to list the ends of those it has.
constexpr std::int64_t MaximumUnacknowledgedEnds = 300;

void WorkerState::addRun(const TaskId &task, const RunProfile &profile, TimePoint now)
{
    removeRun(task);
    runs.emplace(task, profile);
    health.handleRunAdded(task, now);
    committed += profile.reserved;
    bestEffortCommitted += profile.bestEffortMilliCores;
    servingCommitted += profile.servingMilliCores;
    urgentRuns += profile.isUrgent ? 1 : 0;
    servingMemoryBytes += profile.servingMilliCores > 0 ? profile.reserved.memoryBytes : 0;
    if (profile.tailTargetMs > 0) {
        ++servingRunsByImage[profile.image];
    }
    forecast.at = TimePoint();
}

void WorkerState::removeRun(const TaskId &task)
{
    const auto run = runs.find(task);
    if (run == runs.end()) {
        return;
    }
    committed -= run->second.reserved;
    bestEffortCommitted -= run->second.bestEffortMilliCores;
    servingCommitted -= run->second.servingMilliCores;
    urgentRuns -= run->second.isUrgent ? 1 : 0;
    servingMemoryBytes -= run->second.servingMilliCores > 0 ? run->second.reserved.memoryBytes : 0;
    const auto sameImage = run->second.tailTargetMs > 0 ? servingRunsByImage.find(run->second.image) : servingRunsByImage.end();
    if (sameImage != servingRunsByImage.end() && --sameImage->second == 0) {
        servingRunsByImage.erase(sameImage);
    }
    runs.erase(run);
    ++roomVersion;
    health.handleRunRemoved(task);
    forecast.at = TimePoint();
}

bool WorkerState::isSchedulable(const std::set<std::string> &evacuatedDomains) const
{
    const bool canListMoreEnds = processedEndSequence - acknowledgedEndSequence < MaximumUnacknowledgedEnds;
    return registered && !info.draining && clock && failedPolls == 0 && canListMoreEnds && !isLeaseWithheld && !evacuatedDomains.contains(info.failureDomain);
}

bool WorkerState::listsAllEnds() const
{
    return listedEnds < MaximumListedEnds;
}

bool WorkerState::isLateReport(std::chrono::milliseconds reportedProcessStart, TimePoint sentAt) const
{
    // A poll that was sent later reaches a later process, even if its machine has set its clock back.
    const bool isKnown = reportedProcessStart.count() != 0 && endedProcessStartedAt.count() != 0;
    return isKnown && reportedProcessStart <= endedProcessStartedAt && sentAt < processEndKnownAt;
}

bool WorkerState::isOvertakenReport(const WorkerReport &report, TimePoint sentAt) const
{
    if (!clock || sentAt >= clock->receivedAt) {
        return false;
    }
    const bool isKnown = report.processStartedAt.count() != 0 && processStartedAt.count() != 0;
    // The times at which processes have started don't tell their order: the time of day may have been set back meanwhile.
    const bool isOtherProcess = isKnown && report.processStartedAt != processStartedAt;
    return isOtherProcess || report.clock <= clock->reading;
}

std::optional<std::chrono::milliseconds> WorkerState::sinceReport(TimePoint now) const
{
    if (!hasAnswered) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - lastReportAt);
}

std::int64_t WorkerState::expectedIdleMilliCores(const ServingForecast &next) const
{
    const std::int64_t reserved = committed.milliCores - servingCommitted;
    const auto bestEffort = static_cast<std::int64_t>(static_cast<double>(bestEffortCommitted - next.endingMilliCores) * BestEffortUse);
    return info.capacity.milliCores - reserved - next.milliCores - bestEffort;
}

} // namespace Hyssop
