#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace Hyssop {

struct LoadEstimate;

/// Load of best-effort runs of one image on the worker of a serving run.
struct NeighbourLoad
{
    std::uint32_t image = 0;
    double load = 0; // share of the worker's capacity; see ColocationPolicy::neighbourLoadOf()
};

/// Learns how the tail latency of a serving image depends on the images that run beside it.
///
/// The tail latency of a server with utilization u grows as base / (1 - u), so the utilization is inferred as
/// 1 - base / tail. It is modelled as the load of the job itself plus, for each neighbouring image, a coefficient times the
/// load of that image. The coefficients are fitted by recursive least squares. The base is the lowest tail latency seen.
/// Near saturation the inferred utilization is a lower bound, so it can raise coefficients, but does not lower them.
class TailLatencyModel
{
public:
    /// Learns from a reported tail latency in ms. @p own is the expected utilization without neighbours.
    void observe(double tailMs, const LoadEstimate &own, const std::vector<NeighbourLoad> &colocated);

    /// Returns the highest utilization at which the tail latency stays below @p targetMs; 1 if the base is unknown.
    double allowedUtilization(double targetMs) const;

    /// Returns the utilization inferred from a tail latency.
    double utilizationOf(double tailMs) const;

    /// Returns the mean utilization without neighbours.
    double ownUtilization() const { return m_ownUtilization; }

    /// Returns the utilization that a neighbour adds; never negative.
    double addedUtilization(const NeighbourLoad &neighbour) const;
    double addedUtilization(const std::vector<NeighbourLoad> &neighbours) const;

    /// Learned effect of a neighbouring image.
    struct LearnedEffect
    {
        double coefficient = 0;
        double variance = 0;
    };
    std::map<std::uint32_t, LearnedEffect> neighbours() const;
    double baseMs() const { return m_baseMs; }

    /// Restores what an earlier model has learned.
    void restore(double baseMs, double ownUtilization, const std::map<std::uint32_t, LearnedEffect> &neighbours);

private:
    std::size_t coefficientIndex(std::uint32_t image);
    void fit(double error, double variance, const std::vector<NeighbourLoad> &colocated);

    double m_baseMs = 0; // 0: unknown
    double m_ownUtilization = 0;
    int m_observations = 0; // that contributed to m_ownUtilization
    std::map<std::uint32_t, std::size_t> m_coefficientIndices; // position of an image's coefficient
    std::vector<double> m_coefficients;
    std::vector<std::vector<double>> m_covariance;
};

} // namespace Hyssop
