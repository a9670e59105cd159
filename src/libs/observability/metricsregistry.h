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

    /// Adds to a counter; by convention its name ends in "_total".
    void add(const std::string &name, const MetricLabels &labels = {}, double amount = 1);

    /// Sets a gauge.
    void set(const std::string &name, double value, const MetricLabels &labels = {});

    /// Records a latency in a summary with quantiles 0.5, 0.99 and 0.999 over all samples since the start. The
    /// quantiles are the P-square estimates of Boost.Accumulators; by convention the name ends in "_seconds".
    void observe(const std::string &name, std::chrono::nanoseconds latency, const MetricLabels &labels = {});

    /// Returns the value of a counter or gauge; 0 if it does not exist.
    double value(const std::string &name, const MetricLabels &labels = {}) const;

    /// Renders all metrics.
    std::string toPrometheusText() const;

private:
    using Key = std::pair<std::string, std::string>; // name, rendered labels

    std::map<Key, double> m_counters;
    std::map<Key, double> m_gauges;
    std::map<Key, std::unique_ptr<Internal::LatencyDistribution>> m_latencies;
};

} // namespace Hyssop
