#include "tailmodel.h"

#include "loadforecast.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

// Images beyond this number share one coefficient, which bounds the cost of an observation.
constexpr std::size_t MostCoefficients = 40;
constexpr double FirstCoefficient = 1.0;
constexpr double FirstVariance = 1.0;
// Old observations lose weight, because effects change.
constexpr double Forgetting = 0.9995;
constexpr double LargestVariance = 4.0;
constexpr double LeastOwnWeight = 0.002; // of an observation in the mean own load
constexpr double LargestUtilization = 0.995;

} // namespace Internal

void TailModel::observe(double tailMs, const LoadEstimate &own, const std::vector<NeighbourLoad> &beside)
{
    if (tailMs <= 0) {
        return;
    }
    m_baseMs = m_baseMs == 0 ? tailMs : std::min(m_baseMs, tailMs);
    const double utilization = utilizationOf(tailMs);
    ++m_observations;
    m_own += std::max(Internal::LeastOwnWeight, 1.0 / m_observations) * (utilization - added(beside) - m_own);
    fit(utilization - own.utilization, own.variance, beside);
}

void TailModel::fit(double error, double variance, const std::vector<NeighbourLoad> &beside)
{
    std::vector<std::size_t> slots;
    slots.reserve(beside.size());
    for (const NeighbourLoad &neighbour : beside) {
        slots.push_back(slotOf(neighbour.image));
    }
    const std::size_t size = m_coefficients.size();
    std::vector<double> gain(size, 0);
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t entry = 0; entry < slots.size(); ++entry) {
            gain[row] += m_covariance[row][slots[entry]] * beside[entry].load;
        }
    }
    for (std::size_t entry = 0; entry < slots.size(); ++entry) {
        error -= m_coefficients[slots[entry]] * beside[entry].load;
        variance += gain[slots[entry]] * beside[entry].load;
    }
    for (std::size_t row = 0; row < size; ++row) {
        m_coefficients[row] += gain[row] / variance * error;
        for (std::size_t column = 0; column < size; ++column) {
            m_covariance[row][column] -= gain[row] * gain[column] / variance;
        }
    }
    for (std::size_t row = 0; row < size; ++row) {
        m_covariance[row][row] = std::min(m_covariance[row][row] / Internal::Forgetting, Internal::LargestVariance);
    }
}

double TailModel::allowedUtilization(double targetMs) const
{
    return m_baseMs == 0 ? 1 : 1 - m_baseMs / targetMs;
}

double TailModel::utilizationOf(double tailMs) const
{
    return tailMs <= 0 ? 0 : std::clamp(1 - m_baseMs / tailMs, 0.0, Internal::LargestUtilization);
}

double TailModel::added(const NeighbourLoad &neighbour) const
{
    const auto slot = m_slots.find(neighbour.image);
    const double coefficient = slot != m_slots.end() ? m_coefficients[slot->second] : Internal::FirstCoefficient;
    return std::max(coefficient, 0.0) * neighbour.load;
}

double TailModel::added(const std::vector<NeighbourLoad> &neighbours) const
{
    double sum = 0;
    for (const NeighbourLoad &neighbour : neighbours) {
        sum += added(neighbour);
    }
    return sum;
}

std::map<std::uint32_t, TailModel::Learned> TailModel::neighbours() const
{
    std::map<std::uint32_t, Learned> neighbours;
    for (const auto &[image, slot] : m_slots) {
        neighbours[image] = {m_coefficients[slot], m_covariance[slot][slot]};
    }
    return neighbours;
}

void TailModel::restore(double baseMs, double ownUtilization, const std::map<std::uint32_t, Learned> &neighbours)
{
    m_baseMs = baseMs;
    m_own = ownUtilization;
    m_observations = static_cast<int>(1 / Internal::LeastOwnWeight);
    for (const auto &[image, learned] : neighbours) {
        const std::size_t slot = slotOf(image);
        m_coefficients[slot] = learned.coefficient;
        m_covariance[slot][slot] = std::clamp(learned.variance, 0.0, Internal::LargestVariance);
    }
}

std::size_t TailModel::slotOf(std::uint32_t image)
{
    const auto known = m_slots.find(image);
    if (known != m_slots.end()) {
        return known->second;
    }
    const std::size_t slot = std::min(m_coefficients.size(), Internal::MostCoefficients - 1);
    m_slots[image] = slot;
    if (slot == m_coefficients.size()) {
        m_coefficients.push_back(Internal::FirstCoefficient);
        for (std::vector<double> &row : m_covariance) {
            row.push_back(0);
        }
        m_covariance.emplace_back(m_coefficients.size(), 0.0);
        m_covariance.back().back() = Internal::FirstVariance;
    }
    return slot;
}

} // namespace Hyssop
