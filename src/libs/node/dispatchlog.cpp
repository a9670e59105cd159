#include "dispatchlog.h"

#include "ownerlog.h"

#include <algorithm>
#include <initializer_list>
#include <string>
#include <variant>

namespace Hyssop {

namespace Internal {

/// Returns @p parts, joined by hyphens instead of spaces.
static std::string combinedName(std::initializer_list<std::string> parts)
{
    std::string name;
    for (const std::string &part : parts) {
        name += (name.empty() ? "" : "-") + part;
    }
    std::ranges::replace(name, ' ', '-');
    return name;
}

} // namespace Internal

template<typename Command>
void DispatchLog::writeResult(const std::string &combinedName, const Command &command, const CommandResult &result, TimePoint now)
{
    if (isRoutine(command, result)) {
        m_runs.other(combinedName, command.task, command.run, command.worker.id, now);
    } else if (m_runs.takesOwnLine(now)) {
        logResult(command, result);
    } else {
        m_runs.exceptional(combinedName, command.task, command.run, command.worker.id, now);
    }
}

void DispatchLog::write(const StartCommand &command, const CommandResult &result, TimePoint sentAt, TimePoint now)
{
    if (!std::holds_alternative<CommandExecuted>(result)) {
        writeResult(Internal::combinedName({"start", resultName(result)}), command, result, now);
    } else if (!isRoutine(command, result) && m_runs.takesOwnLine(now)) {
        logResult(command, result);
    } else {
        m_runs.started(command, sentAt, now);
    }
}

void DispatchLog::write(const StopCommand &command, const CommandResult &result, TimePoint now)
{
    writeResult(Internal::combinedName({"stop", resultName(result), stopReasonName(command.reason)}), command, result, now);
}

void DispatchLog::write(const ThrottleCommand &command, const CommandResult &result, TimePoint)
{
    logResult(command, result);
}

void DispatchLog::write(const RunEnded &end, TimePoint now)
{
    if (isRoutine(end)) {
        m_runs.completed(end, now);
    } else if (m_runs.takesOwnLine(now)) {
        logAction(end);
    } else {
        m_runs.exceptional(Internal::combinedName({"run", endReasonName(end.endReason), evidenceName(end.evidence)}), end.task, end.run, end.worker, now);
    }
}

void DispatchLog::write(const JobEnded &end, TimePoint now)
{
    m_runs.writeJob(end.jobId, now);
    logAction(end);
}

void DispatchLog::write(const StartWithdrawn &start, TimePoint now)
{
    m_runs.withdrawn(start, now);
}

void DispatchLog::write(const LateEndIgnored &end, TimePoint)
{
    logAction(end);
}

void DispatchLog::write(const StartsWithheld &withheld, TimePoint)
{
    logAction(withheld);
}

void DispatchLog::write(const StartsResumed &resumed, TimePoint)
{
    logAction(resumed);
}

void DispatchLog::write(const OverdueStep &overdue, TimePoint)
{
    logAction(overdue);
}

void DispatchLog::write(const WorkerEvent &event, TimePoint now)
{
    m_workers.add(event, now);
}

void DispatchLog::writeDue(TimePoint now)
{
    m_runs.writeDue(now);
    m_workers.writeDue(now);
}

void DispatchLog::writeRemaining(TimePoint now)
{
    m_runs.writeRemaining(now);
    m_workers.writeAll(now);
}

void DispatchLog::writeAll(TimePoint now)
{
    m_runs.writeAll(now);
    m_workers.writeAll(now);
}

} // namespace Hyssop
