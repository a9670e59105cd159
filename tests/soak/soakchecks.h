#pragma once

#include "soakload.h"

#include <map>
#include <string>
#include <vector>

namespace Hyssop::Soak {

/// One run of a task, as reported by a worker.
struct SoakRun
{
    std::string task;
    int run = 0;
    std::int64_t startMs = 0;
    std::int64_t endMs = 0; // 0: still running
    std::string endReason;
    bool endAcknowledged = false; // before the lease expired
};

/// Parses the list of runs that a worker returns.
std::vector<SoakRun> parseRuns(const std::string &lines);

/// Checks the @p runs of all workers and the @p jobs of all callers after all faults and all work have ended. Returns a
/// description of each violated guarantee.
std::vector<std::string> findViolations(std::vector<SoakRun> runs, const std::map<std::string, SoakJob> &jobs);

} // namespace Hyssop::Soak
