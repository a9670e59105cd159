#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace Hyssop {

struct LoadEstimate;

/// Pressure that runs of one image put on a serving run beside them.
struct NeighbourLoad
{
    std::uint32_t image = 0;
    double load = 0; // in units of SharingRule
};

/// Learns how the tail of a serving image depends on what runs beside it.
///
/// A server's tail grows as base / (1 - u) with its utilization u, so 1 - base / tail is taken for u. It is modelled as the
/// job's own load plus one coefficient for each neighbouring image times its load, and the coefficients are fitted by
/// recursive least squares. The base is the lowest tail seen.
class TailLatencyModel
{
public:
    /// Learns from a reported tail in ms. @p own is the expected utilization without neighbours.
    void observe(double tailMs, const LoadEstimate &own, const std::vector<NeighbourLoad> &colocated);

    /// Returns the highest utilization at which the tail stays below @p targetMs; 1 if the base is not known.
    double allowedUtilization(double targetMs) const;

    /// Returns the utilization that a tail shows.
    double utilizationOf(double tailMs) const;

    /// Returns the mean utilization without neighbours.
    double ownUtilization() const { return m_ownUtilization; }

    /// Returns the utilization that a neighbour adds; never negative.
    double addedUtilization(const NeighbourLoad &neighbour) const;
    double addedUtilization(const std::vector<NeighbourLoad> &neighbours) const;

    /// What the model has learned about a neighbour.
    struct LearnedEffect
    {
        double coefficient = 0;
        double variance = 0;
    };
    std::map<std::uint32_t, LearnedEffect> neighbours() const;
    double baseMs() const { return m_baseMs; }

    /// Begins with what an earlier model has learned.
    void restore(double baseMs, double ownUtilization, const std::map<std::uint32_t, LearnedEffect> &neighbours);

private:
    std::size_t coefficientIndex(std::uint32_t image);
    void fit(double error, double variance, const std::vector<NeighbourLoad> &colocated);

    double m_baseMs = 0; // 0: not known
    double m_ownUtilization = 0;
    int m_observations = 0; // of the own utilization
    std::map<std::uint32_t, std::size_t> m_coefficientIndices; // index of an image's coefficient
    std::vector<double> m_coefficients;
    std::vector<std::vector<double>> m_covariance;
};

} // namespace Hyssop
