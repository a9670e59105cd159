#include <observability/metricsregistry.h>

#include <criterion/criterion.h>

using namespace Hyssop;

// Guards against output that a Prometheus server would reject.
Test(metrics, rendersPrometheusText)
{
    MetricsRegistry metrics;
    metrics.add("hyssop_requests_total", {{"customer", "a\"b"}});
    metrics.add("hyssop_requests_total", {{"customer", "c"}}, 2);
    metrics.set("hyssop_revision", 7);
    cr_assert_eq(metrics.toPrometheusText(),
                 "# TYPE hyssop_requests_total counter\n"
                 "hyssop_requests_total{customer=\"a\\\"b\"} 1\n"
                 "hyssop_requests_total{customer=\"c\"} 2\n"
                 "# TYPE hyssop_revision gauge\n"
                 "hyssop_revision 7\n");
}

// Guards against quantile estimates that differ widely from the samples.
Test(metrics, estimatesQuantiles)
{
    MetricsRegistry metrics;
    for (int i = 1; i <= 10000; ++i) {
        metrics.observe("hyssop_latency_seconds", std::chrono::microseconds((i * 7919) % 10000));
    }
    const std::string text = metrics.toPrometheusText();
    const std::size_t at = text.find("quantile=\"0.99\"} ");
    cr_assert(at != std::string::npos);
    const double quantile = std::stod(text.substr(at + 17));
    cr_assert(quantile > 0.0095 && quantile < 0.0103, "%f", quantile);
    cr_assert(text.find("hyssop_latency_seconds_count 10000") != std::string::npos);
}
