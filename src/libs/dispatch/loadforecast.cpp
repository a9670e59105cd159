#include "loadforecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>

namespace Hyssop {

namespace Internal {

constexpr double ShortestPeriod = 4; // seconds
constexpr double PeriodRatio = 1.04; // between neighbouring candidates
constexpr double FirstMean = 0.5;
constexpr double FirstCrest = 0.7;
constexpr double MeanVariance = 0.02;
constexpr double SwingVariance = 0.03;
// Variance that each second adds to the fitted terms, because loads drift.
constexpr double DriftPerSecond = 0.0002;
constexpr double ErrorMemory = 20; // seconds until an error has lost two thirds of its weight
constexpr double TypicalWeight = 0.005;
constexpr int ObservationsToKnow = 12;
constexpr std::chrono::milliseconds TimeToKnow{3000};
constexpr double UnknownVariance = 0.03;
constexpr double KnownVariance = 0.004;

static double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace Internal

LoadForecast::LoadForecast()
    : m_typical(Internal::FirstMean)
    , m_typicalCrest(Internal::FirstCrest)
{
    double period = Internal::ShortestPeriod;
    for (double &candidate : m_periods) {
        candidate = period;
        period *= Internal::PeriodRatio;
    }
}

void LoadForecast::observe(const std::string &jobId, TimePoint at, double utilization, double variance)
{
    Job &job = jobOf(jobId, at);
    const double drift = Internal::DriftPerSecond * std::max(0.0, Internal::seconds(at - job.newestAt));
    job.newestAt = std::max(job.newestAt, at);
    ++job.observations;
    const double fading = std::exp(-std::max(0.0, Internal::seconds(at - m_newestAt)) / Internal::ErrorMemory);
    m_newestAt = std::max(m_newestAt, at);
    for (std::size_t period = 0; period < PeriodCount; ++period) {
        Fit &fit = job.fits[period];
        for (std::size_t term = 0; term < Terms; ++term) {
            fit.covariance[term][term] += drift;
        }
        const double error = update(fit, regressors(period, at), utilization, Internal::KnownVariance + variance);
        m_errors[period] = m_errors[period] * fading + error * error;
    }
    m_best = static_cast<std::size_t>(std::ranges::min_element(m_errors) - m_errors.begin());
    m_typical += Internal::TypicalWeight * (utilization - m_typical);
    if (const Fit *fit = knownFit(jobId)) {
        const double crest = fit->terms[0] + std::hypot(fit->terms[1], fit->terms[2]);
        m_typicalCrest += Internal::TypicalWeight * (crest - m_typicalCrest);
    }
}

LoadEstimate LoadForecast::expected(const std::string &jobId, TimePoint at) const
{
    const Fit *fit = knownFit(jobId);
    if (fit == nullptr) {
        return {m_typical, Internal::UnknownVariance};
    }
    const Vector factors = regressors(m_best, at);
    double utilization = 0;
    for (std::size_t term = 0; term < Terms; ++term) {
        utilization += fit->terms[term] * factors[term];
    }
    return {std::clamp(utilization, 0.0, 1.0), Internal::KnownVariance};
}

double LoadForecast::highest(const std::string &jobId, TimePoint from, TimePoint until) const
{
    const Fit *fit = knownFit(jobId);
    if (fit == nullptr) {
        return m_typicalCrest;
    }
    const double turn = 2 * std::numbers::pi;
    const double frequency = turn / m_periods[m_best];
    const double begin = frequency * Internal::seconds(from.time_since_epoch());
    const double length = frequency * Internal::seconds(until - from);
    // The sum of both terms is a sine with its crest at this angle.
    const double crestAngle = std::atan2(fit->terms[1], fit->terms[2]);
    const double toCrest = std::remainder(crestAngle - begin, turn);
    const double untilCrest = toCrest < 0 ? toCrest + turn : toCrest;
    const double swing = std::hypot(fit->terms[1], fit->terms[2]);
    if (untilCrest <= length) {
        return fit->terms[0] + swing;
    }
    return fit->terms[0] + swing * std::max(std::cos(toCrest), std::cos(toCrest - length));
}

Duration LoadForecast::period() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_periods[m_best]));
}

void LoadForecast::forget(const std::string &jobId)
{
    m_jobs.erase(jobId);
}

LoadForecast::Job &LoadForecast::jobOf(const std::string &jobId, TimePoint at)
{
    const auto [entry, isNew] = m_jobs.try_emplace(jobId);
    Job &job = entry->second;
    if (isNew) {
        job.firstAt = at;
        job.newestAt = at;
        for (Fit &fit : job.fits) {
            fit.terms = {m_typical, 0, 0};
            fit.covariance[0][0] = Internal::MeanVariance;
            fit.covariance[1][1] = Internal::SwingVariance;
            fit.covariance[2][2] = Internal::SwingVariance;
        }
    }
    return job;
}

const LoadForecast::Fit *LoadForecast::knownFit(const std::string &jobId) const
{
    const auto job = m_jobs.find(jobId);
    if (job == m_jobs.end() || job->second.observations < Internal::ObservationsToKnow || job->second.newestAt - job->second.firstAt < Internal::TimeToKnow) {
        return nullptr;
    }
    return &job->second.fits[m_best];
}

LoadForecast::Vector LoadForecast::regressors(std::size_t period, TimePoint at) const
{
    const double angle = 2 * std::numbers::pi / m_periods[period] * Internal::seconds(at.time_since_epoch());
    return {1, std::sin(angle), std::cos(angle)};
}

double LoadForecast::update(Fit &fit, const Vector &regressors, double utilization, double variance) const
{
    Vector gain{};
    double error = utilization;
    double total = variance;
    for (std::size_t row = 0; row < Terms; ++row) {
        for (std::size_t column = 0; column < Terms; ++column) {
            gain[row] += fit.covariance[row][column] * regressors[column];
        }
        error -= fit.terms[row] * regressors[row];
        total += gain[row] * regressors[row];
    }
    for (std::size_t row = 0; row < Terms; ++row) {
        fit.terms[row] += gain[row] / total * error;
        for (std::size_t column = 0; column < Terms; ++column) {
            fit.covariance[row][column] -= gain[row] * gain[column] / total;
        }
    }
    return error;
}

} // namespace Hyssop
