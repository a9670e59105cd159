#pragma once

#include "runlog.h"
#include "workereventlog.h"

#include <dispatch/dispatchactions.h>

namespace Hyssop {

/// Writes the log lines about the events of the dispatcher and the results of its commands, and decides which of them are combined.
class DispatchLog
{
public:
    /// Takes the result of a command; a start command was sent at @p sentAt.
    void write(const StartCommand &command, const CommandResult &result, TimePoint sentAt, TimePoint now);
    void write(const StopCommand &command, const CommandResult &result, TimePoint now);
    void write(const ThrottleCommand &command, const CommandResult &result, TimePoint now);

    /// Takes an event.
    void write(const RunEnded &end, TimePoint now);
    void write(const JobEnded &end, TimePoint now);
    void write(const StartWithdrawn &start, TimePoint now);
    void write(const LateEndIgnored &end, TimePoint now);
    void write(const StartsWithheld &withheld, TimePoint now);
    void write(const StartsResumed &resumed, TimePoint now);
    void write(const OverdueStep &overdue, TimePoint now);
    void write(const WorkerEvent &event, TimePoint now);

    /// Writes the lines that are due. Must be called regularly.
    void writeDue(TimePoint now);

    /// Writes the lines about workers, and those about runs at a bounded rate, due or not. Must be called at the end of the
    /// ownership, and regularly afterwards.
    void writeRemaining(TimePoint now);

    /// Writes all lines.
    void writeAll(TimePoint now);

private:
    /// @p combinedName is what the result is called in a combined line.
    template<typename Command>
    void writeResult(const std::string &combinedName, const Command &command, const CommandResult &result, TimePoint now);

    RunLog m_runs;
    WorkerEventLog m_workers;
};

} // namespace Hyssop
