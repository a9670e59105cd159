#pragma once

#include "runlog.h"
#include "workerevent.h"

#include <dispatch/dispatchactions.h>

namespace Hyssop {

/// Writes the log lines about the events of the dispatcher and the results of its commands, and decides which of them are combined.
class DispatchLog
{
public:
    /// Takes the result of a command.
    void write(const StartCommand &command, const CommandResult &result, TimePoint now);
    void write(const StopCommand &command, const CommandResult &result, TimePoint now);
    void write(const ThrottleCommand &command, const CommandResult &result, TimePoint now);

    /// Takes an event.
    void write(const RunEnded &end, TimePoint now);
    void write(const JobEnded &end, TimePoint now);
    void write(const StartWithdrawn &start, TimePoint now);
    void write(const LateEndIgnored &end, TimePoint now);
    void write(const StartsWithheld &withheld, TimePoint now);
    void write(const StartsResumed &resumed, TimePoint now);
    void write(const WorkerEvent &event, TimePoint now);

    /// Writes the lines that are due. Must be called regularly.
    void writeDue(TimePoint now);

    /// Writes all lines.
    void writeAll(TimePoint now);

private:
    template<typename Command>
    void writeResult(const char *name, const Command &command, const CommandResult &result, TimePoint now);

    RunLog m_runs;
};

} // namespace Hyssop
