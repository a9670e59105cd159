#pragma once

namespace Hyssop {

/// Topics of the platform's metadata store that the system uses. Each one retains the newest record of every key.
enum class Topic {
    Jobs, // written by this system: submissions, cancellations, phases of jobs, ownership claims; every instance follows it
    Runs, // written by the owner: the runs of the jobs that have not ended; only the next owner reads it
    Operators, // configuration and requests of the operators
    Workers, // worker registrations
    Status, // replies to requests of the operators
};

/// Returns the name of @p topic in logs and metrics.
constexpr const char *topicName(Topic topic)
{
    switch (topic) {
    case Topic::Jobs:
        return "jobs";
    case Topic::Runs:
        return "runs";
    case Topic::Operators:
        return "operators";
    case Topic::Workers:
        return "workers";
    case Topic::Status:
        return "status";
    }
    return "unknown";
}

} // namespace Hyssop
