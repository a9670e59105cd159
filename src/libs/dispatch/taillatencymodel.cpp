#include "taillatencymodel.h"

#include "loadforecast.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// Further images share one coefficient, which bounds the cost of an observation.
constexpr std::size_t MaximumCoefficients = 40;
constexpr double InitialCoefficient = 1.0;
constexpr double InitialVariance = 1.0;
// Discounts old observations, because effects change over time.
constexpr double ForgettingFactor = 0.9995;
constexpr double MaximumVariance = 4.0;
constexpr double MinimumOwnWeight = 0.002; // weight of an observation in m_ownUtilization
constexpr double MaximumUtilization = 0.995;
// The inferred utilization stays below 1 however far the load exceeds the capacity, so from here on it is a lower bound.
constexpr double SaturatedUtilization = 0.9;

} // namespace Internal

void TailLatencyModel::observe(double tailMs, const LoadEstimate &own, const std::vector<NeighbourLoad> &colocated)
{
    if (tailMs <= 0) {
        return;
    }
    m_baseMs = m_baseMs == 0 ? tailMs : std::min(m_baseMs, tailMs);
    const double utilization = utilizationOf(tailMs);
    const double added = addedUtilization(colocated);
    if (utilization >= Internal::SaturatedUtilization && utilization < own.utilization + added) {
        return;
    }
    ++m_observations;
    m_ownUtilization += std::max(Internal::MinimumOwnWeight, 1.0 / m_observations) * (utilization - added - m_ownUtilization);
    fit(utilization - own.utilization, own.variance, colocated);
}

void TailLatencyModel::fit(double error, double variance, const std::vector<NeighbourLoad> &colocated)
{
    std::vector<std::size_t> indices;
    indices.reserve(colocated.size());
    for (const NeighbourLoad &neighbour : colocated) {
        indices.push_back(coefficientIndex(neighbour.image));
    }
    const std::size_t size = m_coefficients.size();
    std::vector<double> gain(size, 0);
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t entry = 0; entry < indices.size(); ++entry) {
            gain[row] += m_covariance[row][indices[entry]] * colocated[entry].load;
        }
    }
    for (std::size_t entry = 0; entry < indices.size(); ++entry) {
        error -= m_coefficients[indices[entry]] * colocated[entry].load;
        variance += gain[indices[entry]] * colocated[entry].load;
    }
    for (std::size_t row = 0; row < size; ++row) {
        if (gain[row] == 0) {
            continue; // the image neither ran beside the serving task nor is correlated with one that did
        }
        m_coefficients[row] += gain[row] / variance * error;
        for (std::size_t column = 0; column < size; ++column) {
            m_covariance[row][column] -= gain[row] * gain[column] / variance;
        }
    }
    for (std::size_t row = 0; row < size; ++row) {
        m_covariance[row][row] = std::min(m_covariance[row][row] / Internal::ForgettingFactor, Internal::MaximumVariance);
    }
}

double TailLatencyModel::allowedUtilization(double targetMs) const
{
    return m_baseMs == 0 ? 1 : 1 - m_baseMs / targetMs;
}

double TailLatencyModel::utilizationOf(double tailMs) const
{
    return tailMs <= 0 ? 0 : std::clamp(1 - m_baseMs / tailMs, 0.0, Internal::MaximumUtilization);
}

double TailLatencyModel::addedUtilization(const NeighbourLoad &neighbour) const
{
    const auto index = m_coefficientIndices.find(neighbour.image);
    const double coefficient = index != m_coefficientIndices.end() ? m_coefficients[index->second] : Internal::InitialCoefficient;
    return std::max(coefficient, 0.0) * neighbour.load;
}

double TailLatencyModel::addedUtilization(const std::vector<NeighbourLoad> &neighbours) const
{
    double sum = 0;
    for (const NeighbourLoad &neighbour : neighbours) {
        sum += addedUtilization(neighbour);
    }
    return sum;
}

std::map<std::uint32_t, TailLatencyModel::LearnedEffect> TailLatencyModel::neighbours() const
{
    std::map<std::uint32_t, LearnedEffect> neighbours;
    for (const auto &[image, index] : m_coefficientIndices) {
        neighbours[image] = {m_coefficients[index], m_covariance[index][index]};
    }
    return neighbours;
}

void TailLatencyModel::restore(double baseMs, double ownUtilization, const std::map<std::uint32_t, LearnedEffect> &neighbours)
{
    m_baseMs = baseMs;
    m_ownUtilization = ownUtilization;
    m_observations = static_cast<int>(1 / Internal::MinimumOwnWeight);
    for (const auto &[image, learned] : neighbours) {
        const std::size_t index = coefficientIndex(image);
        m_coefficients[index] = learned.coefficient;
        m_covariance[index][index] = std::clamp(learned.variance, 0.0, Internal::MaximumVariance);
    }
}

std::size_t TailLatencyModel::coefficientIndex(std::uint32_t image)
{
    const auto known = m_coefficientIndices.find(image);
    if (known != m_coefficientIndices.end()) {
        return known->second;
    }
    const std::size_t index = std::min(m_coefficients.size(), Internal::MaximumCoefficients - 1);
    m_coefficientIndices[image] = index;
    if (index == m_coefficients.size()) {
        m_coefficients.push_back(Internal::InitialCoefficient);
        for (std::vector<double> &row : m_covariance) {
            row.push_back(0);
        }
        m_covariance.emplace_back(m_coefficients.size(), 0.0);
        m_covariance.back().back() = Internal::InitialVariance;
    }
    return index;
}

} // namespace Hyssop
