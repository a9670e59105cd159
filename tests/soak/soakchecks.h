#pragma once

#include "soakload.h"

#include <map>
#include <string>
#include <vector>

namespace Hyssop::Soak {

/// One run of a task, as a worker tells it.
struct SoakRun
{
    std::string task;
    int run = 0;
    std::int64_t beginMs = 0;
    std::int64_t endMs = 0; // 0: it goes on
    std::string how;
    bool noted = false; // its end was acknowledged before the lease lapsed
};

/// Reads what a worker says about its runs.
std::vector<SoakRun> parseRuns(const std::string &lines);

/// Returns the promises that @p runs of all workers and @p jobs of all callers show to be broken after the end of all
/// faults and of all work.
std::vector<std::string> brokenPromises(std::vector<SoakRun> runs, const std::map<std::string, SoakJob> &jobs);

} // namespace Hyssop::Soak
