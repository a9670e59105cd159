#include "loadforecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>
#include <utility>

namespace Hyssop {

namespace Internal {

constexpr double MinimumPeriod = 4; // seconds
constexpr double PeriodRatio = 1.04; // ratio of neighbouring candidates
constexpr double InitialMean = 0.5;
constexpr double InitialPeak = 0.7;
constexpr double InitialMeanVariance = 0.02;
constexpr double InitialAmplitudeVariance = 0.03;
// Added to the variances of the coefficients, because loads change over time.
constexpr double VarianceGrowthPerSecond = 0.0002;
constexpr double ErrorDecayTime = 20; // seconds, time constant of the exponential decay
constexpr double MeanSmoothing = 0.005;
constexpr int MinimumObservations = 12;
constexpr std::chrono::milliseconds MinimumObservedTime{3000};
// Short against the shortest period, so the load hardly changes in it.
constexpr std::chrono::milliseconds CombinationTime{100};
constexpr double UnfittedVariance = 0.03;
constexpr double FittedVariance = 0.004;

static double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace Internal

LoadForecast::LoadForecast()
    : m_meanUtilization(Internal::InitialMean)
    , m_meanPeak(Internal::InitialPeak)
{
    double period = Internal::MinimumPeriod;
    for (double &candidate : m_periods) {
        candidate = period;
        period *= Internal::PeriodRatio;
    }
}

void LoadForecast::observe(std::string_view jobId, TimePoint at, double utilization, double variance)
{
    Job &job = jobOf(jobId, at);
    job.newestAt = std::max(job.newestAt, at);
    ++job.observations;
    job.pending.add(at, utilization, Internal::FittedVariance + variance);
    if (job.fittedAt == TimePoint() || at - job.fittedAt >= Internal::CombinationTime) {
        updateFits(job, at);
    }
    m_meanUtilization += Internal::MeanSmoothing * (utilization - m_meanUtilization);
    if (const HarmonicFit *fit = reliableFit(job)) {
        const double peak = fit->coefficients[0] + std::hypot(fit->coefficients[1], fit->coefficients[2]);
        m_meanPeak += Internal::MeanSmoothing * (peak - m_meanPeak);
    }
}

void LoadForecast::Pending::add(TimePoint at, double observed, double variance)
{
    if (count == 0) {
        firstAt = at;
    }
    const double added = 1 / variance;
    ++count;
    weight += added;
    utilization += added * observed;
    delay += added * Internal::seconds(at - firstAt);
}

void LoadForecast::updateFits(Job &job, TimePoint at)
{
    const Pending pending = std::exchange(job.pending, Pending());
    const double utilization = pending.utilization / pending.weight;
    const TimePoint meanAt = pending.firstAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pending.delay / pending.weight));
    const double unfittedTime = job.fittedAt == TimePoint() ? 0 : std::max(0.0, Internal::seconds(at - job.fittedAt));
    const double decay = std::exp(-std::max(0.0, Internal::seconds(at - m_newestAt)) / Internal::ErrorDecayTime);
    job.fittedAt = std::max(job.fittedAt, at);
    m_newestAt = std::max(m_newestAt, at);
    ++m_fitUpdates;
    for (std::size_t period = 0; period < PeriodCount; ++period) {
        HarmonicFit &fit = job.fits[period];
        for (std::size_t term = 0; term < CoefficientCount; ++term) {
            fit.covariance[term][term] += Internal::VarianceGrowthPerSecond * unfittedTime;
        }
        const double error = update(fit, regressors(period, meanAt), utilization, 1 / pending.weight);
        m_errors[period] = m_errors[period] * decay + pending.count * error * error;
    }
    m_bestPeriod = static_cast<std::size_t>(std::ranges::min_element(m_errors) - m_errors.begin());
}

LoadEstimate LoadForecast::expected(std::string_view jobId, TimePoint at) const
{
    const HarmonicFit *fit = reliableFit(jobId);
    if (fit == nullptr) {
        return {m_meanUtilization, Internal::UnfittedVariance};
    }
    const Vector factors = regressors(m_bestPeriod, at);
    double utilization = 0;
    for (std::size_t term = 0; term < CoefficientCount; ++term) {
        utilization += fit->coefficients[term] * factors[term];
    }
    return {std::clamp(utilization, 0.0, 1.0), Internal::FittedVariance};
}

