#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Hyssop::Soak {

struct SoakOptions
{
    std::uint32_t seed = 1;
    std::chrono::seconds faultDuration{12}; // time during which faults are injected
    int nodes = 4;
    int workers = 4;
    std::string directory; // for settings and logs
};

struct SoakResult
{
    std::vector<std::string> faults;
    std::size_t jobs = 0;
    std::size_t accepted = 0;
    std::size_t cancelled = 0;
    std::size_t runs = 0;
    std::chrono::milliseconds settlingTime{0}; // from the end of the faults until all work had ended
    std::vector<std::string> violations;
};

/// Runs one seed in a cluster of its own.
SoakResult runSoak(const SoakOptions &options);

} // namespace Hyssop::Soak
