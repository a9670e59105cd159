#pragma once

#include <utils/clock.h>

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Hyssop {

/// Expected utilization of a serving task by its own load.
struct LoadEstimate
{
    double utilization = 0; // 0 to 1
    double variance = 0;
};

/// Forecasts the own load of serving jobs.
///
/// Load pattern: the load of a job swings around its mean; all jobs swing with the same period, each at a phase of its
/// own. Filling work that disturbs a job fits beside it while the load is low and has to leave before the crest. For each
/// of some candidate periods, the mean, sine and cosine of each job are fitted by recursive least squares; the period with
/// the smallest errors is used.
class LoadForecast
{
public:
    LoadForecast();

    /// Learns from the utilization that a task of the job showed at @p at, without its neighbours' part. @p variance is
    /// how uncertain that part was.
    void observe(const std::string &jobId, TimePoint at, double utilization, double variance);

    /// Returns the expected load at @p at.
    LoadEstimate expected(const std::string &jobId, TimePoint at) const;

    /// Returns the highest expected load between @p from and @p until. Of a job that is not known well this is the typical
    /// crest.
    double maximum(const std::string &jobId, TimePoint from, TimePoint until) const;

    /// Returns the mean load of all jobs, and begins with one that was known before.
    double meanUtilization() const { return m_meanUtilization; }
    void setMeanUtilization(double utilization) { m_meanUtilization = utilization; }

    /// Returns the period in use.
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
    std::array<double, PeriodCount> m_errors{}; // squared errors of the forecasts, of which old ones fade
    TimePoint m_newestAt{};
    std::size_t m_bestPeriod = 0;
    std::map<std::string, Job> m_jobs;
    double m_meanUtilization;
    double m_meanPeak;
};

} // namespace Hyssop
