#pragma once

#include <string>
#include <vector>

namespace Hyssop::Testing {

/// Result of one scenario file.
struct ScenarioResult
{
    std::vector<std::string> trace;
    std::vector<std::string> faults; // invalid lines, failed expectations, violations of P1 to P4
};

/// Runs a scenario, one command a line:
///
///     world [domains=A,B] [schedulers=N] [workers=N] [grace=SECONDS] [seed=N]   first line
///     advance SECONDS
///     submit DOMAIN JOB [seconds=N] [cores=N] [checkpoint=no]
///     cancel DOMAIN JOB
///     contract CUSTOMER SERVICE replicas=N [single_copy=yes]
///     domain DOMAIN in|out
///     kill|start|freeze|thaw SCHEDULER
///     cut|heal FIRST SECOND       schedulers, workers, "log", "config"
///     mute WORKER SCHEDULER       drops the worker's answers; heal ends it
///     log up|down
///     late WORKER SECONDS         delay of start commands to the worker; 0 ends the fault
///     restart|leaving|failing WORKER
///     let NAME SCHEDULER          $NAME refers to it from then on
///     expect owner DOMAIN SCHEDULER|none
///     expect state JOB STATE
///     expect worker JOB WORKER
///     expect starts JOB N
///     expect attempts JOB N
///     expect live N               running tasks on all workers
///     expect targets DOMAIN N
///
/// "owner:DOMAIN" and "standby:DOMAIN" refer to a scheduler. Times are decimal seconds.
ScenarioResult runScenario(const std::string &text);

} // namespace Hyssop::Testing
