#pragma once

#include "stepexecution.h"

#include "hyssop_types.h"

#include <map>
#include <string>
#include <vector>

namespace Hyssop {

/// The owner's view of one job.
struct JobExecution
{
    std::string id;
    Wire::StepJob job;
    WallTime acceptedAt{};
    std::map<int, std::vector<StepExecution>> occurrences; // steps of the due occurrences from finishedOccurrences on
    int finishedOccurrences = 0; // all occurrences below this number are done
    bool cancelled = false;
    bool failed = false;
    bool completed = false;
    bool hasStarted = false; // a worker has confirmed a run
    bool submissionCompacted = false; // what is left of the submission of an ended job is durable, or on its way
    std::int64_t endedAtMs = 0; // Unix time; 0: not ended

    bool isEnded() const { return cancelled || failed || completed; }
    int occurrenceCount() const { return job.repeatCount > 0 ? job.repeatCount : 1; }
    const Wire::TaskStep &step(int index) const { return job.steps[static_cast<std::size_t>(index)]; }
};

} // namespace Hyssop
