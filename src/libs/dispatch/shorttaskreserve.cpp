#include "shorttaskreserve.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Hyssop {

namespace Internal {

constexpr double PeakDecayTime = 15; // seconds, time constant of the exponential decay
// Free capacity is fragmented over many workers, so not all of it is usable.
constexpr double FragmentationFactor = 1.3;
constexpr double MinimumShare = 0.08; // share of the capacity
constexpr double MaximumShare = 0.22;

} // namespace Internal

void ShortTaskReserve::recordDemand(const std::string &workerPool, std::int64_t demand, TimePoint now)
{
    Peak &peak = m_peaks[workerPool];
    const double passed = peak.at == TimePoint() ? 0 : std::chrono::duration<double>(now - peak.at).count();
    peak.demand = std::max(static_cast<double>(demand), peak.demand * std::exp(-passed / Internal::PeakDecayTime));
    peak.at = now;
}

std::int64_t ShortTaskReserve::milliCores(const std::string &workerPool, std::int64_t capacity) const
{
    const auto peak = m_peaks.find(workerPool);
    const double wanted = peak != m_peaks.end() ? peak->second.demand * Internal::FragmentationFactor : 0;
    const auto all = static_cast<double>(capacity);
    return static_cast<std::int64_t>(std::clamp(wanted, all * Internal::MinimumShare, all * Internal::MaximumShare));
}

} // namespace Hyssop
