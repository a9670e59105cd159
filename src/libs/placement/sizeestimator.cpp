#include "sizeestimator.h"

#include <algorithm>
#include <cmath>

namespace Hyssop::Internal {

namespace {

constexpr double SampleWeight = 0.05;
constexpr double MaximumRatio = 4; // limits the resources taken by a kind with implausible measurements
constexpr int MinimumSamples = 5;

} // namespace

void SizeEstimator::Ratio::add(double value)
{
    const double weight = samples == 0 ? 1 : std::max(SampleWeight, 1.0 / (samples + 1));
    const double error = value - mean;
    mean += weight * error;
    deviation += weight * (std::abs(samples == 0 ? 0 : error) - deviation);
    samples = std::min(samples + 1, 1000000);
}

double SizeEstimator::Ratio::upperBound() const
{
    if (samples < MinimumSamples) {
        return 1;
    }
    return std::clamp(mean + 2 * deviation, 1.0, MaximumRatio);
}

void SizeEstimator::observeUsage(std::uint32_t kind, const Resources &declared, const Resources &usage)
{
    Estimate &estimate = estimateOf(kind);
    if (declared.milliCores > 0) {
        estimate.cores.add(static_cast<double>(usage.milliCores) / static_cast<double>(declared.milliCores));
    }
    if (declared.memoryBytes > 0) {
        estimate.memory.add(static_cast<double>(usage.memoryBytes) / static_cast<double>(declared.memoryBytes));
    }
}

void SizeEstimator::observeRunTime(std::uint32_t kind, std::chrono::milliseconds declared, std::chrono::milliseconds actual)
{
    if (declared.count() <= 0) {
        return;
    }
    estimateOf(kind).runTime.add(static_cast<double>(actual.count()) / static_cast<double>(declared.count()));
}

Resources SizeEstimator::corrected(std::uint32_t kind, const Resources &declared) const
{
    const Estimate *estimate = find(kind);
    if (!estimate) {
        return declared;
    }
    Resources size = declared;
    size.milliCores = std::max<std::int64_t>(declared.milliCores, std::llround(static_cast<double>(declared.milliCores) * estimate->cores.upperBound()));
    size.memoryBytes = std::max<std::int64_t>(declared.memoryBytes, std::llround(static_cast<double>(declared.memoryBytes) * estimate->memory.upperBound()));
    return size;
}

std::chrono::milliseconds SizeEstimator::expectedRunTime(std::uint32_t kind, std::chrono::milliseconds declared) const
{
    const Estimate *estimate = find(kind);
    if (!estimate || estimate->runTime.samples < MinimumSamples) {
        return declared;
    }
    return std::chrono::milliseconds(std::llround(static_cast<double>(declared.count()) * estimate->runTime.mean));
}

std::int64_t SizeEstimator::expectedMilliCores(std::uint32_t kind, const Resources &declared) const
{
    const Estimate *estimate = find(kind);
    if (!estimate || estimate->cores.samples < MinimumSamples) {
        return declared.milliCores;
    }
    return std::llround(static_cast<double>(declared.milliCores) * std::min(estimate->cores.mean, MaximumRatio));
}

SizeEstimator::Estimate &SizeEstimator::estimateOf(std::uint32_t kind)
{
    if (kind >= m_estimates.size()) {
        m_estimates.resize(kind + 1);
    }
    return m_estimates[kind];
}

const SizeEstimator::Estimate *SizeEstimator::find(std::uint32_t kind) const
{
    return kind < m_estimates.size() ? &m_estimates[kind] : nullptr;
}

} // namespace Hyssop::Internal
