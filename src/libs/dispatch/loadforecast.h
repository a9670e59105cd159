#pragma once

#include <utils/clock.h>
#include <utils/stringhash.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

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
/// squares. The period with the smallest errors is used. The observations of a job within a short time, which come from its
/// many tasks, are combined, so that the cost grows with the number of jobs and not of tasks.
class LoadForecast
{
public:
    LoadForecast();

    /// Learns from the utilization of a task of the job at @p at, from which the neighbours' part was subtracted. @p variance
    /// is the uncertainty of that part.
    void observe(std::string_view jobId, TimePoint at, double utilization, double variance);

    /// Returns the expected load at @p at.
    LoadEstimate expected(std::string_view jobId, TimePoint at) const;

    /// Returns the highest expected load between @p from and @p until. For a job with too few observations this is the mean
    /// peak of all jobs.
    double maximum(std::string_view jobId, TimePoint from, TimePoint until) const;

    /// Mean load of all jobs; it can be restored from an earlier forecast.
    double meanUtilization() const { return m_meanUtilization; }
    void setMeanUtilization(double utilization) { m_meanUtilization = utilization; }

    /// Returns the best candidate period.
    Duration period() const;

    void forget(std::string_view jobId);

    /// Returns how often the fits of a job were updated.
    std::uint64_t fitUpdates() const { return m_fitUpdates; }

private:
    static constexpr std::size_t PeriodCount = 46;
    static constexpr std::size_t CoefficientCount = 3; // mean, sine, cosine

    using Vector = std::array<double, CoefficientCount>;

    struct HarmonicFit
    {
        Vector coefficients{};
        std::array<Vector, CoefficientCount> covariance{};
    };

    /// Observations of a job that its fits do not contain yet. Weights are inverse variances.
    struct Pending
    {
        int count = 0;
        double weight = 0;
        double utilization = 0; // weighted sum
        double delay = 0; // weighted sum of the times since the first one, in seconds
        TimePoint firstAt{};

        void add(TimePoint at, double observed, double variance);
    };

    /// Result of maximum(). A placement pass asks for the same one for each task of the job.
    struct KnownMaximum
    {
        TimePoint from{};
        TimePoint until{};
        std::uint64_t fitUpdates = 0; // when it was computed
        double utilization = 0;
    };

    struct Job
    {
        TimePoint firstAt{};
        TimePoint newestAt{};
        int observations = 0;
        TimePoint fittedAt{}; // when the fits were last updated
        Pending pending;
        std::array<HarmonicFit, PeriodCount> fits; // by candidate period
        mutable std::array<KnownMaximum, 2> maxima; // a placement pass asks for two horizons
        mutable std::size_t oldestMaximum = 0;
    };

    Job &jobOf(std::string_view jobId, TimePoint at);
    /// Adds the pending observations of @p job to its fits.
    void updateFits(Job &job, TimePoint at);
    const HarmonicFit *reliableFit(std::string_view jobId) const;
    double maximumOf(const HarmonicFit &fit, TimePoint from, TimePoint until) const;
    const HarmonicFit *reliableFit(const Job &job) const;
    Vector regressors(std::size_t period, TimePoint at) const;
    double update(HarmonicFit &fit, const Vector &regressors, double utilization, double variance) const;

    std::array<double, PeriodCount> m_periods{}; // seconds
    std::array<double, PeriodCount> m_errors{}; // decaying sums of squared forecast errors
    TimePoint m_newestAt{};
    std::size_t m_bestPeriod = 0;
    std::unordered_map<std::string, Job, StringHash, std::equal_to<>> m_jobs;
    double m_meanUtilization;
    double m_meanPeak; // mean over the jobs
    std::uint64_t m_fitUpdates = 0;
};

} // namespace Hyssop
