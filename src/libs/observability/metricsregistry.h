#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

namespace Internal {
struct LatencyDistribution;
}

/// Counters, gauges and latency summaries, rendered in the Prometheus text format. Not thread-safe.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();

    /// Adds @p amount to a counter, whose name ends in "_total" by convention.
    void add(const std::string &name, const MetricLabels &labels = {}, double amount = 1);

    /// Sets a gauge.
    void set(const std::string &name, double value, const MetricLabels &labels = {});

    /// Adds a latency to a summary, whose name ends in "_seconds" by convention. Its quantiles 0.5, 0.99 and 0.999 cover
    /// all samples since the start and are estimated with the P-square algorithm of Boost.Accumulators.
    void observe(const std::string &name, std::chrono::nanoseconds latency, const MetricLabels &labels = {});

    /// Returns the value of a counter or gauge, or 0 if it does not exist.
    double value(const std::string &name, const MetricLabels &labels = {}) const;

    /// Renders all metrics in the Prometheus text format.
    std::string toPrometheusText() const;

private:
    using Key = std::pair<std::string, std::string>; // name, rendered labels

    std::map<Key, double> m_counters;
    std::map<Key, double> m_gauges;
    std::map<Key, std::unique_ptr<Internal::LatencyDistribution>> m_latencies;
};

} // namespace Hyssop
