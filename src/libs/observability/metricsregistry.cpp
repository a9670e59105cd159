#include "metricsregistry.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace Hyssop {

namespace Internal {

namespace acc = boost::accumulators;

constexpr std::array Quantiles{0.5, 0.99, 0.999};

struct LatencyDistribution
{
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>> samples{acc::tag::extended_p_square::probabilities =
                                                                                                                      Quantiles};
};

static std::string escapeLabel(const std::string &value)
{
    std::string result;
    for (const char character : value) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

static std::string renderLabels(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[key, value] : labels) {
        text += (text.empty() ? "" : ",") + key + "=\"" + escapeLabel(value) + "\"";
    }
    return text;
}

static std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

static void renderValues(std::ostream &stream, const std::map<std::pair<std::string, std::string>, double> &values, const char *type)
{
    std::string previous;
    for (const auto &[key, value] : values) {
        if (key.first != previous) {
            stream << "# TYPE " << key.first << " " << type << "\n";
            previous = key.first;
        }
        stream << key.first << braced(key.second) << " " << value << "\n";
    }
}

static void renderSummary(std::ostream &stream, const std::string &name, const std::string &labels, const LatencyDistribution &distribution)
{
    const std::string prefix = labels.empty() ? std::string() : labels + ",";
    for (std::size_t i = 0; i < Quantiles.size(); ++i) {
        stream << name << "{" << prefix << "quantile=\"" << Quantiles[i] << "\"} " << acc::extended_p_square(distribution.samples)[i] << "\n";
    }
    stream << name << "_sum" << braced(labels) << " " << acc::sum(distribution.samples) << "\n";
    stream << name << "_count" << braced(labels) << " " << acc::count(distribution.samples) << "\n";
}

} // namespace Internal

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::add(const std::string &name, const MetricLabels &labels, double amount)
{
    m_counters[{name, Internal::renderLabels(labels)}] += amount;
}

void MetricsRegistry::set(const std::string &name, double value, const MetricLabels &labels)
{
    m_gauges[{name, Internal::renderLabels(labels)}] = value;
}

void MetricsRegistry::observe(const std::string &name, std::chrono::nanoseconds latency, const MetricLabels &labels)
{
    auto &distribution = m_latencies[{name, Internal::renderLabels(labels)}];
    if (!distribution) {
        distribution = std::make_unique<Internal::LatencyDistribution>();
    }
    distribution->samples(std::chrono::duration<double>(latency).count());
}

double MetricsRegistry::value(const std::string &name, const MetricLabels &labels) const
{
    const Key key{name, Internal::renderLabels(labels)};
    if (const auto counter = m_counters.find(key); counter != m_counters.end()) {
        return counter->second;
    }
    const auto gauge = m_gauges.find(key);
    return gauge == m_gauges.end() ? 0 : gauge->second;
}

std::string MetricsRegistry::toPrometheusText() const
{
    std::ostringstream stream;
    stream.precision(12);
    Internal::renderValues(stream, m_counters, "counter");
    Internal::renderValues(stream, m_gauges, "gauge");
    std::string previous;
    for (const auto &[key, distribution] : m_latencies) {
        if (key.first != previous) {
            stream << "# TYPE " << key.first << " summary\n";
            previous = key.first;
        }
        Internal::renderSummary(stream, key.first, key.second, *distribution);
    }
    return stream.str();
}

} // namespace Hyssop
