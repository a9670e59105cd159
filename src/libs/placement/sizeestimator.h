#pragma once

#include <utils/resources.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Hyssop::Internal {

/// Learns for each task kind how measured use relates to the declared size.
///
/// Rule: the size of a later placement is the declared size, raised to the learned use (mean plus two deviations, at
/// most four times the declared size) where that is higher. It is never lower than declared: the sum of declared sizes
/// on a worker, which the worker itself enforces, therefore always stays within its capacity.
class SizeEstimator
{
public:
    void observeUsage(std::uint32_t kind, const Resources &declared, const Resources &usage);
    void observeRunTime(std::uint32_t kind, std::chrono::milliseconds declared, std::chrono::milliseconds actual);

    Resources corrected(std::uint32_t kind, const Resources &declared) const;

    /// Returns the expected run time: the declared one times the learned ratio of the kind.
    std::chrono::milliseconds expectedRunTime(std::uint32_t kind, std::chrono::milliseconds declared) const;

    /// Returns the expected processor use of a task that has not been measured yet, in thousandths of a core.
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