double LoadForecast::maximum(std::string_view jobId, TimePoint from, TimePoint until) const
{
    const auto job = m_jobs.find(jobId);
    const HarmonicFit *fit = job != m_jobs.end() ? reliableFit(job->second) : nullptr;
    if (fit == nullptr) {
        return m_meanPeak;
    }
    auto &maxima = job->second.maxima;
    const auto known = std::ranges::find_if(
        maxima, [&](const KnownMaximum &maximum) { return maximum.from == from && maximum.until == until && maximum.fitUpdates == m_fitUpdates; });
    if (known != maxima.end()) {
        return known->utilization;
    }
    const double utilization = maximumOf(*fit, from, until);
    maxima[job->second.oldestMaximum] = {from, until, m_fitUpdates, utilization};
    job->second.oldestMaximum = (job->second.oldestMaximum + 1) % maxima.size();
    return utilization;
}

double LoadForecast::maximumOf(const HarmonicFit &fit, TimePoint from, TimePoint until) const
{
    const double fullTurn = 2 * std::numbers::pi;
    const double frequency = fullTurn / m_periods[m_bestPeriod];
    const double startAngle = frequency * Internal::seconds(from.time_since_epoch());
    const double length = frequency * Internal::seconds(until - from);
    // The sine and cosine terms add up to one oscillation with its peak at this angle.
    const double peakAngle = std::atan2(fit.coefficients[1], fit.coefficients[2]);
    const double angleToPeak = std::remainder(peakAngle - startAngle, fullTurn);
    const double angleUntilPeak = angleToPeak < 0 ? angleToPeak + fullTurn : angleToPeak;
    const double amplitude = std::hypot(fit.coefficients[1], fit.coefficients[2]);
    if (angleUntilPeak <= length) {
        return fit.coefficients[0] + amplitude;
    }
    return fit.coefficients[0] + amplitude * std::max(std::cos(angleToPeak), std::cos(angleToPeak - length));
}

Duration LoadForecast::period() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_periods[m_bestPeriod]));
}

void LoadForecast::forget(std::string_view jobId)
{
    const auto job = m_jobs.find(jobId);
    if (job != m_jobs.end()) {
        m_jobs.erase(job);
    }
}

LoadForecast::Job &LoadForecast::jobOf(std::string_view jobId, TimePoint at)
{
    const auto known = m_jobs.find(jobId);
    if (known != m_jobs.end()) {
        return known->second;
    }
    Job &job = m_jobs[std::string(jobId)];
    job.firstAt = at;
    job.newestAt = at;
    for (HarmonicFit &fit : job.fits) {
        fit.coefficients = {m_meanUtilization, 0, 0};
        fit.covariance[0][0] = Internal::InitialMeanVariance;
        fit.covariance[1][1] = Internal::InitialAmplitudeVariance;
        fit.covariance[2][2] = Internal::InitialAmplitudeVariance;
    }
    return job;
}

const LoadForecast::HarmonicFit *LoadForecast::reliableFit(std::string_view jobId) const
{
    const auto job = m_jobs.find(jobId);
    return job != m_jobs.end() ? reliableFit(job->second) : nullptr;
}

const LoadForecast::HarmonicFit *LoadForecast::reliableFit(const Job &job) const
{
    const bool isReliable = job.observations >= Internal::MinimumObservations && job.newestAt - job.firstAt >= Internal::MinimumObservedTime;
    return isReliable ? &job.fits[m_bestPeriod] : nullptr;
}

LoadForecast::Vector LoadForecast::regressors(std::size_t period, TimePoint at) const
{
    const double angle = 2 * std::numbers::pi / m_periods[period] * Internal::seconds(at.time_since_epoch());
    return {1, std::sin(angle), std::cos(angle)};
}

double LoadForecast::update(HarmonicFit &fit, const Vector &regressors, double utilization, double variance) const
{
    Vector gain{};
    double error = utilization;
    double errorVariance = variance;
    for (std::size_t row = 0; row < CoefficientCount; ++row) {
        for (std::size_t column = 0; column < CoefficientCount; ++column) {
            gain[row] += fit.covariance[row][column] * regressors[column];
        }
        error -= fit.coefficients[row] * regressors[row];
        errorVariance += gain[row] * regressors[row];
    }
    for (std::size_t row = 0; row < CoefficientCount; ++row) {
        fit.coefficients[row] += gain[row] / errorVariance * error;
        for (std::size_t column = 0; column < CoefficientCount; ++column) {
            fit.covariance[row][column] -= gain[row] * gain[column] / errorVariance;
        }
    }
    return error;
}

} // namespace Hyssop
