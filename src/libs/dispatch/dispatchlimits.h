#pragma once

#include <chrono>

namespace Hyssop {

/// Time limits of the dispatcher, taken from the platform's settings.
struct DispatchLimits
{
    std::chrono::milliseconds maximumLease{6000}; // the platform truncates longer leases
    std::chrono::milliseconds stopDuration{900}; // a run has ended at most this long after the worker confirmed the stop
    std::chrono::milliseconds statusRetention{120000}; // how long callers can query the state of an ended job
};

} // namespace Hyssop
