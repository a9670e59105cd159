#include "dispatchlog.h"

#include "ownerlog.h"

#include <string>

namespace Hyssop {

template<typename Command>
void DispatchLog::writeResult(const char *name, const Command &command, const CommandResult &result, TimePoint now)
{
    const std::string combinedName = std::string(name) + "-" + resultName(result);
    if (isRoutine(command, result)) {
        m_runs.other(combinedName, command.task, command.run, command.worker.id, now);
    } else if (command.isServing || m_runs.takesOwnLine(now)) {
        logResult(command, result);
    } else {
        m_runs.exceptional(combinedName, command.task, command.run, command.worker.id, now);
    }
}

void DispatchLog::write(const StartCommand &command, const CommandResult &result, TimePoint now)
{
    if (isRoutine(command, result)) {
        m_runs.started(command, now);
    } else {
        writeResult("start", command, result, now);
    }
}

void DispatchLog::write(const StopCommand &command, const CommandResult &result, TimePoint now)
{
    writeResult("stop", command, result, now);
}

void DispatchLog::write(const ThrottleCommand &command, const CommandResult &result, TimePoint)
{
    logResult(command, result);
}

void DispatchLog::write(const RunEnded &end, TimePoint now)
{
    if (isRoutine(end)) {
        m_runs.completed(end, now);
    } else if (end.isServing || m_runs.takesOwnLine(now)) {
        logAction(end);
    } else {
        m_runs.exceptional(std::string("run-") + endReasonName(end.endReason), end.task, end.run, end.worker, now);
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

void DispatchLog::write(const WorkerEvent &event, TimePoint)
{
    std::visit([](const auto &change) { logAction(change); }, event);
}

void DispatchLog::writeDue(TimePoint now)
{
    m_runs.writeDue(now);
}

void DispatchLog::writeAll(TimePoint now)
{
    m_runs.writeAll(now);
}

} // namespace Hyssop
