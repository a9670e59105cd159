#pragma once

#include <utils/resources.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

/// Registration of a worker.
struct WorkerInfo
{
    std::string id;
    std::string workerPool;
    std::string address; // IP-ADDRESS:PORT
    std::string failureDomain;
    std::string rack; // empty: unknown
    std::vector<std::string> labels; // includes the label of the rack
    Resources capacity; // slots are not used
    bool draining = false;
    std::optional<std::chrono::milliseconds> drainRemaining; // minimum time until a draining worker leaves
    std::chrono::milliseconds warmUpRemaining{0}; // remaining warm-up time, during which the worker is slow

    bool operator==(const WorkerInfo &other) const = default;
};

} // namespace Hyssop
