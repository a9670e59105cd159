#pragma once

#include <utils/resources.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop {

/// What a worker says about itself in its registration.
struct WorkerInfo
{
    std::string id;
    std::string service;
    std::string address; // IP-ADDRESS:PORT
    std::string failureDomain;
    std::string rack; // empty: none known
    std::vector<std::string> labels; // the rack's label included
    Resources capacity; // slots are unused
    bool draining = false;
    std::optional<std::chrono::milliseconds> drainRemaining; // least time until a draining worker leaves
    std::chrono::milliseconds warmUpRemaining{0}; // how much longer the worker is slow after its start

    bool operator==(const WorkerInfo &other) const = default;
};

} // namespace Hyssop
