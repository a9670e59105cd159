#pragma once

#include "worldstate.h"

#include <map>
#include <string>
#include <utility>

namespace Hyssop::Testing {

/// Checks the invariants P1 to P4 on the state of a World and reports violations to it.
class InvariantChecks
{
public:
    explicit InvariantChecks(WorldState &state);

    /// Checks an attempt that @p workerName starts.
    void checkStart(const std::string &workerName, const std::string &jobId, int attempt, const std::string &checkpoint);
    /// Checks the state after a step.
    void check();

    /// Number of starts of all attempts of a job.
    int starts(const std::string &jobId) const;

private:
    WorldState &m_state;
    std::map<std::pair<std::string, int>, std::pair<int, int>> m_startCounts; // by job and attempt: starts, worker restarts
};

} // namespace Hyssop::Testing
