#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace Hyssop {

/// Processor time that runs of one image use beside a serving run.
struct NeighbourLoad
{
    std::uint32_t image = 0;
    double load = 0; // in units of SharingRule
};

/// Learns how the tail of a serving image depends on what runs beside it.
///
/// A server's tail grows as base / (1 - u) with its utilization u, so 1 - base / tail is taken for u. It is modelled as the
/// image's own load plus one coefficient for each neighbouring image times its load, and fitted by recursive least squares.
/// The base is the lowest tail seen.
class TailModel
{
public:
    /// Learns from a reported tail in ms.
    void observe(double tailMs, const std::vector<NeighbourLoad> &beside);

    /// Returns the highest utilization at which the tail stays below @p targetMs; 1 if the base is not known.
    double allowedUtilization(double targetMs) const;

    /// Returns the utilization that a tail shows.
    double utilizationOf(double tailMs) const;

    /// Returns the utilization without neighbours that is rarely exceeded.
    double ownUtilization() const;

    /// Returns the utilization that a neighbour adds; never negative.
    double added(const NeighbourLoad &neighbour) const;

    /// What the model has learned about a neighbour.
    struct Learned
    {
        double coefficient = 0;
        double variance = 0;
    };
    std::map<std::uint32_t, Learned> neighbours() const;
    double baseMs() const { return m_baseMs; }

    /// Begins with what an earlier model has learned.
    void restore(double baseMs, double ownUtilization, const std::map<std::uint32_t, Learned> &neighbours);

private:
    void begin();
    std::size_t slotOf(std::uint32_t image);
    void updateOwnPeak(double own);

    double m_baseMs = 0; // 0: not known
    double m_ownPeak = 0;
    std::map<std::uint32_t, std::size_t> m_slots; // index of an image's coefficient
    std::vector<double> m_coefficients; // the first is the own load
    std::vector<std::vector<double>> m_covariance;
};

} // namespace Hyssop
