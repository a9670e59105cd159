#include "shorttaskreserve.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Hyssop {

namespace Internal {

constexpr double PeakDecayTime = 15; // seconds, time constant of the exponential decay
// Free capacity is fragmented over many workers, so not all of it is usable.
constexpr double FragmentationFactor = 1.3;
// The largest task of the current and the previous period counts.
constexpr std::chrono::seconds SizePeriod{10};
constexpr double MinimumShare = 0.08; // share of the capacity
constexpr double MaximumShare = 0.22;

} // namespace Internal

void ShortTaskReserve::Demand::add(std::int64_t taskMilliCores, std::int64_t smallest, std::int64_t largest)
{
    smallestTask = largestTask == 0 ? smallest : std::min(smallestTask, smallest);
    largestTask = std::max(largestTask, largest);
    milliCores += taskMilliCores;
}

void ShortTaskReserve::recordDemand(const std::string &workerPool, const Demand &demand, TimePoint now)
{
    Peak &peak = m_peaks[workerPool];
    const double passed = peak.at == TimePoint() ? 0 : std::chrono::duration<double>(now - peak.at).count();
    peak.demand = std::max(static_cast<double>(demand.milliCores), peak.demand * std::exp(-passed / Internal::PeakDecayTime));
    peak.at = now;
    if (now - peak.sizesSince >= Internal::SizePeriod) {
        peak.previousLargestTask = now - peak.sizesSince < 2 * Internal::SizePeriod ? peak.largestTask : 0;
        peak.largestTask = 0;
        peak.sizesSince = now;
    }
    peak.smallestTask = demand.smallestTask;
    peak.largestTask = std::max(peak.largestTask, demand.largestTask);
}

std::int64_t ShortTaskReserve::milliCores(const std::string &workerPool, std::int64_t capacity) const
{
    const auto peak = m_peaks.find(workerPool);
    const double wanted = peak != m_peaks.end() ? peak->second.demand * Internal::FragmentationFactor : 0;
    const auto all = static_cast<double>(capacity);
    return static_cast<std::int64_t>(std::clamp(wanted, all * Internal::MinimumShare, all * Internal::MaximumShare));
}

std::int64_t ShortTaskReserve::placeSize(const std::string &workerPool) const
{
    const auto peak = m_peaks.find(workerPool);
    return peak != m_peaks.end() ? std::max(peak->second.largestTask, peak->second.previousLargestTask) : 0;
}

std::int64_t ShortTaskReserve::smallestTask(const std::string &workerPool) const
{
    const auto peak = m_peaks.find(workerPool);
    return peak != m_peaks.end() ? peak->second.smallestTask : 0;
}

} // namespace Hyssop
