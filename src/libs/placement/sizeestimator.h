#pragma once

#include <utils/resources.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Hyssop::Internal {

/// Learns the ratio of measured to declared resources and run time for each task kind.
///
/// The corrected size is the larger of the declared size and the learned use, which is the mean plus two deviations, at most
/// four times the declared size. It is never lower than declared, because workers enforce that the sum of the declared sizes
/// stays within their capacity.
class SizeEstimator
{
public:
    void observeUsage(std::uint32_t kind, const Resources &declared, const Resources &usage);
    void observeRunTime(std::uint32_t kind, std::chrono::milliseconds declared, std::chrono::milliseconds actual);

    Resources corrected(std::uint32_t kind, const Resources &declared) const;

    /// Returns the declared run time times the learned ratio of the kind.
    std::chrono::milliseconds expectedRunTime(std::uint32_t kind, std::chrono::milliseconds declared) const;

    /// Returns the expected processor use of a task without measurements.
    std::int64_t expectedMilliCores(std::uint32_t kind, const Resources &declared) const;

private:
    struct Ratio
    {
        double mean = 1;
        double deviation = 0;
        int samples = 0;

        void add(double value);
        double upperBound() const;
    };

    struct Estimate
    {
        Ratio cores;
        Ratio memory;
        Ratio runTime;
    };

    Estimate &estimateOf(std::uint32_t kind);
    const Estimate *find(std::uint32_t kind) const;

    std::vector<Estimate> m_estimates;
};

} // namespace Hyssop::Internal
