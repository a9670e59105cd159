#pragma once

#include <chrono>

namespace Hyssop {

/// Time limits of the dispatcher that follow from the platform's settings.
struct DispatchLimits
{
    std::chrono::milliseconds maximumLease{6000}; // the platform shortens longer leases
    std::chrono::milliseconds statusRetention{120000}; // how long callers may ask for the state of an ended job
};

} // namespace Hyssop
