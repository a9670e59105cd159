#pragma once

#include <utils/clock.h>

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Hyssop {

/// Estimate of the utilization that the load of a serving task itself causes.
struct LoadEstimate
{
    double utilization = 0; // 0 to 1
    double variance = 0;
};

/// Forecasts the load of serving jobs.
///
/// Load pattern: the load of a job oscillates around its mean. All jobs share the same period, but each has its own phase.
/// Best-effort tasks that interfere with a job fit beside it while its load is low, and have to make room before the peak.
/// For each of several candidate periods, the mean, sine and cosine coefficients of each job are fitted by recursive least
/// squares. The period with the smallest errors is used.
class LoadForecast
{
public:
    LoadForecast();

    /// Learns from the utilization of a task of the job at @p at, from which the neighbours' part was subtracted. @p variance
    /// is the uncertainty of that part.
    void observe(const std::string &jobId, TimePoint at, double utilization, double variance);

    /// Returns the expected load at @p at.
    LoadEstimate expected(const std::string &jobId, TimePoint at) const;

    /// Returns the highest expected load between @p from and @p until. For a job with too few observations this is the mean
    /// peak of all jobs.
    double maximum(const std::string &jobId, TimePoint from, TimePoint until) const;

    /// Mean load of all jobs; it can be restored from an earlier forecast.
    double meanUtilization() const { return m_meanUtilization; }
    void setMeanUtilization(double utilization) { m_meanUtilization = utilization; }

    /// Returns the best candidate period.
    Duration period() const;

    void forget(const std::string &jobId);

private:
    static constexpr std::size_t PeriodCount = 46;
    static constexpr std::size_t CoefficientCount = 3; // mean, sine, cosine

    using Vector = std::array<double, CoefficientCount>;

    struct HarmonicFit
    {
        Vector coefficients{};
        std::array<Vector, CoefficientCount> covariance{};
    };

    struct Job
    {
        TimePoint firstAt{};
        TimePoint newestAt{};
        int observations = 0;
        std::array<HarmonicFit, PeriodCount> fits; // by candidate period
    };

    Job &jobOf(const std::string &jobId, TimePoint at);
    const HarmonicFit *reliableFit(const std::string &jobId) const;
    Vector regressors(std::size_t period, TimePoint at) const;
    double update(HarmonicFit &fit, const Vector &regressors, double utilization, double variance) const;

    std::array<double, PeriodCount> m_periods{}; // seconds
    std::array<double, PeriodCount> m_errors{}; // decaying sums of squared forecast errors
    TimePoint m_newestAt{};
    std::size_t m_bestPeriod = 0;
    std::map<std::string, Job> m_jobs;
    double m_meanUtilization;
    double m_meanPeak; // mean over the jobs
};

} // namespace Hyssop
